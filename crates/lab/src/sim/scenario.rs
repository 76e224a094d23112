//! Named scenarios and their fault schedules.

use std::str::FromStr;
use std::time::Duration;

use rand::RngExt;
use rand_chacha::ChaCha8Rng;

use super::fault::Fault;
use super::world::WorldSize;

/// Period in which randomly scheduled faults are injected.
const FAULT_WINDOW: Duration = Duration::from_secs(14);
/// Number of random faults in the mixed and combined scenarios.
const RANDOM_FAULTS: usize = 6;

/// A fault and its injection time, relative to the end of startup.
pub type ScheduledFault = (Duration, Fault);

macro_rules! scenarios {
    ($($(#[$doc:meta])* $variant:ident = $name:literal),+ $(,)?) => {
        /// A named set of faults and load.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub enum Scenario {
            $($(#[$doc])* $variant),+
        }

        impl Scenario {
            /// All scenarios.
            pub const ALL: &'static [Self] = &[$(Self::$variant),+];

            /// Returns the name.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$variant => $name),+ }
            }
        }
    };
}

scenarios! {
    /// No faults.
    Calm = "calm",
    /// Gateways are killed, paused or isolated.
    GatewayDeath = "gateway-death",
    /// Engines are killed and lose their cache.
    EngineDeath = "engine-death",
    /// Service replicas and engines hang or are killed.
    ToolHang = "tool-hang",
    /// A program issues calls without end, and another one is cancelled.
    RunawayProgram = "runaway-program",
    /// Store machines, among them leaders, are isolated or paused.
    LeaderIsolation = "leader-isolation",
    /// Operators send conflicting writes based on the same version.
    WriteConflict = "write-conflict",
    /// Replies of the store are lost, so that requests are retried.
    LostReplyRetry = "lost-reply-retry",
    /// Store machines lose their disks one after the other, each after full replication.
    SecondLossAfterRepair = "second-loss-after-repair",
    /// A store machine and a gateway return after hundreds of configuration changes.
    RestartAfterLag = "restart-after-lag",
    /// Gateways shut down gracefully.
    GracefulShutdown = "graceful-shutdown",
    /// All gateways and store machines are restarted in sequence.
    RollingRestart = "rolling-restart",
    /// Engines are drained by an operator and removed by the platform.
    BackendDrain = "backend-drain",
    /// Cache and load reports of engines are lost.
    CacheEventGaps = "cache-event-gaps",
    /// A zone is partitioned from the others.
    ZoneLoss = "zone-loss",
    /// A burst of programs exceeds the capacity of the fleet.
    Overload = "overload",
    /// Disks are slow, full, or lose unsynced data.
    SlowDisk = "slow-disk",
    /// Frames are lost and duplicated for most of the run.
    LossyNetwork = "lossy-network",
    /// Random faults at random times.
    Mixed = "mixed",
    /// Like `mixed`, with additional faults so that every invariant is checked.
    Combined = "combined",
    /// Random faults, each injected again during the recovery from the first.
    Twice = "twice",
}

impl FromStr for Scenario {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let found = Self::ALL.iter().find(|scenario| scenario.name() == text);
        found.copied().ok_or_else(|| format!("{text:?} is not a scenario; see sim --list"))
    }
}

/// Number of programs in a burst large enough for some to be refused.
const OVERLOAD_BURST: usize = 60;

fn seconds(count: f64) -> Duration {
    Duration::from_secs_f64(count)
}

impl Scenario {
    /// Returns the random fault schedule of one run.
    pub fn draw_faults(self, fleet: WorldSize, random: &mut ChaCha8Rng) -> Vec<ScheduledFault> {
        let mut planner = FaultPlanner { fleet, random };
        match self {
            Self::Calm => Vec::new(),
            Self::GatewayDeath => planner.draw_several(3, FaultPlanner::gateway_death),
            Self::EngineDeath => planner.draw_several(3, FaultPlanner::engine_death),
            Self::ToolHang => planner.draw_several(3, FaultPlanner::backend_hang),
            Self::RunawayProgram => {
                vec![(seconds(1.0), Fault::Runaway), (seconds(3.0), Fault::CancelProgram)]
            }
            Self::LeaderIsolation => planner.draw_several(2, FaultPlanner::store_isolation),
            Self::WriteConflict => planner.draw_several(8, |_| Fault::WriteConflict),
            Self::LostReplyRetry => {
                planner.draw_several(3, |planner| Fault::LoseReplies(planner.duration(0.3, 1.5)))
            }
            Self::SecondLossAfterRepair => planner.two_disk_losses(),
            Self::RestartAfterLag => planner.restart_after_lag(),
            Self::GracefulShutdown => planner.draw_several(2, FaultPlanner::graceful_stop),
            Self::RollingRestart => planner.rolling_restart(),
            Self::BackendDrain => vec![
                (planner.injection_time(), Fault::DrainEngine(1)),
                (planner.injection_time(), Fault::LeaveEngine(2)),
            ],
            Self::CacheEventGaps => planner
                .draw_several(3, |planner| Fault::LoseEngineReports(planner.duration(1.0, 4.0))),
            Self::ZoneLoss => planner.draw_several(1, |planner| {
                Fault::CutZone(planner.pick_index(4), planner.duration(2.0, 8.0))
            }),
            Self::Overload => vec![(seconds(1.0), Fault::Burst(60))],
            Self::SlowDisk => planner.draw_several(3, FaultPlanner::disk_fault),
            Self::LossyNetwork => vec![(seconds(0.5), Fault::LossyNetwork(seconds(20.0)))],
            Self::Mixed => planner.draw_several(RANDOM_FAULTS, FaultPlanner::any_fault),
            Self::Combined => planner.combined_faults(),
            Self::Twice => planner.repeated_faults(),
        }
    }
}

struct FaultPlanner<'a> {
    fleet: WorldSize,
    random: &'a mut ChaCha8Rng,
}

