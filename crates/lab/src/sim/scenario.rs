//! The named scenarios, and what they do when.

use std::str::FromStr;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::fault::Fault;
use super::world::WorldSize;

/// Faults of random scenarios fall into this time.
const FAULT_WINDOW: Duration = Duration::from_secs(14);
/// Faults of a combined scenario.
const COMBINED_FAULTS: usize = 6;

/// A fault at a time.
pub type Planned = (Duration, Fault);

macro_rules! scenarios {
    ($($(#[$doc:meta])* $variant:ident = $name:literal),+ $(,)?) => {
        /// What happens to a fleet.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Scenario {
            $($(#[$doc])* $variant),+
        }

        impl Scenario {
            /// Every scenario.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// Its name.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name),+ }
            }
        }
    };
}

scenarios! {
    /// Nothing goes wrong.
    Calm = "calm",
    /// A gateway dies between and during turns.
    GatewayDeath = "gateway-death",
    /// An engine dies with its memory.
    EngineDeath = "engine-death",
    /// Tools hang, engines stall.
    ToolHang = "tool-hang",
    /// Programs loop without end.
    RunawayProgram = "runaway-program",
    /// A leader is cut off in silence and believes it is in charge.
    LeaderIsolation = "leader-isolation",
    /// Operators race with equal versions.
    WriteConflict = "write-conflict",
    /// Answers get lost and requests are sent again.
    LostReplyRetry = "lost-reply-retry",
    /// A second machine is lost right after a repair.
    SecondLossAfterRepair = "second-loss-after-repair",
    /// A machine restarts after hundreds of changes.
    RestartAfterLag = "restart-after-lag",
    /// A gateway is stopped as planned.
    GracefulShutdown = "graceful-shutdown",
    /// Every gateway and store machine is restarted in turn.
    RollingRestart = "rolling-restart",
    /// Engines leave, by operator and by platform.
    BackendDrain = "backend-drain",
    /// What engines report of their memory and load is lost.
    CacheEventGaps = "cache-event-gaps",
    /// A zone is cut off.
    ZoneLoss = "zone-loss",
    /// Far more programs arrive than the fleet can run at once.
    Overload = "overload",
    /// Disks are slow, full, or lose what was not synced.
    SlowDisk = "slow-disk",
    /// Frames are lost and repeated all the time.
    LossyNetwork = "lossy-network",
    /// Any of them together, at random moments.
    Mixed = "mixed",
    /// Like `mixed`, with what every promise needs to be put to the test.
    Combined = "combined",
    /// One of them again during its own recovery.
    Twice = "twice",
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.iter().find(|scenario| scenario.name() == text);
        found.copied().ok_or_else(|| format!("{text:?} is not a scenario; see sim --list"))
    }
}

/// Programs that come at once, so many that some are refused.
const REFUSED_BURST: usize = 60;

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

impl Scenario {
    /// Draws the faults of one run.
    pub fn plan(self, targets: WorldSize, random: &mut ChaCha8Rng) -> Vec<Planned> {
        let mut planner = Planner { targets, random };
        match self {
            Self::Calm => Vec::new(),
            Self::GatewayDeath => planner.several(3, Planner::gateway_death),
            Self::EngineDeath => planner.several(3, Planner::engine_death),
            Self::ToolHang => planner.several(3, Planner::hang),
            Self::RunawayProgram => {
                vec![(seconds(1.0), Fault::Runaway), (seconds(3.0), Fault::CancelProgram)]
            }
            Self::LeaderIsolation => planner.several(2, Planner::isolation),
            Self::WriteConflict => planner.several(8, |_| Fault::WriteConflict),
            Self::LostReplyRetry => {
                planner.several(3, |planner| Fault::LoseReplies(planner.span(0.3, 1.5)))
            }
            Self::SecondLossAfterRepair => planner.two_losses(),
            Self::RestartAfterLag => planner.restart_after_lag(),
            Self::GracefulShutdown => planner.several(2, Planner::planned_stop),
            Self::RollingRestart => planner.rolling_restart(),
            Self::BackendDrain => vec![
                (planner.moment(), Fault::DrainEngine(1)),
                (planner.moment(), Fault::LeaveEngine(2)),
            ],
            Self::CacheEventGaps => {
                planner.several(3, |planner| Fault::LoseEngineReports(planner.span(1.0, 4.0)))
            }
            Self::ZoneLoss => planner
                .several(1, |planner| Fault::CutZone(planner.pick(4), planner.span(2.0, 8.0))),
            Self::Overload => vec![(seconds(1.0), Fault::Burst(60))],
            Self::SlowDisk => planner.several(3, Planner::disk_trouble),
            Self::LossyNetwork => vec![(seconds(0.5), Fault::LossyNetwork(seconds(20.0)))],
            Self::Mixed => planner.several(COMBINED_FAULTS, Planner::any),
            Self::Combined => planner.combined(),
            Self::Twice => planner.twice(),
        }
    }
}

struct Planner<'a> {
    targets: WorldSize,
    random: &'a mut ChaCha8Rng,
}

