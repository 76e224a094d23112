//! Deterministic simulator: runs the state machines of a whole fleet in one thread under virtual
//! time, with every message, disk and clock driven by one seed.
//!
//! - [`cost`]: traffic and processing time per node;
//! - [`disk`]: a disk that can lose unsynced data, fill up or be replaced;
//! - [`frame`]: the messages of the simulation and their senders;
//! - [`network`]: delay, loss, duplication and partitions;
//! - [`world`]: the clock, the event queue and the nodes of the fleet;
//! - [`backends`]: engines, service replicas and the platform;
//! - [`caller`]: programs as state machines of their callers;
//! - [`operator`]: configuration changes and probes that verify them;
//! - [`fault`]: the types of faults;
//! - [`fault_injection`]: injects faults and heals them;
//! - [`waste`]: engine cache held for ended programs or computed more than once;
//! - [`scenario`]: the named scenarios and their fault schedules;
//! - [`run`]: one run, its report, and runs of many seeds in parallel.

pub mod backends;
pub mod caller;
pub mod cost;
pub mod disk;
pub mod fault;
pub mod fault_injection;
pub mod frame;
pub mod network;
pub mod operator;
pub mod run;
pub mod scenario;
pub mod waste;
pub mod world;

pub use run::{SeedRange, SimReport, SimSettings, run, run_many, run_with_faults};
pub use scenario::Scenario;
