//! Messages between replicas, log entries and snapshots.

use std::collections::BTreeSet;
use std::fmt;
use std::sync::Arc;

use bytes::Bytes;
use serde::ser::Error;
use serde::{Deserialize, Deserializer, Serialize, Serializer};

/// Identifies a replicated group. Group 0 holds resources, the others hold programs.
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

/// Identifies a replica: a machine and the disk that stores its votes and log.
///
/// A machine that lost its disk restarts with another `disk`. It is then a new replica, since the
/// votes and acknowledgements of the old one are lost.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct ReplicaId {
    /// Machine number from the settings.
    pub machine: u32,
    /// Identity of the data folder; 0 for a folder created when the group was bootstrapped.
    pub disk: u32,
}

impl fmt::Display for ReplicaId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}.{}", self.machine, self.disk)
    }
}

/// Election term.
pub type Term = u64;
/// Position in a group's log, starting at 1.
pub type Index = u64;

/// Identifies a segment: an immutable file with the part of a group's state that is not kept in
/// memory. Segments are numbered deterministically by the state machine, so that all replicas
/// write the same segments under the same numbers.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct SegmentId(pub u64);

impl SegmentId {
    /// Returns the id of the segment sealed after this one.
    pub fn next(self) -> Self {
        Self(self.0 + 1)
    }
}

impl fmt::Display for SegmentId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(formatter)
    }
}

/// Members of a group.
///
/// While a voter is being replaced, the membership is *joint*: decisions need a majority of the
/// voters and a majority of the outgoing voters (Ongaro 2014, section 4.3). Removing and adding
/// in two separate steps would leave an intermediate group that tolerates fewer failures.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Membership {
    /// Replicas that vote and count towards the quorum.
    pub voters: BTreeSet<ReplicaId>,
    /// Previous voters while the membership is joint; otherwise empty.
    pub outgoing: BTreeSet<ReplicaId>,
    /// Replicas that receive the log but do not count towards the quorum.
    pub learners: BTreeSet<ReplicaId>,
}

impl Membership {
    /// Whether a voter is being replaced.
    pub fn is_joint(&self) -> bool {
        !self.outgoing.is_empty()
    }

    /// Whether `granted` contains a majority of every voter set.
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

    /// All replicas with a vote, including outgoing voters.
    pub fn all_voters(&self) -> BTreeSet<ReplicaId> {
        self.voters.union(&self.outgoing).copied().collect()
    }

    /// All voters and learners.
    pub fn all(&self) -> impl Iterator<Item = ReplicaId> + '_ {
        let leaving = self.outgoing.difference(&self.voters);
        self.voters.iter().chain(leaving).chain(&self.learners).copied()
    }

    /// Whether `replica` is a voter or learner.
    pub fn contains(&self, replica: ReplicaId) -> bool {
        self.is_voter(replica) || self.learners.contains(&replica)
    }
}

/// Content of a log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum EntryKind {
    /// No-op that a new leader commits to establish the commit index.
    Empty,
    /// Encoded command for the state machine. Cloning shares the buffer.
    Command(Bytes),
    /// Membership that takes effect with this entry.
    Membership(Membership),
}

/// A log entry.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Entry {
    /// Term of the leader that proposed it.
    pub term: Term,
    /// Position in the log.
    pub index: Index,
    /// Content.
    pub kind: EntryKind,
}

impl Entry {
    /// Size of the command, in bytes; 0 for an entry without one.
    pub fn command_bytes(&self) -> usize {
        match &self.kind {
            EntryKind::Command(command) => command.len(),
            EntryKind::Empty | EntryKind::Membership(_) => 0,
        }
    }
}

/// State that a replica persists in addition to its log.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// Highest term seen.
    pub term: Term,
    /// Replica voted for in that term.
    pub vote: Option<ReplicaId>,
}

/// State of the state machine after applying all entries up to `index`.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Index of the last entry included.
    pub index: Index,
    /// Term of that entry.
    pub term: Term,
    /// Membership at that entry.
    pub membership: Membership,
    /// Segments referenced by the state. A replica needs all of them to install the snapshot.
    pub segments: BTreeSet<SegmentId>,
    /// Encoded state.
    pub data: SnapshotData,
}

impl Snapshot {
    /// Returns the snapshot without its data, which must be stored.
    pub fn unloaded(&self) -> Self {
        Self {
            index: self.index,
            term: self.term,
            membership: self.membership.clone(),
            segments: self.segments.clone(),
            data: SnapshotData::Stored { bytes: self.data.len() },
        }
    }
}

/// Encoded state of a [`Snapshot`].
///
/// A replica holds it in memory only while it stores, sends or restores the snapshot.
#[derive(Clone, PartialEq, Eq)]
pub enum SnapshotData {
    /// In memory.
    Loaded(Vec<u8>),
    /// Only in the file of the snapshot.
    Stored {
        /// Length in bytes.
        bytes: usize,
    },
}

impl SnapshotData {
    /// Length in bytes.
    pub fn len(&self) -> usize {
        match self {
            Self::Loaded(data) => data.len(),
            Self::Stored { bytes } => *bytes,
        }
    }

