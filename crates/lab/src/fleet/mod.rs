//! Fleets: all roles and stand-ins in one process, or files for many.

pub mod embedded;
pub mod files;
pub mod resources;

pub use embedded::EmbeddedFleet;
