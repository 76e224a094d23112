//! Connection pool for replicas, and single request-response exchanges.

mod exchange;
mod pool;

pub use exchange::{Exchange, ExchangeError, Outgoing, exchange};
pub use pool::{Checkout, Pool, PooledConnection};
