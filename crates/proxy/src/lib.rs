//! Data plane of the gateway: forwards client requests to replicas and their responses back.
//!
//! Modules, from the lowest layer to the highest:
//!
//! - [`dialect`]: trait that reads and writes the platform's headers and documents;
//! - [`settings`]: startup settings of a gateway;
//! - [`events`]: incremental parser for server-sent events;
//! - [`memory`]: memory limit for buffered bodies;
//! - [`fleet`]: known replicas with their load and health;
//! - [`upstream`]: connection pool for replicas, and single request-response exchanges;
//! - [`sends`]: requests sent to replicas whose outcome is not known;
//! - [`pauses`]: times for which the process stood still;
//! - [`app`]: state shared by all requests of a process;
//! - [`flow`]: processing of a single request;
//! - [`ledger_watch`]: watches the ledger for configuration, replicas and loads;
//! - [`frontend`]: sockets that clients connect to.

pub mod app;
pub mod dialect;
pub mod events;
pub mod fleet;
pub mod flow;
pub mod frontend;
pub mod ledger_contact;
pub mod ledger_watch;
pub mod memory;
pub mod pauses;
pub mod response_times;
pub mod sends;
pub mod settings;
pub mod upstream;

pub use app::App;
pub use dialect::{Dialect, HeaderOwner, OutgoingHead, RequestHead, ResponseHead};
pub use settings::ProxySettings;
