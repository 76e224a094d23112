//! Test fleets, load generator, benchmarks, simulator and invariant checker.
//!
//! - [`deployment`]: zones, delays and sizes of the two reference deployments;
//! - [`workload`]: generates the programs to run;
//! - [`caller`]: client that retries, resumes streams and records each request;
//! - [`history`]: records of clients, engines and services;
//! - [`check`]: checks the ten invariants against these records;
//! - [`fleet`]: fleets in one process or in one process per node;
//! - [`sim`]: deterministic simulation of a fleet in virtual time;
//! - [`scale`]: measures costs at several fleet sizes and extrapolates them;
//! - [`demo`], [`bench`]: the subcommands of these names;
//! - [`report`]: text output of the results.

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
