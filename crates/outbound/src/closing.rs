//! Closing of a connection on request.

use tokio::sync::watch;

/// State of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum ConnectionState {
    Open,
    Closing,
    Closed,
}

/// Closes a connection on request, and tells when it is closed.
#[derive(Debug)]
pub struct Closing {
    state: watch::Sender<ConnectionState>,
}

impl Default for Closing {
    fn default() -> Self {
        Self { state: watch::Sender::new(ConnectionState::Open) }
    }
}

impl Closing {
    /// Closes the connection, even while it pauses or a response is read; returns once it is closed.
    pub async fn close(&self) {
        self.advance_to(ConnectionState::Closing);
        self.reached(ConnectionState::Closed).await;
    }

    /// Waits until the connection is to be closed.
    pub(crate) async fn requested(&self) {
        self.reached(ConnectionState::Closing).await;
    }

    /// Records that the connection is closed.
    pub(crate) fn record_closed(&self) {
        self.advance_to(ConnectionState::Closed);
    }

    fn advance_to(&self, next: ConnectionState) {
        self.state.send_if_modified(|state| {
            let advances = *state < next;
            *state = next.max(*state);
            advances
        });
    }

    async fn reached(&self, state: ConnectionState) {
        // The sender is not dropped meanwhile.
        let _ = self.state.subscribe().wait_for(|current| *current >= state).await;
    }
}
