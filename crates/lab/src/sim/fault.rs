//! Faults that the simulator injects.

use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A fault; a duration is the time until it heals.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Fault {
    /// Kills a gateway and restarts it.
    KillGateway(usize, Duration),
    /// Pauses a gateway process, as a long scheduling or GC pause would.
    FreezeGateway(usize, Duration),
    /// Drops all traffic from and to a gateway.
    IsolateGateway(usize, Duration),
    /// Stops a gateway gracefully; the duration is the downtime before its restart.
    StopGateway(usize, Duration),
    /// Kills an engine, which loses its cache, and restarts it.
    KillEngine(usize, Duration),
    /// Suspends token generation of an engine.
    HangEngine(usize, Duration),
    /// Drains an engine by a configuration change.
    DrainEngine(usize),
    /// Has the platform announce the removal of an engine and then removes it.
    LeaveEngine(usize),
    /// Makes a service replica execute jobs without answering.
    HangReplica(usize, Duration),
    /// Kills a service replica and restarts it.
    KillReplica(usize, Duration),
    /// Kills a store machine, which loses unsynced data, and restarts it.
    KillStore(usize, Duration),
    /// Pauses a store machine.
    FreezeStore(usize, Duration),
    /// Drops all traffic from and to a store machine.
    IsolateStore(usize, Duration),
    /// Drops all traffic from and to the first store machine that leads a group.
    IsolateLeader(Duration),
    /// Restarts a store machine with an empty disk.
    LoseDisk(usize),
    /// Like [`Fault::LoseDisk`], but waits until every group is fully replicated.
    LoseNextDisk(usize),
    /// Slows down the disk of a store machine.
    SlowDisk(usize, Duration),
    /// Fills the disk of a store machine, which is restarted once space is free again.
    FullDisk(usize, Duration),
    /// Partitions a zone from the others.
    CutZone(usize, Duration),
    /// Loses and duplicates frames at random.
    LossyNetwork(Duration),
    /// Loses replies of the store to gateways.
    LoseReplies(Duration),
    /// Loses the cache and load reports of engines.
    LoseEngineReports(Duration),
    /// Sends two conflicting writes to a resource, based on the same version.
    WriteConflict,
    /// Applies many configuration changes in sequence.
    ManyChanges(u32),
    /// Starts additional programs at once.
    Burst(usize),
    /// Starts a program that keeps issuing calls until it reaches its limit.
    Runaway,
    /// Cancels a running program.
    CancelProgram,
}
