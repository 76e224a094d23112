//! The simulator: the product's own state machines, whole fleets in one thread
//! under virtual time, every message, disk and clock from one seed.
//!
//! - [`account`]: what messages and steps cost each part;
//! - [`disk`]: a disk that loses what was not synced, fills up, or is lost;
//! - [`frame`]: everything that travels, and who can send it;
//! - [`network`]: delays, losses, repetitions and cuts;
//! - [`world`]: the clock, the queue of events, and all parts of the fleet;
//! - [`backends`]: engines, services and the platform in virtual time;
//! - [`caller`]: programs as their callers run them;
//! - [`operator`]: changes of the configuration, and probes of it;
//! - [`fault`]: what can go wrong;
//! - [`disturb`]: brings it about and heals it;
//! - [`waste`]: engine memory that is held or computed in vain;
//! - [`scenario`]: the named scenarios, and what they do when;
//! - [`run`]: one run, its report, and many runs on all cores.

pub mod account;
pub mod backends;
pub mod caller;
pub mod disk;
pub mod disturb;
pub mod fault;
pub mod frame;
pub mod network;
pub mod operator;
pub mod run;
pub mod scenario;
pub mod waste;
pub mod world;

pub use run::{SeedRange, SimReport, SimSettings, run, run_many, run_planned};
pub use scenario::Scenario;
