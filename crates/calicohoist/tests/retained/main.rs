//! What is kept for a time, with real processes: retained turns and the accounts of programs, judged
//! at their callers.
//!
//! `RETAINED_RETENTION_S`, `RETAINED_LOAD_S` and `RETAINED_PAUSE_S` lengthen the runs by hand.

#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

#[path = "../cluster/mod.rs"]
mod cluster;

mod branches;
mod budgets;
mod deployment;
mod faults;
mod long_turns;
mod pauses;
mod settings;
mod slow_readers;
mod turns;
