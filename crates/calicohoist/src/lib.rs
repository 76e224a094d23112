//! The product's roles, settings and command line.
//!
//! - [`settings`]: the settings file, checked as a whole;
//! - [`roles`]: starting and stopping a role;
//! - [`cli`]: the command line, with the operators' client.

pub mod cli;
pub mod roles;
pub mod settings;
