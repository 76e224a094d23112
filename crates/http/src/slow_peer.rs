//! Ends exchanges whose peer is too slow.
//!
//! `tiny_http` reads and writes without a deadline and does not expose its sockets. Workers
//! therefore register the peer's address and a deadline, and a watchdog thread shuts down the
//! sockets of overdue peers, which ends the read or write.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, RawFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::tcp;
use parking_lot::Mutex;
use rustix::net::{Shutdown, getpeername, shutdown};

/// Interval at which deadlines are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// What an exchange waits for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Awaited {
    /// The rest of the request body.
    Body,
    /// That the peer reads more of the response, or sends the rest of a body that is discarded.
    Progress,
}

impl Awaited {
    /// Returns the side of the connection to shut down. A peer whose body is late can still
    /// receive responses.
    fn overdue_side(self) -> Shutdown {
        match self {
            Self::Body => Shutdown::Read,
            Self::Progress => Shutdown::Both,
        }
    }
}

#[derive(Clone, Copy, Debug)]
struct Deadline {
    peer: SocketAddr,
    awaited: Awaited,
    timeout: Duration,
    at: Instant,
    /// Bytes of the response that the peer had not acknowledged at the previous check.
    unacknowledged_bytes: Option<i32>,
}

/// Deadlines of running exchanges. A connection has several with pipelined requests.
#[derive(Clone, Default)]
pub(crate) struct PeerDeadlines {
    next_id: Arc<AtomicU64>,
    by_id: Arc<Mutex<HashMap<u64, Deadline>>>,
}

impl PeerDeadlines {
    /// Creates a guard without a deadline.
    pub(crate) fn guard(&self, peer: SocketAddr) -> DeadlineGuard {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        DeadlineGuard { deadlines: self.clone(), id, peer }
    }

    fn overdue(&self, now: Instant) -> Vec<(u64, Deadline)> {
        let by_id = self.by_id.lock();
        let overdue = by_id.iter().filter(|(_, deadline)| deadline.at <= now);
        overdue.map(|(id, deadline)| (*id, *deadline)).collect()
    }

    /// Extends a deadline that was not renewed meanwhile.
    fn extend(&self, id: u64, overdue: &Deadline, unacknowledged_bytes: i32) {
        let mut by_id = self.by_id.lock();
        if let Some(deadline) = by_id.get_mut(&id).filter(|deadline| deadline.at == overdue.at) {
            deadline.at = Instant::now() + deadline.timeout;
            deadline.unacknowledged_bytes = Some(unacknowledged_bytes);
        }
    }

    /// Removes a deadline; returns `false` if it was renewed or removed meanwhile.
    fn remove(&self, id: u64, overdue: &Deadline) -> bool {
        let mut by_id = self.by_id.lock();
        let is_same = by_id.get(&id).is_some_and(|deadline| deadline.at == overdue.at);
        is_same && by_id.remove(&id).is_some()
    }

    /// Closes the connection of an overdue deadline unless its peer makes progress.
    fn enforce(&self, id: u64, overdue: &Deadline) {
        let Deadline { peer, awaited, .. } = *overdue;
        if awaited == Awaited::Progress {
            let unacknowledged_bytes = unacknowledged_bytes(peer);
            if let Some(bytes) = unacknowledged_bytes
                && unacknowledged_bytes != overdue.unacknowledged_bytes
            {
                return self.extend(id, overdue, bytes);
            }
        }
        if self.remove(id, overdue) {
            emit!(Event::SlowBodyClosed, "{peer} is too slow ({awaited:?})");
            shut_down_peer(peer, awaited.overdue_side());
        }
    }
}

/// Removes its deadline on drop.
pub(crate) struct DeadlineGuard {
    deadlines: PeerDeadlines,
    id: u64,
    peer: SocketAddr,
}

impl DeadlineGuard {
    /// Sets the deadline, or replaces it.
    pub(crate) fn renew(&self, awaited: Awaited, timeout: Duration) {
        let deadline = Deadline {
            peer: self.peer,
            awaited,
            timeout,
            at: Instant::now() + timeout,
            unacknowledged_bytes: None,
        };
        self.deadlines.by_id.lock().insert(self.id, deadline);
    }

    /// Removes the deadline.
    pub(crate) fn clear(&self) {
        self.deadlines.by_id.lock().remove(&self.id);
    }
}

impl Drop for DeadlineGuard {
    fn drop(&mut self) {
        self.clear();
    }
}

/// Thread that enforces the deadlines.
pub(crate) struct Watchdog;

impl Watchdog {
    pub(crate) fn start(stop: Arc<AtomicBool>) -> io::Result<(PeerDeadlines, JoinHandle<()>)> {
        let deadlines = PeerDeadlines::default();
        let checked_deadlines = deadlines.clone();
        let thread =
            std::thread::Builder::new().name("http-watchdog".to_owned()).spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    std::thread::sleep(CHECK_INTERVAL);
                    for (id, overdue) in checked_deadlines.overdue(Instant::now()) {
                        checked_deadlines.enforce(id, &overdue);
                    }
                }
            })?;
        Ok((deadlines, thread))
    }
}

/// Shuts down every socket of this process that is connected to `peer`.
fn shut_down_peer(peer: SocketAddr, side: Shutdown) {
    for socket in sockets_to(peer) {
        // Fails only if the connection has ended.
        let _ = shutdown(socket, side);
    }
}

/// Returns how many bytes `peer` has not acknowledged, or `None` if the connection has ended.
fn unacknowledged_bytes(peer: SocketAddr) -> Option<i32> {
    sockets_to(peer).find_map(|socket| tcp::unacknowledged_bytes(socket).ok())
}

/// Returns the sockets of this process that are connected to `peer`.
fn sockets_to(peer: SocketAddr) -> impl Iterator<Item = BorrowedFd<'static>> {
    let entries = std::fs::read_dir("/proc/self/fd").into_iter().flatten().flatten();
    let fds = entries.filter_map(|entry| entry.file_name().to_str()?.parse::<RawFd>().ok());
    fds.filter_map(borrow_fd).filter(move |socket| is_connected_to(*socket, peer))
}

fn is_connected_to(socket: BorrowedFd<'_>, peer: SocketAddr) -> bool {
    let address = getpeername(socket).ok().flatten();
    address.is_some_and(|address| SocketAddr::try_from(address) == Ok(peer))
}

#[allow(unsafe_code)]
fn borrow_fd(fd: RawFd) -> Option<BorrowedFd<'static>> {
    // SAFETY: the descriptor was listed as open. If another thread has closed it since, calls
    // on it fail with EBADF; if it was reused, the peer address is compared before it is used.
    (fd >= 0).then(|| unsafe { BorrowedFd::borrow_raw(fd) })
}
