//! What replicas say to each other, and what a log holds.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use serde::{Deserialize, Serialize};

/// A replicated group. 0 is the group of resources; the others hold programs.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct GroupId(pub u32);

impl fmt::Display for GroupId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// A replica: a machine together with the disk that holds its promises.
///
/// A machine that lost its disk comes back under another `disk`, so that it can
/// never vote as the replica that made the lost promises.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReplicaId {
    /// Number of the machine in the settings.
    pub machine: u32,
    /// Identity of its data folder; 0 for a disk of the first start.
    pub disk: u32,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.machine, self.disk)
    }
}

/// Election term.
pub type Term = u64;
/// Position in a group's log; the first entry has 1.
pub type Index = u64;

/// A segment: an immutable file with values of a group's state that are too many for
/// memory. The state numbers its segments in the order of its log, so that all replicas
/// write the same segments under the same numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SegmentId(pub u64);

impl SegmentId {
    /// The one that is sealed after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for SegmentId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Who takes part in a group.
///
/// While one voter is exchanged for another, the membership is *joint*: decisions need
/// a majority of the voters and a majority of the outgoing voters (Ongaro 2014, section
/// 4.3). Changing the two one after the other would leave a smaller or a larger group
/// in between, which a second loss at that moment stops for good.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas whose acknowledgement counts.
    pub voters: BTreeSet<ReplicaId>,
    /// The voters before an exchange that is not finished; else empty.
    pub outgoing: BTreeSet<ReplicaId>,
    /// Replicas that receive the log but do not count yet.
    pub learners: BTreeSet<ReplicaId>,
}

impl Membership {
    /// Whether an exchange of voters is not finished.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether `granted` holds a majority of every set that counts.
    pub fn has_quorum(&self, granted: &BTreeSet<ReplicaId>) -> bool {
        let is_majority = |voters: &BTreeSet<ReplicaId>| {
            voters.is_empty() || voters.intersection(granted).count() > voters.len() / 2
        };
        is_majority(&self.voters) && is_majority(&self.outgoing)
    }

    /// Whether `replica` has a vote.
    pub fn is_voter(&self, replica: ReplicaId) -> bool {
        self.voters.contains(&replica) || self.outgoing.contains(&replica)
    }

    /// Everybody with a vote.
    pub fn all_voters(&self) -> BTreeSet<ReplicaId> {
        self.voters.union(&self.outgoing).copied().collect()
    }

    /// Voters and learners.
    pub fn all(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        let leaving = self.outgoing.difference(&self.voters);
        self.voters.iter().chain(leaving).chain(&self.learners).copied()
    }

    /// Whether `replica` is a voter or learner.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.is_voter(replica) || self.learners.contains(&replica)
    }
}

/// What an entry of a log carries.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryKind {
    /// Nothing: a new leader commits one to learn what is committed.
    Empty,
    /// An encoded command for the state machine. Followers, disk and state machine share one copy.
    Command(Bytes),
    /// The membership from this entry on.
    Membership(Membership),
}

/// One entry of a log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that proposed it.
    pub term: Term,
    /// Its position.
    pub index: Index,
    /// What it carries.
    pub kind: EntryKind,
}

/// What a replica must remember across restarts besides its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Replica voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// The state machine's state after all entries up to `index`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Last entry the state includes.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Membership at that entry.
    pub membership: Membership,
    /// Segments that the state refers to; it counts only where all of them are held.
    pub segments: BTreeSet<SegmentId>,
    /// The encoded state.
    #[serde(with = "serde_bytes")]
    pub data: Vec<u8>,
}

/// A message between two replicas of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Asks for a vote, or whether one would be given (`pre`).
    Vote {
        /// Term the candidate has, or would have.
        term: Term,
        /// Index of its last entry.
        last_index: Index,
        /// Term of its last entry.
        last_term: Term,
        /// Only asks; the voter changes nothing.
        pre: bool,
        /// The leader itself asked for this election.
        transfer: bool,
    },
    /// Answers [`Message::Vote`].
    VoteReply {
        /// Term of the voter, or the asked term when a pre-vote is granted.
        term: Term,
        /// Whether the vote is given.
        granted: bool,
        /// Answers a pre-vote.
        pre: bool,
    },
    /// Heartbeat, and entries after `previous_index`.
    Append {
        /// Term of the leader.
        term: Term,
        /// Index before the first entry.
        previous_index: Index,
        /// Term at that index.
        previous_term: Term,
        /// Entries to append.
        entries: Vec<Entry>,
        /// Highest committed index.
        commit: Index,
        /// Numbers the leader's heartbeats; the lease counts from its sending.
        round: u64,
    },
    /// Answers [`Message::Append`] and [`Message::Install`].
    AppendReply {
        /// Term of the follower.
        term: Term,
        /// Highest index known equal to the leader's, when accepted.
        matched: Index,
        /// Set when refused.
        refused: Option<Refused>,
        /// Round of the message this answers.
        round: u64,
    },
    /// Replaces a far-behind follower's state.
    Install {
        /// Term of the leader.
        term: Term,
        /// The state.
        snapshot: Arc<Snapshot>,
        /// Round, as in [`Message::Append`].
        round: u64,
    },
    /// Asks for a part of a segment that a snapshot refers to.
    FetchSegment {
        /// The segment.
        segment: SegmentId,
        /// First byte that is wanted.
        offset: u64,
    },
    /// Answers [`Message::FetchSegment`].
    SegmentChunk {
        /// The segment.
        segment: SegmentId,
        /// Where `bytes` begin.
        offset: u64,
        /// Length of the whole segment; `None` when it is not held.
        total: Option<u64>,
        /// The part.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// The leader asks the receiver to start an election at once.
    Campaign {
        /// Term of the leader.
        term: Term,
    },
    /// A new replica asks the leader to let it join in place of its machine's old disk.
    Join,
    /// Answers a replica that is no member: this one leads, ask it to join.
    LeaderHint {
        /// The leader.
        leader: ReplicaId,
    },
    /// The leader's answer to [`Message::Join`] when the group has replicas enough: the
    /// asker holds nothing, and asks again after a while.
    Standby {
        /// Term of the leader. It raises no term of the asker, who has no part in the group.
        leader_term: Term,
        /// Machines of the group.
        machines: Vec<u32>,
    },
}

impl Message {
    /// Tells a follower that its leader lives, and nothing of the log.
    pub fn bare_heartbeat(term: Term, round: u64) -> Self {
        Self::Append {
            term,
            previous_index: 0,
            previous_term: 0,
            entries: Vec::new(),
            commit: 0,
            round,
        }
    }

    /// The sender's term; `None` for messages outside any term.
    pub fn term(&self) -> Option<Term> {
        match self {
            Self::Vote { term, .. }
            | Self::VoteReply { term, .. }
            | Self::Append { term, .. }
            | Self::AppendReply { term, .. }
            | Self::Install { term, .. }
            | Self::Campaign { term } => Some(*term),
            Self::Join
            | Self::LeaderHint { .. }
            | Self::Standby { .. }
            | Self::FetchSegment { .. }
            | Self::SegmentChunk { .. } => None,
        }
    }
}

/// Why entries were not appended: the follower's log differs before them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Refused {
    /// Index before the refused entries, so that the leader knows a late refusal.
    pub previous_index: Index,
    /// Where the leader should try next.
    pub retry_from: Index,
}

/// A message with the group it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMessage {
    /// The group.
    pub group: GroupId,
    /// The message.
    pub message: Message,
}
