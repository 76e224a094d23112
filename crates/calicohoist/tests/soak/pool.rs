//! Connections that callers keep between their requests.

#![allow(dead_code)]

use std::collections::HashMap;
use std::net::SocketAddr;
use std::time::Instant;

use crate::attempts::{AttemptLog, RecordedConnection, Submission};
use crate::support::Response;

/// A request that was sent, and its answer.
pub struct Exchange {
    pub reply: Response,
    /// When the last byte of the request had been sent.
    pub sent: Option<Instant>,
    /// When the last byte of the answer arrived.
    pub ended: Option<Instant>,
}

/// Persistent connections, at most one per gateway.
#[derive(Default)]
pub struct ConnectionPool(HashMap<SocketAddr, RecordedConnection>);

impl ConnectionPool {
    /// Forgets the connections that their gateways have closed.
    pub fn drop_closed(&mut self) {
        self.0.retain(|_, connection| !connection.is_closed());
    }

    /// Sends a request; returns `None` without a connection or a response head.
    pub fn exchange(
        &mut self,
        address: SocketAddr,
        submission: &Submission,
        log: &AttemptLog,
    ) -> Option<Exchange> {
        let mut connection = match self.0.remove(&address) {
            Some(connection) => connection,
            None => RecordedConnection::open(address, submission, log)?,
        };
        let request = connection.send(std::slice::from_ref(submission)).pop()?;
        let sent = request.sent();
        let reply = connection.receive(request);
        let ended = connection.last_received();
        if connection.is_reusable(&reply) {
            self.0.insert(address, connection);
        }
        (reply.status != 0).then_some(Exchange { reply, sent, ended })
    }
}
