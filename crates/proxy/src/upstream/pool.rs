//! Kept connections, by replica.
//!
//! A connection carries one request at a time. It is kept only after a whole answer,
//! and used again only well within the time that the replica keeps it open: when a
//! replica closes it just as a request goes out, nothing says whether that request ran.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use bytes::Bytes;
use calicohoist_transport::tcp;
use http_body_util::Full;
use hyper::client::conn::http1::{self, SendRequest};
use hyper_util::rt::TokioIo;
use parking_lot::Mutex;

/// Kept connections to one replica at most.
const MAX_IDLE: usize = 16;
/// How long a connection is kept when the replica does not say.
const DEFAULT_KEEP: Duration = Duration::from_secs(4);
/// A connection is given up this long before the replica closes it.
const KEEP_MARGIN: Duration = Duration::from_millis(700);
const CONNECT_PATIENCE: Duration = Duration::from_millis(400);
const USER_TIMEOUT: Duration = Duration::from_millis(1_500);
/// How long a kept connection may take to say that it is free.
const READY_PATIENCE: Duration = Duration::from_millis(5);

/// A connection that is free for one request.
#[derive(Debug)]
pub struct PooledConnection {
    /// Sends on the connection.
    pub sender: SendRequest<Full<Bytes>>,
    /// Whether it carried a request before.
    pub is_reused: bool,
}

#[derive(Debug)]
struct Idle {
    sender: SendRequest<Full<Bytes>>,
    usable_until: Instant,
}

impl Idle {
    fn is_usable(&self, now: Instant) -> bool {
        self.usable_until > now && !self.sender.is_closed()
    }
}

/// Kept connections, by identity of the replica.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<HashMap<String, Vec<Idle>>>,
}

/// What a check-out may use.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Checkout {
    /// A kept connection, or a new one.
    Any,
    /// Only a new one.
    New,
}

impl Pool {
    /// A connection to the replica.
    ///
    /// # Errors
    /// When a new one cannot be opened; nothing was sent.
    pub async fn check_out(
        &self,
        replica: &str,
        address: SocketAddr,
        checkout: Checkout,
    ) -> io::Result<PooledConnection> {
        if checkout == Checkout::Any
            && let Some(sender) = self.free_connection(replica).await
        {
            return Ok(PooledConnection { sender, is_reused: true });
        }
        open(address).await
    }

    /// The kept connection that was used last and is still free.
    async fn free_connection(&self, replica: &str) -> Option<SendRequest<Full<Bytes>>> {
        loop {
            let mut idle = self.pop(replica)?;
            let ready = tokio::time::timeout(READY_PATIENCE, idle.sender.ready()).await;
            if matches!(ready, Ok(Ok(()))) {
                return Some(idle.sender);
            }
        }
    }

    fn pop(&self, replica: &str) -> Option<Idle> {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        let kept = idle.get_mut(replica)?;
        kept.retain(|idle| idle.is_usable(now));
        kept.pop()
    }

    /// Keeps a connection whose answer was whole. `keep` is what the replica announced.
    pub fn check_in(
        &self,
        replica: &str,
        sender: SendRequest<Full<Bytes>>,
        keep: Option<Duration>,
    ) {
        if sender.is_closed() {
            return;
        }
        let keep = keep.unwrap_or(DEFAULT_KEEP).saturating_sub(KEEP_MARGIN);
        let usable_until = Instant::now() + keep;
        let mut idle = self.idle.lock();
        let kept = idle.entry(replica.to_owned()).or_default();
        if kept.len() >= MAX_IDLE {
            kept.remove(0);
        }
        kept.push(Idle { sender, usable_until });
    }

    /// Whether a connection to the replica is kept that may still be used.
    pub fn has_idle(&self, replica: &str) -> bool {
        let now = Instant::now();
        let idle = self.idle.lock();
        idle.get(replica).is_some_and(|kept| kept.iter().any(|idle| idle.is_usable(now)))
    }

    /// Replicas to which a connection is kept that may still be used.
    pub fn connected(&self) -> Vec<String> {
        let now = Instant::now();
        let idle = self.idle.lock();
        let is_usable = |kept: &[Idle]| kept.iter().any(|idle| idle.is_usable(now));
        let usable = idle.iter().filter(|(_, kept)| is_usable(kept));
        usable.map(|(replica, _)| replica.clone()).collect()
    }

    /// Closes what is kept to replicas that are not listed, and what is too old.
    pub fn retain(&self, listed: &[String]) {
        let now = Instant::now();
        let mut idle = self.idle.lock();
        idle.retain(|replica, _| listed.contains(replica));
        for kept in idle.values_mut() {
            kept.retain(|idle| idle.is_usable(now));
        }
    }
}

async fn open(address: SocketAddr) -> io::Result<PooledConnection> {
    let stream = tcp::connect(address, CONNECT_PATIENCE, USER_TIMEOUT).await?;
    let (sender, connection) =
        http1::handshake(TokioIo::new(stream)).await.map_err(io::Error::other)?;
    tokio::spawn(async move {
        // How it ended shows in the exchange that it carried.
        let _ = connection.await;
    });
    Ok(PooledConnection { sender, is_reused: false })
}
