//! Scheduling algorithms without I/O.
//!
//! A program is an agent that sends a sequence of requests, called turns, to replicas of a
//! service. Gateways forward the turns; an elected leader decides when and where each of them
//! runs. The modules:
//!
//! - [`admission`]: order in which waiting turns are admitted;
//! - [`placement`]: choice of the replica that runs a turn;
//! - [`cold`]: rate limit for replicas that have just started;
//! - [`relative_speed`]: speed of replicas relative to others of their service;
//! - [`prefix`]: estimated contents of the replicas' prefix caches;
//! - [`outliers`]: ejection of replicas that fail repeatedly;
//! - [`speed`]: engine speed estimated from completed turns;
//! - [`cost`]: cost estimate for routing a call to an engine;
//! - [`queue`]: order of the calls that wait for one engine;
//! - [`ownership`]: assignment of engine queues to gateways;
//! - [`retry`]: retry budget, backoff and queue timeout.
//!
//! All functions are deterministic: time and randomness are passed in by the caller.

pub mod admission;
pub mod cold;
pub mod cost;
pub mod outliers;
pub mod ownership;
pub mod placement;
pub mod prefix;
pub mod queue;
pub mod relative_speed;
pub mod retry;
pub mod speed;

pub use admission::{Decision, QueueWork, TurnScheduler};
pub use cold::{ColdAdmission, ColdLimiter};
pub use cost::{CostInputs, CostWeights, choose, cost_millis};
pub use outliers::OutlierDetector;
pub use ownership::owner_of;
pub use placement::{
    ConcurrencyLimit, FleetView, MAX_SCANNED_REPLICAS, Placement, PlacementRequest,
    PlacementWeights, Placer, TurnRun,
};
pub use prefix::{PrefixIndex, PromptPart};
pub use queue::{EngineQueue, QueueEntry, QueueFull};
pub use retry::{RetryBudget, backoff, jittered_delay, queue_timeout};
pub use speed::{EngineSpeed, RunSample};
