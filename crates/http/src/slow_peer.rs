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
    at: Instant,
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

    fn take_overdue(&self, now: Instant) -> Vec<Deadline> {
        let mut by_id = self.by_id.lock();
        let is_overdue = |_: &u64, deadline: &mut Deadline| deadline.at <= now;
        by_id.extract_if(is_overdue).map(|(_, deadline)| deadline).collect()
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
        let deadline = Deadline { peer: self.peer, awaited, at: Instant::now() + timeout };
        self.deadlines.by_id.lock().insert(self.id, deadline);
    }
}

impl Drop for DeadlineGuard {
    fn drop(&mut self) {
        self.deadlines.by_id.lock().remove(&self.id);
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
                    for overdue in checked_deadlines.take_overdue(Instant::now()) {
                        let Deadline { peer, awaited, .. } = overdue;
                        emit!(Event::SlowBodyClosed, "{peer} is too slow ({awaited:?})");
                        shut_down_peer(peer, awaited.overdue_side());
                    }
                }
            })?;
        Ok((deadlines, thread))
    }
}

/// Shuts down every socket of this process that is connected to `peer`.
fn shut_down_peer(peer: SocketAddr, side: Shutdown) {
    let Ok(entries) = std::fs::read_dir("/proc/self/fd") else {
        return;
    };
    for entry in entries.flatten() {
        let name = entry.file_name();
        let Some(fd) = name.to_str().and_then(|text| text.parse::<RawFd>().ok()) else {
            continue;
        };
        shut_down_if_connected_to(fd, peer, side);
    }
}

fn shut_down_if_connected_to(fd: RawFd, peer: SocketAddr, side: Shutdown) {
    let Some(socket) = borrow_fd(fd) else {
        return;
    };
    let Ok(Some(peer_address)) = getpeername(socket) else {
        return;
    };
    if SocketAddr::try_from(peer_address) == Ok(peer) {
        let _ = shutdown(socket, side);
    }
}

#[allow(unsafe_code)]
fn borrow_fd(fd: RawFd) -> Option<BorrowedFd<'static>> {
    // SAFETY: the descriptor was listed as open. If another thread has closed it since, calls
    // on it fail with EBADF; if it was reused, the peer address is compared before it is used.
    (fd >= 0).then(|| unsafe { BorrowedFd::borrow_raw(fd) })
}