impl Planner<'_> {
    fn moment(&mut self) -> Duration {
        FAULT_WINDOW.mul_f64(self.random.random_range(0.05..1.0))
    }

    fn span(&mut self, shortest: f64, longest: f64) -> Duration {
        seconds(self.random.random_range(shortest..longest))
    }

    fn pick(&mut self, count: usize) -> usize {
        self.random.random_range(0..count)
    }

    fn several(&mut self, count: usize, mut draw: impl FnMut(&mut Self) -> Fault) -> Vec<Planned> {
        (0..count).map(|_| (self.moment(), draw(self))).collect()
    }

    fn gateway_death(&mut self) -> Fault {
        let gateway = self.pick(self.targets.gateways);
        match self.pick(3) {
            0 => Fault::FreezeGateway(gateway, self.span(1.0, 6.0)),
            1 => Fault::IsolateGateway(gateway, self.span(1.0, 6.0)),
            _ => Fault::KillGateway(gateway, self.span(0.2, 6.0)),
        }
    }

    fn engine_death(&mut self) -> Fault {
        Fault::KillEngine(self.pick(self.targets.engines), self.span(0.2, 6.0))
    }

    fn hang(&mut self) -> Fault {
        match self.pick(3) {
            0 => Fault::HangReplica(self.pick(self.targets.replicas), self.span(1.0, 15.0)),
            1 => Fault::KillReplica(self.pick(self.targets.replicas), self.span(1.0, 5.0)),
            _ => Fault::HangEngine(self.pick(self.targets.engines), self.span(1.0, 15.0)),
        }
    }

    fn isolation(&mut self) -> Fault {
        match self.pick(3) {
            0 => Fault::FreezeStore(self.pick(self.targets.stores), self.span(0.3, 5.0)),
            1 => Fault::IsolateStore(self.pick(self.targets.stores), self.span(0.3, 5.0)),
            _ => Fault::IsolateLeader(self.span(0.3, 6.0)),
        }
    }

    fn planned_stop(&mut self) -> Fault {
        Fault::StopGateway(self.pick(self.targets.gateways), self.span(0.2, 3.0))
    }

    fn disk_trouble(&mut self) -> Fault {
        let store = self.pick(self.targets.stores);
        match self.pick(3) {
            0 => Fault::SlowDisk(store, self.span(1.0, 5.0)),
            1 => Fault::FullDisk(store, self.span(0.5, 3.0)),
            _ => Fault::KillStore(store, self.span(0.2, 4.0)),
        }
    }

    fn two_losses(&mut self) -> Vec<Planned> {
        let first = self.pick(self.targets.stores);
        let second = (first + 1 + self.pick(self.targets.stores - 1)) % self.targets.stores;
        let at = self.span(1.0, 4.0);
        vec![
            (at, Fault::LoseDisk(first)),
            (at + seconds(0.5), Fault::LoseNextDisk(second)),
            (at + seconds(5.0), Fault::LoseNextDisk(first)),
        ]
    }

    fn restart_after_lag(&mut self) -> Vec<Planned> {
        let store = self.pick(self.targets.stores);
        let gateway = self.pick(self.targets.gateways);
        vec![
            (seconds(1.0), Fault::KillStore(store, seconds(10.0))),
            (seconds(1.0), Fault::FreezeGateway(gateway, seconds(10.0))),
            (seconds(2.0), Fault::ManyChanges(600)),
        ]
    }

    fn rolling_restart(&mut self) -> Vec<Planned> {
        let mut planned = Vec::new();
        let mut at = 1.0;
        for gateway in 0..self.targets.gateways {
            planned.push((seconds(at), Fault::StopGateway(gateway, seconds(0.5))));
            at += 4.0;
        }
        for store in 0..self.targets.stores {
            planned.push((seconds(at), Fault::KillStore(store, seconds(0.8))));
            at += 4.0;
        }
        planned
    }

    /// Any faults, and what each promise needs to be put to the test.
    fn combined(&mut self) -> Vec<Planned> {
        let mut planned = self.several(COMBINED_FAULTS, Self::any);
        planned.push((self.moment(), self.planned_stop()));
        planned.push((self.moment(), Fault::DrainEngine(1)));
        planned.push((self.moment(), Fault::LeaveEngine(2)));
        planned.push((self.moment(), Fault::Burst(REFUSED_BURST)));
        planned
    }

    fn any(&mut self) -> Fault {
        match self.pick(16) {
            0..=2 => self.gateway_death(),
            3 => self.engine_death(),
            4..=5 => self.hang(),
            6..=8 => self.isolation(),
            9 => self.planned_stop(),
            10..=11 => self.disk_trouble(),
            12 => Fault::LoseReplies(self.span(0.3, 1.5)),
            13 => Fault::LossyNetwork(self.span(1.0, 6.0)),
            14 => Fault::CutZone(self.pick(4), self.span(1.0, 4.0)),
            _ => match self.pick(5) {
                0 => Fault::WriteConflict,
                1 => Fault::CancelProgram,
                2 => Fault::LeaveEngine(3),
                3 => Fault::DrainEngine(4),
                _ => Fault::Burst(10),
            },
        }
    }

    /// The same fault again, a little into the recovery from it.
    fn twice(&mut self) -> Vec<Planned> {
        let mut planned = Vec::new();
        for _ in 0..3 {
            let at = self.moment();
            let fault = self.any();
            planned.push((at, fault));
            planned.push((at + self.span(0.1, 3.0), fault));
        }
        planned
    }
}
