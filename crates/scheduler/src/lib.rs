//! Pure scheduling decisions.
//!
//! - [`cost`]: what routing a call to an engine would cost;
//! - [`queue`]: which waiting call an engine takes next;
//! - [`ownership`]: which gateway keeps an engine's queue;
//! - [`retry`]: how many retries a gateway may make, and how long it waits.
//!
//! Nothing here reads a clock, draws a random number or knows its callers.

pub mod cost;
pub mod ownership;
pub mod queue;
pub mod retry;

pub use cost::{CostInputs, CostWeights, choose, cost_millis};
pub use ownership::owner_of;
pub use queue::{EngineQueue, QueueEntry, QueueFull};
pub use retry::{RetryBudget, backoff};
