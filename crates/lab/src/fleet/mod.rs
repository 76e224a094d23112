//! Test fleets with emulated back ends, in one process or in one process per node.
//!
//! - [`control`]: operations that every kind of fleet supports;
//! - [`resources`]: declares the resources of a fleet through the operator API;
//! - [`backends`]: emulated engines, services, platform and weight store;
//! - [`embedded`]: fleet in one process;
//! - [`processes`]: fleet of separate processes and its settings files.

pub mod backends;
pub mod control;
pub mod embedded;
pub mod processes;
pub mod resources;

pub use control::{Endpoint, FleetAddresses, FleetControl};
pub use embedded::EmbeddedFleet;
