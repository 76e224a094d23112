//! Connection pool for replicas, and single request-response exchanges.

mod exchange;
mod pool;

pub use exchange::{Exchange, ExchangeError, OutgoingRequest, exchange};
pub use pool::{Checkout, Pool, PooledConnection};
