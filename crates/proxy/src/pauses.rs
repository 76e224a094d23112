//! Times for which a gateway stood still.
//!
//! A process that is stopped, or has no processor time, reads its requests long after they were sent.

use std::sync::Arc;
use std::time::{Duration, Instant};

use tokio::time::MissedTickBehavior;

use crate::app::App;

/// Interval between two beats of a gateway that runs.
pub const BEAT_INTERVAL: Duration = Duration::from_millis(250);
/// Longest time between two beats that is no pause.
pub const MAX_BEAT_GAP: Duration = Duration::from_secs(1);
/// Time after a pause in which requests may be read that have arrived in it.
pub const CATCH_UP_TIME: Duration = Duration::from_secs(1);

#[derive(Clone, Copy, Debug)]
struct Pause {
    began_at: Instant,
    ended_at: Instant,
}

impl Pause {
    /// Returns whether a request that is read at `moment` may have arrived in the pause.
    fn delays(&self, moment: Instant) -> bool {
        self.began_at <= moment && moment < self.ended_at + CATCH_UP_TIME
    }
}

/// Notices when the process stands still, by beats that are regular while it runs.
#[derive(Clone, Copy, Debug)]
pub struct PauseDetector {
    last_beat: Instant,
    last_pause: Option<Pause>,
}

impl PauseDetector {
    /// Creates the detector of a process that has run until now.
    pub fn new(now: Instant) -> Self {
        Self { last_beat: now, last_pause: None }
    }

    /// Records that the process runs.
    pub fn beat(&mut self, now: Instant) {
        if now.saturating_duration_since(self.last_beat) > MAX_BEAT_GAP {
            // What arrived in the pause before may still be unread.
            let unfinished = self.last_pause.filter(|pause| pause.delays(self.last_beat));
            let began_at = unfinished.map_or(self.last_beat, |pause| pause.began_at);
            self.last_pause = Some(Pause { began_at, ended_at: now });
        }
        self.last_beat = self.last_beat.max(now);
    }

    /// Returns since when a request that was read at `read_at` may have waited for that.
    pub fn waiting_since(&mut self, read_at: Instant, now: Instant) -> Instant {
        self.beat(now);
        let pause = self.last_pause.filter(|pause| pause.delays(read_at));
        pause.map_or(read_at, |pause| pause.began_at)
    }
}

/// Beats for as long as the gateway runs.
pub async fn run(app: Arc<App>) {
    let mut beats = tokio::time::interval(BEAT_INTERVAL);
    beats.set_missed_tick_behavior(MissedTickBehavior::Delay);
    loop {
        beats.tick().await;
        app.pauses.lock().beat(Instant::now());
    }
}
