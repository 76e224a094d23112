//! Connections that callers keep between their requests.

use std::collections::HashMap;
use std::net::SocketAddr;

use crate::attempts::{AttemptLog, RecordedConnection, Submission};
use crate::support::Response;

/// Persistent connections, at most one per gateway.
#[derive(Default)]
pub struct ConnectionPool(HashMap<SocketAddr, RecordedConnection>);

impl ConnectionPool {
    /// Sends a request; returns `None` without a connection or a response head.
    pub fn exchange(
        &mut self,
        address: SocketAddr,
        submission: &Submission,
        log: &AttemptLog,
    ) -> Option<Response> {
        let mut connection = match self.0.remove(&address) {
            Some(connection) => connection,
            None => RecordedConnection::open(address, submission, log)?,
        };
        let request = connection.send(std::slice::from_ref(submission)).pop()?;
        let reply = connection.receive(request);
        if connection.is_reusable(&reply) {
            self.0.insert(address, connection);
        }
        (reply.status != 0).then_some(reply)
    }
}
