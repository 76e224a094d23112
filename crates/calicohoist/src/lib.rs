//! Roles, settings and command line of the `calicohoist` binary.
//!
//! - [`settings`]: parsing and validation of the settings file;
//! - [`roles`]: startup and shutdown of the roles;
//! - [`allocator`]: settings of the memory allocator;
//! - [`cli`]: command line, including the operator commands.

pub mod allocator;
pub mod cli;
pub mod roles;
pub mod settings;
