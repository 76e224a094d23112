//! What can go wrong.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// One fault. Most heal after a time.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fault {
    /// A gateway dies and comes back.
    KillGateway(usize, Duration),
    /// A gateway stands still and goes on, believing no time has passed.
    FreezeGateway(usize, Duration),
    /// A gateway is cut off in silence.
    IsolateGateway(usize, Duration),
    /// A gateway is stopped as planned and comes back.
    StopGateway(usize, Duration),
    /// An engine dies with its memory and comes back.
    KillEngine(usize, Duration),
    /// An engine stops generating and goes on.
    HangEngine(usize, Duration),
    /// An engine is taken out of service by an operator.
    DrainEngine(usize),
    /// An engine is announced to leave by the platform.
    LeaveEngine(usize),
    /// A replica executes jobs but does not answer.
    HangReplica(usize, Duration),
    /// A replica dies and comes back.
    KillReplica(usize, Duration),
    /// A store machine dies, losing what was not synced, and comes back.
    KillStore(usize, Duration),
    /// A store machine stands still and goes on.
    FreezeStore(usize, Duration),
    /// A store machine is cut off in silence.
    IsolateStore(usize, Duration),
    /// The leader of group 0 is cut off in silence.
    IsolateLeader(Duration),
    /// A store machine loses its disk and comes back with an empty one.
    LoseDisk(usize),
    /// Like [`Fault::LoseDisk`], as soon as the fleet is fully replicated again.
    LoseNextDisk(usize),
    /// A store machine's disk is slow.
    SlowDisk(usize, Duration),
    /// A store machine's disk is full; it is restarted with room afterwards.
    FullDisk(usize, Duration),
    /// A zone is cut off.
    CutZone(usize, Duration),
    /// Frames get lost and repeated.
    LossyNetwork(Duration),
    /// Answers of the store to gateways get lost.
    LoseReplies(Duration),
    /// What engines report of their memory and load gets lost.
    LoseEngineReports(Duration),
    /// Two operators change the same resource with the same version.
    WriteConflict,
    /// Many changes of the configuration at once.
    ManyChanges(u32),
    /// More programs arrive at once.
    Burst(usize),
    /// A program that does not end by itself arrives.
    Runaway,
    /// A caller cancels its program in the middle.
    CancelProgram,
}