    /// Whether there is no state, as before the first entry.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// The encoded state; `None` if it is only in the file.
    pub fn loaded(&self) -> Option<&[u8]> {
        match self {
            Self::Loaded(data) => Some(data),
            Self::Stored { .. } => None,
        }
    }
}

impl From<Vec<u8>> for SnapshotData {
    fn from(data: Vec<u8>) -> Self {
        Self::Loaded(data)
    }
}

impl fmt::Debug for SnapshotData {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{} bytes", self.len())
    }
}

impl Serialize for SnapshotData {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        match self {
            Self::Loaded(data) => serde_bytes::serialize(data, serializer),
            Self::Stored { .. } => Err(S::Error::custom("the snapshot is not loaded")),
        }
    }
}

impl<'de> Deserialize<'de> for SnapshotData {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        serde_bytes::deserialize(deserializer).map(Self::Loaded)
    }
}

/// A message between two replicas of one group.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Message {
    /// Requests a vote or, with `pre`, a pre-vote.
    Vote {
        /// Term of the election.
        term: Term,
        /// Index of the candidate's last entry.
        last_index: Index,
        /// Term of the candidate's last entry.
        last_term: Term,
        /// Whether this is a pre-vote, which does not change the state of the voter.
        pre: bool,
        /// Whether the leader initiated the election to transfer its leadership.
        transfer: bool,
    },
    /// Answers [`Message::Vote`].
    VoteReply {
        /// Term of the voter, or the requested term if a pre-vote is granted.
        term: Term,
        /// Whether the vote is granted.
        granted: bool,
        /// Whether this answers a pre-vote.
        pre: bool,
    },
    /// Heartbeat with the entries after `previous_index`, if any.
    Append {
        /// Term of the leader.
        term: Term,
        /// Index of the entry preceding `entries`.
        previous_index: Index,
        /// Term of the entry preceding `entries`.
        previous_term: Term,
        /// Entries to append; empty in a pure heartbeat.
        entries: Vec<Entry>,
        /// Highest committed index.
        commit: Index,
        /// Heartbeat round of the leader. The lease is counted from the send time of a round.
        round: u64,
    },
    /// Answers [`Message::Append`] and [`Message::Install`].
    AppendReply {
        /// Term of the follower.
        term: Term,
        /// Highest index at which the logs are known to match; 0 if rejected.
        matched: Index,
        /// Set if the entries were rejected.
        refused: Option<AppendRejection>,
        /// Heartbeat round of the message that this answers.
        round: u64,
    },
    /// Replaces the state of a follower whose missing entries were compacted.
    Install {
        /// Term of the leader.
        term: Term,
        /// Snapshot to install.
        snapshot: Arc<Snapshot>,
        /// Heartbeat round, as in [`Message::Append`].
        round: u64,
    },
    /// Requests a chunk of a segment referenced by a snapshot.
    FetchSegment {
        /// The segment.
        segment: SegmentId,
        /// Offset of the first requested byte.
        offset: u64,
    },
    /// Answers [`Message::FetchSegment`].
    SegmentChunk {
        /// The segment.
        segment: SegmentId,
        /// Offset of `bytes` in the segment.
        offset: u64,
        /// Length of the whole segment; `None` if the sender does not store it.
        total: Option<u64>,
        /// Bytes of the chunk.
        #[serde(with = "serde_bytes")]
        bytes: Vec<u8>,
    },
    /// Tells the receiver to start an election immediately, to transfer the leadership.
    Campaign {
        /// Term of the leader.
        term: Term,
    },
    /// Requests membership. The new replica supersedes older disks of its machine.
    Join,
    /// Tells a non-member which replica leads, so that it can send its join request there.
    LeaderHint {
        /// The leader.
        leader: ReplicaId,
    },
    /// Answers [`Message::Join`] when the group needs no further replica. The receiver stores no
    /// data and renews its request periodically.
    Standby {
        /// Term of the leader. The receiver does not adopt it, since it is not a member.
        leader_term: Term,
        /// Machines of the group.
        machines: Vec<u32>,
    },
}

impl Message {
    /// Returns a heartbeat that carries no information about the log.
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

    /// Size of the commands, the state or the chunk in the message, in bytes.
    pub fn content_bytes(&self) -> usize {
        match self {
            Self::Append { entries, .. } => entries.iter().map(Entry::command_bytes).sum(),
            Self::Install { snapshot, .. } => snapshot.data.len(),
            Self::SegmentChunk { bytes, .. } => bytes.len(),
            Self::Vote { .. }
            | Self::VoteReply { .. }
            | Self::AppendReply { .. }
            | Self::FetchSegment { .. }
            | Self::Campaign { .. }
            | Self::Join
            | Self::LeaderHint { .. }
            | Self::Standby { .. } => 0,
        }
    }

    /// Term of the sender; `None` for messages that carry no term.
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

/// Rejection of entries because the logs do not match at the preceding index.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AppendRejection {
    /// Index preceding the rejected entries, by which the leader recognizes stale rejections.
    pub previous_index: Index,
    /// Index from which the leader should retry.
    pub retry_from: Index,
}

/// A message and the group that it belongs to.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct GroupMessage {
    /// The group.
    pub group: GroupId,
    /// The message.
    pub message: Message,
}
