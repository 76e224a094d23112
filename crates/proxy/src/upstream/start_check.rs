//! Checks whether a replica still runs the process that the list shows.
//!
//! A replica may restart under its identity with other software before the list shows it.

use std::time::Duration;

use bytes::Bytes;
use calicohoist_routing::{Incarnation, Replica, StartTime};
use hyper::StatusCode;

use super::pool::{Checkout, Pool, PooledConnection, ReplicaConnection};
use super::probe;
use crate::dialect::Dialect;

/// Timeout of a check, including a new connection.
const CHECK_TIMEOUT: Duration = Duration::from_millis(200);

/// Result of a check.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum StartCheck {
    /// The replica runs the listed process, or the list has no start times.
    Listed,
    /// The replica runs another process, which started at this time.
    Restarted(StartTime),
    /// The replica did not answer.
    NoAnswer,
}

/// Asks a replica when it started.
pub async fn check_start(pool: &Pool, dialect: &dyn Dialect, replica: &Replica) -> StartCheck {
    check(pool, dialect, replica, Checkout::Any).await
}

/// Asks a replica on a new connection when it started.
///
/// [`StartCheck::Listed`] then also tells which process is at the other end of every connection that was
/// opened since the replica was listed: its processes follow one another, so none can have come between
/// two times at which the listed one accepts connections.
pub async fn check_start_anew(pool: &Pool, dialect: &dyn Dialect, replica: &Replica) -> StartCheck {
    check(pool, dialect, replica, Checkout::New).await
}

async fn check(
    pool: &Pool,
    dialect: &dyn Dialect,
    replica: &Replica,
    checkout: Checkout,
) -> StartCheck {
    let Some(start) = listed_start(replica) else {
        return StartCheck::Listed;
    };
    let check = async {
        let connection = pool.check_out(&replica.id, replica.address, checkout).await;
        let Ok(mut connection) = connection else {
            return StartCheck::NoAnswer;
        };
        connection.start = fetch_start(&mut connection.sender, dialect, replica).await;
        let check = compare_start(connection.start, start);
        if check == StartCheck::Listed && is_open(&mut connection).await {
            pool.check_in(&replica.id, connection, None);
        }
        check
    };
    tokio::time::timeout(CHECK_TIMEOUT, check).await.unwrap_or(StartCheck::NoAnswer)
}

/// Asks on the given connection, all of whose requests reach the same process, unless that was asked
/// on it before.
pub(super) async fn check_connection(
    connection: &mut PooledConnection,
    dialect: &dyn Dialect,
    replica: &Replica,
) -> StartCheck {
    let Some(listed) = listed_start(replica) else {
        return StartCheck::Listed;
    };
    if connection.start.is_none() {
        let start = fetch_start(&mut connection.sender, dialect, replica);
        connection.start = tokio::time::timeout(CHECK_TIMEOUT, start).await.ok().flatten();
    }
    compare_start(connection.start, listed)
}

/// Returns whether a connection can carry a request after a response was read from it.
pub(super) async fn is_open(connection: &mut PooledConnection) -> bool {
    let ready = tokio::time::timeout(CHECK_TIMEOUT, connection.sender.ready()).await;
    matches!(ready, Ok(Ok(())))
}

/// Returns the start time of a replica's listed process, if the list has start times.
pub(super) fn listed_start(replica: &Replica) -> Option<StartTime> {
    Incarnation::from(replica.id.as_str()).start
}

fn compare_start(reported: Option<StartTime>, listed: StartTime) -> StartCheck {
    match reported {
        Some(start) if start == listed => StartCheck::Listed,
        Some(start) => StartCheck::Restarted(start),
        None => StartCheck::NoAnswer,
    }
}

async fn fetch_start(
    sender: &mut ReplicaConnection,
    dialect: &dyn Dialect,
    replica: &Replica,
) -> Option<StartTime> {
    let report = fetch_report(sender, dialect, replica).await?;
    dialect.parse_start(&report)
}

async fn fetch_report(
    sender: &mut ReplicaConnection,
    dialect: &dyn Dialect,
    replica: &Replica,
) -> Option<Bytes> {
    let response = probe::get(sender, replica, dialect.report_path(), |_| {}).await?;
    if response.status() != StatusCode::OK {
        return None;
    }
    Some(response.into_body())
}
