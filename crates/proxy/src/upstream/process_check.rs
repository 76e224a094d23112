//! Checks whether the process of a replica still runs.
//!
//! A closed connection alone does not show that: replicas also reset connections, and a frozen or
//! unreachable replica closes none.

use std::fmt;
use std::io;
use std::time::Duration;

use calicohoist_routing::{Incarnation, Replica};
use hyper::HeaderMap;

use super::pool::{Pool, PooledConnection, ReplicaConnection};
use super::probe;
use super::start_check::{StartCheck, check_connection};
use crate::dialect::Dialect;

/// Timeout for a new connection. Hosts that are up accept or refuse it within a round trip.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Timeout of a health request, which waits for a slot of the replica.
const HEALTH_TIMEOUT: Duration = Duration::from_millis(200);

/// State of the process that an entry of the replica list stands for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ProcessState {
    /// The process accepts connections.
    Running,
    /// The host is up, and nothing listens at the address.
    Ended,
    /// Another process answers at the address.
    Restarted,
    /// Unknown: the host does not respond, or the process accepts connections without responding.
    Unresponsive,
}

impl ProcessState {
    /// Returns the name in log lines and metrics.
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Running => "running",
            Self::Ended => "ended",
            Self::Restarted => "restarted",
            Self::Unresponsive => "unresponsive",
        }
    }
}

impl fmt::Display for ProcessState {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.as_str())
    }
}

/// Opens a connection to a replica, and asks there whether the listed process still runs. The
/// replica is asked for its start time if the list has one, and otherwise for its health.
pub async fn check_process(
    pool: &Pool,
    dialect: &dyn Dialect,
    replica: &Replica,
    health_path: Option<&str>,
) -> ProcessState {
    let mut connection = match connect(pool, replica).await {
        Ok(connection) => connection,
        Err(state) => return state,
    };
    match (Incarnation::from(replica.id.as_str()).start, health_path) {
        (None, Some(path)) => check_health(&mut connection.sender, dialect, replica, path).await,
        _ => match check_connection(&mut connection, dialect, replica).await {
            StartCheck::Listed => ProcessState::Running,
            StartCheck::Restarted(_) => ProcessState::Restarted,
            StartCheck::NoAnswer => ProcessState::Unresponsive,
        },
    }
}

/// Opens a connection to a replica to find out whether anything listens at its address. The
/// connection is left to later requests.
pub async fn check_listener(pool: &Pool, replica: &Replica) -> ProcessState {
    match connect(pool, replica).await {
        Ok(connection) => {
            pool.check_in(&replica.id, connection, None);
            ProcessState::Running
        }
        Err(state) => state,
    }
}

async fn connect(pool: &Pool, replica: &Replica) -> Result<PooledConnection, ProcessState> {
    match tokio::time::timeout(CONNECT_TIMEOUT, pool.open(replica.address)).await {
        Ok(Ok(connection)) => Ok(connection),
        Ok(Err(error)) if error.kind() == io::ErrorKind::ConnectionRefused => {
            Err(ProcessState::Ended)
        }
        Ok(Err(_)) | Err(_) => Err(ProcessState::Unresponsive),
    }
}

/// Asks a replica for its health. Only the listed process handles the request, well or not.
async fn check_health(
    sender: &mut ReplicaConnection,
    dialect: &dyn Dialect,
    replica: &Replica,
    path: &str,
) -> ProcessState {
    let identity = Incarnation::identity_of(&replica.id);
    let add_headers = |headers: &mut HeaderMap| dialect.write_expected_replica(headers, identity);
    let response = probe::get(sender, replica, path, add_headers);
    match tokio::time::timeout(HEALTH_TIMEOUT, response).await {
        Ok(Some(response)) => match dialect.is_other_replica(&response.into_parts().0, identity) {
            true => ProcessState::Restarted,
            false => ProcessState::Running,
        },
        Ok(None) | Err(_) => ProcessState::Unresponsive,
    }
}
