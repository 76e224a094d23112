//! Requests of many kinds while settings files, limits, timeouts, routes and keys change under them,
//! with real processes.

#[path = "../../../../platform/tests/support/mod.rs"]
mod support;

#[path = "../cluster/mod.rs"]
mod cluster;

mod caller;
mod configurations;
mod deployment;
mod judge;
mod settings_files;
