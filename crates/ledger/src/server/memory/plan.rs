//! Shares of the memory of a ledger machine.
//!
//! Each bound has a smallest share, with which a machine still works, and a largest one, for machines
//! with plenty of memory. In between, all shares grow alike with the memory.

use crate::server::bodies::BodyLimits;

/// What the process holds besides the shares, in bytes: its state (list, accounts, records,
/// configuration and snapshot), threads and connections, and what the allocator keeps.
pub const BASE_BYTES: usize = 14 << 20;
/// Shares are multiples of this, in bytes.
pub const SHARE_STEP_BYTES: usize = 1 << 10;
/// The longest body of an operator, as parts of the share of all bodies, and at most.
const BODY_PARTS: (usize, usize) = (3, 4);
const MAX_BODY_BYTES: usize = 16 * MIB;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// Range of a share, in bytes.
#[derive(Clone, Copy, Debug)]
struct ShareRange {
    smallest: usize,
    largest: usize,
}

impl ShareRange {
    const fn new(smallest: usize, largest: usize) -> Self {
        Self { smallest, largest }
    }

    /// Returns the share with `grown` of `growth` bytes added to all shares.
    fn share(self, grown: usize, growth: usize) -> usize {
        let range = (self.largest - self.smallest) as u128;
        // At most `range`, since at most `growth` is grown.
        let added = (range * grown as u128 / growth as u128) as usize;
        (self.smallest + added) / SHARE_STEP_BYTES * SHARE_STEP_BYTES
    }
}

const RECEIVED_FRAMES: ShareRange = ShareRange::new(2 * MIB, 16 * MIB);
const LINKS: ShareRange = ShareRange::new(2 * MIB, 8 * MIB);
const QUEUED_FRAMES: ShareRange = ShareRange::new(3 * MIB, 48 * MIB);
const HISTORIES: ShareRange = ShareRange::new(MIB, 12 * MIB);
const REQUESTS: ShareRange = ShareRange::new(MIB, 8 * MIB);
const MESSAGES: ShareRange = ShareRange::new(MIB, 8 * MIB);
const BODIES: ShareRange = ShareRange::new(4 * MIB, 32 * MIB);
const UNCOMMITTED: ShareRange = ShareRange::new(MIB, 8 * MIB);
const COMMANDS_PER_SNAPSHOT: ShareRange = ShareRange::new(MIB, 3 * MIB);
const LOG_REWRITE: ShareRange = ShareRange::new(MIB, 6 * MIB);
const UNSEALED_TURNS: ShareRange = ShareRange::new(512 * KIB, 2 * MIB);

const RANGES: [ShareRange; 11] = [
    RECEIVED_FRAMES,
    LINKS,
    QUEUED_FRAMES,
    HISTORIES,
    REQUESTS,
    MESSAGES,
    BODIES,
    UNCOMMITTED,
    COMMANDS_PER_SNAPSHOT,
    LOG_REWRITE,
    UNSEALED_TURNS,
];

/// Shares of the memory of a ledger machine, in bytes.
///
/// Where a bound takes one item of any size when it holds no other, that item may exceed the share:
/// it is a frame of at most [`MAX_FRAME_BYTES`](calicohoist_wire::MAX_FRAME_BYTES), or the retained
/// turn or snapshot in it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemoryPlan {
    /// Frames being received from other machines and gateways; one of any size at a time.
    pub received_frames: usize,
    /// Large messages on their way to other machines; one of any size at a time.
    pub links: usize,
    /// Frames queued for gateways; one of any size on each connection.
    pub queued_frames: usize,
    /// Histories that wait for their turn on a connection; one of any size at a time.
    pub histories: usize,
    /// Retained turns in requests that wait for the replica thread; one of any size at a time.
    pub requests: usize,
    /// Entries, snapshots and segments in messages that wait for the replica thread; those of one
    /// frame of any size at a time.
    pub messages: usize,
    /// Bodies of operator requests, without exception.
    pub bodies: BodyLimits,
    /// Commands in the log that are not committed, with which another retained turn is proposed; one
    /// of any size at a time.
    pub uncommitted: usize,
    /// Applied commands after which a snapshot is written, unless the last snapshot is larger.
    pub command_bytes_per_snapshot: usize,
    /// Log file above which it is rewritten, unless it was larger after the last time. It is read at
    /// the start.
    pub log_rewrite_bytes: usize,
    /// Contents of retained turns in memory above which they are sealed into a segment.
    pub unsealed_turns: usize,
}

impl MemoryPlan {
    /// Memory with which all shares are the smallest, in bytes. Machines with less have the same
    /// shares.
    pub const SMALLEST_MEMORY: usize = BASE_BYTES + ALL_SHARES.smallest;
    /// Memory from which all shares are the largest, in bytes. Machines without a limit have the
    /// same shares.
    pub const LARGEST_MEMORY: usize = BASE_BYTES + ALL_SHARES.largest;

    /// Returns the plan of a machine with `memory` bytes of memory, or without a limit.
    pub fn for_machine(memory: Option<usize>) -> Self {
        let growth = Self::LARGEST_MEMORY - Self::SMALLEST_MEMORY;
        let memory = memory.unwrap_or(Self::LARGEST_MEMORY);
        let grown = memory.saturating_sub(Self::SMALLEST_MEMORY).min(growth);
        let share = |range: ShareRange| range.share(grown, growth);
        let bodies = share(BODIES);
        Self {
            received_frames: share(RECEIVED_FRAMES),
            links: share(LINKS),
            queued_frames: share(QUEUED_FRAMES),
            histories: share(HISTORIES),
            requests: share(REQUESTS),
            messages: share(MESSAGES),
            bodies: BodyLimits { one: longest_body(bodies), total: bodies },
            uncommitted: share(UNCOMMITTED),
            command_bytes_per_snapshot: share(COMMANDS_PER_SNAPSHOT),
            log_rewrite_bytes: share(LOG_REWRITE),
            unsealed_turns: share(UNSEALED_TURNS),
        }
    }

    /// Returns the sum of all shares and the base.
    pub fn total_bytes(&self) -> usize {
        let Self {
            received_frames,
            links,
            queued_frames,
            histories,
            requests,
            messages,
            bodies,
            uncommitted,
            command_bytes_per_snapshot,
            log_rewrite_bytes,
            unsealed_turns,
        } = *self;
        let connections = received_frames + links + queued_frames + histories + bodies.total;
        let inputs = requests + messages;
        let log = uncommitted + command_bytes_per_snapshot + log_rewrite_bytes + unsealed_turns;
        BASE_BYTES + connections + inputs + log
    }
}

fn longest_body(bodies: usize) -> usize {
    let (parts, of) = BODY_PARTS;
    (bodies / of * parts).min(MAX_BODY_BYTES)
}

/// Sums of the smallest and of the largest shares.
const ALL_SHARES: ShareRange = {
    let mut sum = ShareRange::new(0, 0);
    let mut index = 0;
    while index < RANGES.len() {
        sum.smallest += RANGES[index].smallest;
        sum.largest += RANGES[index].largest;
        index += 1;
    }
    sum
};
