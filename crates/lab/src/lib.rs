//! The means of proof: fleets, load, records and the checker.
//!
//! - [`deployment`]: the places and sizes of the two services;
//! - [`workload`]: programs of the kinds they run;
//! - [`caller`]: a caller that streams, repeats, resumes and records;
//! - [`history`]: what callers, engines and services recorded;
//! - [`check`]: the ten invariants, judged from those records alone;
//! - [`fleet`]: all roles and stand-ins in one process, or files for many;
//! - [`sim`]: the product's state machines under virtual time, from one seed;
//! - [`scale`]: costs at a ladder of sizes, their slopes, and the design size;
//! - [`demo`], [`bench`]: the commands;
//! - [`report`]: what a person reads at the end.

pub mod bench;
pub mod caller;
pub mod check;
pub mod demo;
pub mod deployment;
pub mod fleet;
pub mod history;
pub mod report;
pub mod scale;
pub mod sim;
pub mod workload;
