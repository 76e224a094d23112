//! Connection pool for replicas, single request-response exchanges, and checks of restarts and
//! crashes.

mod exchange;
mod pool;
mod probe;
mod process_check;
mod start_check;

pub use exchange::{
    Exchange, ExchangeError, OutgoingRequest, ProcessCheck, SendProgress, exchange,
    is_closed_by_peer, is_malformed,
};
pub use pool::{Checkout, Pool, PooledConnection, ReplicaConnection};
pub use process_check::{ProcessState, check_listener, check_process};
pub use start_check::{StartCheck, check_start, check_start_anew};
