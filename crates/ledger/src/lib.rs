//! What must survive: the configuration, the budgets of programs, and retained turns.
//!
//! Layers, each knowing only those above it in this list:
//!
//! - [`commands`]: what changes the state, and what comes of it;
//! - [`state`]: the replicated state machine, without I/O;
//! - [`queries`]: what is read from it;
//! - [`protocol`]: what gateways ask of a ledger machine;
//! - [`server`]: the process of a ledger machine;
//! - [`client`]: the asking side, in a gateway.

pub mod client;
pub mod commands;
pub mod packed;
pub mod protocol;
pub mod queries;
pub mod server;
pub mod state;

pub use commands::{Command, Output, Reservation, RetiringOutcome};
pub use protocol::{Answer, Question};
pub use state::{HistoryPiece, LedgerState, StoredBytes};
