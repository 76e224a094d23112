//! Replica whose own thread opens its log, so that a slow disk holds up neither callers nor a stop.

use std::sync::Arc;
use std::thread;

use calicohoist_replication::ReplicaId;
use crossbeam::channel::bounded;
use tokio::sync::{mpsc, oneshot, watch};

use super::{
    GroupStatus, INPUT_QUEUE_CAPACITY, InputMemory, LeaderServices, ReplicaHandle, ReplicaThread,
    refuse_queued,
};
use crate::server::peers::OutgoingMessages;
use crate::server::{LedgerSettings, MemoryPlan};

/// A replica that is opening its log, or runs. Its requests wait until the log is open.
pub struct OpeningReplica {
    /// Sends requests to the replica.
    pub handle: ReplicaHandle,
    /// Published status of the replica.
    pub status: watch::Receiver<GroupStatus>,
    /// Receives the identity of the replica when its log is open.
    pub identity: oneshot::Receiver<ReplicaId>,
    /// Receives the error if the log cannot be opened, or the thread fails later.
    pub failure: oneshot::Receiver<String>,
}

impl OpeningReplica {
    /// Starts the thread.
    ///
    /// # Errors
    /// Fails if the thread cannot be started.
    pub fn start(
        settings: LedgerSettings,
        outgoing: mpsc::Sender<OutgoingMessages>,
        services: LeaderServices,
    ) -> std::io::Result<Self> {
        let (inputs, receiver) = bounded(INPUT_QUEUE_CAPACITY);
        let (status_sender, status) = watch::channel(GroupStatus::default());
        let (identity_sender, identity) = oneshot::channel();
        let (failure_sender, failure) = oneshot::channel();
        let plan = MemoryPlan::for_machine(settings.memory);
        let memory = InputMemory::new(plan.requests, plan.messages);
        let held = Arc::default();
        let handle = ReplicaHandle { inputs, memory, held: Arc::clone(&held) };
        thread::Builder::new().name("replica".to_owned()).spawn(move || {
            match ReplicaThread::open(&settings, outgoing, services) {
                Ok(replica) => {
                    // Without a receiver, the process is ending already.
                    let _ = identity_sender.send(replica.id());
                    let replica = ReplicaThread { held, ..replica };
                    replica.run_to_end(&receiver, &status_sender, failure_sender);
                }
                Err(error) => {
                    refuse_queued(&receiver);
                    let _ = failure_sender.send(format!("{error:#}"));
                }
            }
        })?;
        Ok(Self { handle, status, identity, failure })
    }
}