impl FaultPlanner<'_> {
    fn injection_time(&mut self) -> Duration {
        FAULT_WINDOW.mul_f64(self.random.random_range(0.05..1.0))
    }

    fn duration(&mut self, shortest: f64, longest: f64) -> Duration {
        seconds(self.random.random_range(shortest..longest))
    }

    fn pick_index(&mut self, count: usize) -> usize {
        self.random.random_range(0..count)
    }

    fn draw_several(
        &mut self,
        count: usize,
        mut draw: impl FnMut(&mut Self) -> Fault,
    ) -> Vec<ScheduledFault> {
        (0..count).map(|_| (self.injection_time(), draw(self))).collect()
    }

    fn gateway_death(&mut self) -> Fault {
        let gateway = self.pick_index(self.fleet.gateways);
        match self.pick_index(3) {
            0 => Fault::FreezeGateway(gateway, self.duration(1.0, 6.0)),
            1 => Fault::IsolateGateway(gateway, self.duration(1.0, 6.0)),
            _ => Fault::KillGateway(gateway, self.duration(0.2, 6.0)),
        }
    }

    fn engine_death(&mut self) -> Fault {
        Fault::KillEngine(self.pick_index(self.fleet.engines), self.duration(0.2, 6.0))
    }

    fn backend_hang(&mut self) -> Fault {
        match self.pick_index(3) {
            0 => Fault::HangReplica(self.pick_index(self.fleet.replicas), self.duration(1.0, 15.0)),
            1 => Fault::KillReplica(self.pick_index(self.fleet.replicas), self.duration(1.0, 5.0)),
            _ => Fault::HangEngine(self.pick_index(self.fleet.engines), self.duration(1.0, 15.0)),
        }
    }

    fn store_isolation(&mut self) -> Fault {
        match self.pick_index(3) {
            0 => Fault::FreezeStore(self.pick_index(self.fleet.stores), self.duration(0.3, 5.0)),
            1 => Fault::IsolateStore(self.pick_index(self.fleet.stores), self.duration(0.3, 5.0)),
            _ => Fault::IsolateLeader(self.duration(0.3, 6.0)),
        }
    }

    fn graceful_stop(&mut self) -> Fault {
        Fault::StopGateway(self.pick_index(self.fleet.gateways), self.duration(0.2, 3.0))
    }

    fn disk_fault(&mut self) -> Fault {
        let store = self.pick_index(self.fleet.stores);
        match self.pick_index(3) {
            0 => Fault::SlowDisk(store, self.duration(1.0, 5.0)),
            1 => Fault::FullDisk(store, self.duration(0.5, 3.0)),
            _ => Fault::KillStore(store, self.duration(0.2, 4.0)),
        }
    }

    fn two_disk_losses(&mut self) -> Vec<ScheduledFault> {
        let first = self.pick_index(self.fleet.stores);
        let second = (first + 1 + self.pick_index(self.fleet.stores - 1)) % self.fleet.stores;
        let at = self.duration(1.0, 4.0);
        vec![
            (at, Fault::LoseDisk(first)),
            (at + seconds(0.5), Fault::LoseNextDisk(second)),
            (at + seconds(5.0), Fault::LoseNextDisk(first)),
        ]
    }

    fn restart_after_lag(&mut self) -> Vec<ScheduledFault> {
        let store = self.pick_index(self.fleet.stores);
        let gateway = self.pick_index(self.fleet.gateways);
        vec![
            (seconds(1.0), Fault::KillStore(store, seconds(10.0))),
            (seconds(1.0), Fault::FreezeGateway(gateway, seconds(10.0))),
            (seconds(2.0), Fault::ManyChanges(600)),
        ]
    }

    fn rolling_restart(&mut self) -> Vec<ScheduledFault> {
        let mut schedule = Vec::new();
        let mut at = 1.0;
        for gateway in 0..self.fleet.gateways {
            schedule.push((seconds(at), Fault::StopGateway(gateway, seconds(0.5))));
            at += 4.0;
        }
        for store in 0..self.fleet.stores {
            schedule.push((seconds(at), Fault::KillStore(store, seconds(0.8))));
            at += 4.0;
        }
        schedule
    }

    /// Schedules random faults and those that each invariant needs to be checked.
    fn combined_faults(&mut self) -> Vec<ScheduledFault> {
        let mut schedule = self.draw_several(RANDOM_FAULTS, Self::any_fault);
        schedule.push((self.injection_time(), self.graceful_stop()));
        schedule.push((self.injection_time(), Fault::DrainEngine(1)));
        schedule.push((self.injection_time(), Fault::LeaveEngine(2)));
        schedule.push((self.injection_time(), Fault::Burst(OVERLOAD_BURST)));
        schedule
    }

    fn any_fault(&mut self) -> Fault {
        match self.pick_index(16) {
            0..=2 => self.gateway_death(),
            3 => self.engine_death(),
            4..=5 => self.backend_hang(),
            6..=8 => self.store_isolation(),
            9 => self.graceful_stop(),
            10..=11 => self.disk_fault(),
            12 => Fault::LoseReplies(self.duration(0.3, 1.5)),
            13 => Fault::LossyNetwork(self.duration(1.0, 6.0)),
            14 => Fault::CutZone(self.pick_index(4), self.duration(1.0, 4.0)),
            _ => match self.pick_index(5) {
                0 => Fault::WriteConflict,
                1 => Fault::CancelProgram,
                2 => Fault::LeaveEngine(3),
                3 => Fault::DrainEngine(4),
                _ => Fault::Burst(10),
            },
        }
    }

    /// Schedules random faults, each repeated shortly after its first injection.
    fn repeated_faults(&mut self) -> Vec<ScheduledFault> {
        let mut schedule = Vec::new();
        for _ in 0..3 {
            let at = self.injection_time();
            let fault = self.any_fault();
            schedule.push((at, fault));
            schedule.push((at + self.duration(0.1, 3.0), fault));
        }
        schedule
    }
}
