//! Kept connections to replicas, and one exchange over one of them.

mod exchange;
mod pool;

pub use exchange::{Exchange, ExchangeError, Outgoing, exchange};
pub use pool::{Checkout, Pool, PooledConnection};
