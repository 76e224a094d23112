//! Closing of all connections of a process.

use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::{Arc, OnceLock};
use std::time::{Duration, Instant};

use tokio::sync::watch;

use crate::stop_schedule::StopSchedule;

/// Interval at which it is checked whether all connections are closed.
const POLL_INTERVAL: Duration = Duration::from_millis(25);

/// Progress of closing the connections of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum DrainStage {
    /// Connections are accepted and kept open between requests.
    Serving,
    /// Connections are accepted; responses ask the peer to close its connection.
    Announced,
    /// No connections are accepted, and those without a request are closed.
    Closing,
}

/// Closes the connections of a process. Clones share the same connections.
#[derive(Clone, Debug)]
pub struct Drain {
    stage: Arc<watch::Sender<DrainStage>>,
    schedule: Arc<OnceLock<StopSchedule>>,
    /// When the process has first seen that its answers are due.
    due_seen_at: Arc<OnceLock<Instant>>,
    open_connections: Arc<AtomicUsize>,
}

impl Default for Drain {
    fn default() -> Self {
        let stage = Arc::new(watch::Sender::new(DrainStage::Serving));
        Self {
            stage,
            schedule: Arc::default(),
            due_seen_at: Arc::default(),
            open_connections: Arc::default(),
        }
    }
}

impl Drain {
    /// Announces that the process stops. Only the schedule of the first call counts.
    pub fn announce(&self, schedule: StopSchedule) {
        // Set before the stage, so that it is known at every later stage.
        let _ = self.schedule.set(schedule);
        self.advance(DrainStage::Announced);
    }

    /// Returns the time by which the process answers its requests; `None` while it does not stop.
    pub fn answer_by(&self) -> Option<Instant> {
        self.schedule.get().map(StopSchedule::answer_by)
    }

    /// Returns `deadline`, or the time by which the process answers its requests if that is earlier.
    pub fn limit(&self, deadline: Instant) -> Instant {
        self.answer_by().map_or(deadline, |answer_by| deadline.min(answer_by))
    }

    /// Waits until the process has to answer its requests, which is never without an announced stop.
    pub async fn answers_due(&self) {
        let mut stages = self.stage.subscribe();
        // The sender lives as long as `self`.
        let _ = stages.wait_for(|_| self.schedule.get().is_some()).await;
        if let Some(answer_by) = self.answer_by() {
            tokio::time::sleep_until(answer_by.into()).await;
            self.due_seen_at.get_or_init(Instant::now);
        }
    }

    /// Moves on to a later stage.
    pub fn advance(&self, stage: DrainStage) {
        self.stage.send_if_modified(|current| {
            let is_later = *current < stage;
            *current = stage.max(*current);
            is_later
        });
    }

    /// Returns the current stage.
    pub fn stage(&self) -> DrainStage {
        *self.stage.borrow()
    }

    /// Returns the number of connections that are not closed yet.
    pub fn open_connections(&self) -> usize {
        self.open_connections.load(Ordering::Relaxed)
    }

    /// Waits until all connections are closed, or until `deadline`. If the process stood still when its
    /// answers were due, a later deadline is put off until they are delivered.
    pub async fn wait_until_closed(&self, deadline: Instant) {
        loop {
            let now = Instant::now();
            let end = self.delivered_by(deadline, now);
            if self.open_connections() == 0 || now >= end {
                return;
            }
            let due = self.answer_by().filter(|answer_by| now < *answer_by).unwrap_or(end);
            let next_check = (now + POLL_INTERVAL).min(due).min(end);
            tokio::time::sleep_until(next_check.into()).await;
        }
    }

    /// Returns the time until which responses are delivered, `deadline` or later.
    fn delivered_by(&self, deadline: Instant, now: Instant) -> Instant {
        let Some(schedule) = self.schedule.get().filter(|schedule| schedule.answer_by() <= now)
        else {
            return deadline;
        };
        let due_seen_at = *self.due_seen_at.get_or_init(|| now);
        if deadline <= schedule.answer_by() {
            return deadline;
        }
        deadline.max(schedule.cut_by(due_seen_at))
    }

    /// Waits until connections without a request are to be closed.
    pub(crate) async fn closing(&self) {
        let mut stages = self.stage.subscribe();
        // The sender lives as long as `self`.
        let _ = stages.wait_for(|stage| *stage == DrainStage::Closing).await;
    }

    /// Counts a connection as open until the guard is dropped.
    pub(crate) fn open_connection(&self) -> OpenConnection {
        self.open_connections.fetch_add(1, Ordering::Relaxed);
        OpenConnection(Arc::clone(&self.open_connections))
    }
}

/// Counts a connection as open until dropped.
pub(crate) struct OpenConnection(Arc<AtomicUsize>);

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.0.fetch_sub(1, Ordering::Relaxed);
    }
}
