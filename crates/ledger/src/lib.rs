//! Replicated store for the configuration, program budgets and retained turns.
//!
//! Each layer depends only on those listed before it:
//!
//! - [`commands`]: state machine commands and their results;
//! - [`state`]: the replicated state machine, without I/O;
//! - [`queries`]: read-only queries on the state;
//! - [`protocol`]: messages between gateways and ledger machines;
//! - [`server`]: the server process of a ledger machine;
//! - [`client`]: the client that gateways use.

pub mod client;
pub mod commands;
pub mod compression;
pub mod protocol;
pub mod queries;
pub mod server;
pub mod state;

pub use commands::{Command, Output, Reservation, RetiringOutcome};
pub use protocol::{LedgerRequest, LedgerResponse};
pub use state::{HistoryPiece, LedgerState, StoredBytes};
