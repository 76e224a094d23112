//! Connection pool for replicas, single request-response exchanges, and checks of restarts.

mod exchange;
mod pool;
mod start_check;

pub use exchange::{Exchange, ExchangeError, OutgoingRequest, exchange};
pub use pool::{Checkout, Pool, PooledConnection};
pub use start_check::{StartCheck, check_start};
