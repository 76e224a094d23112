//! Fleets: all roles and stand-ins in one process, or in many.
//!
//! - [`control`]: what the lab does with any fleet;
//! - [`resources`]: declaring its back ends, as an operator does;
//! - [`backends`]: the stand-ins of a fleet;
//! - [`embedded`]: everything in one process;
//! - [`files`]: settings files for a fleet of processes, and its control.

pub mod backends;
pub mod control;
pub mod embedded;
pub mod files;
pub mod resources;

pub use control::{Endpoint, FleetControl, FleetMap};
pub use embedded::EmbeddedFleet;
