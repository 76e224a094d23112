//! Closes connections whose request body is not received in time.
//!
//! `tiny_http` reads bodies without a deadline and does not expose its sockets. Workers therefore
//! register the peer's address and a deadline before reading, and a watchdog thread shuts down the
//! sockets of overdue peers, which ends the read.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::os::fd::{BorrowedFd, RawFd};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::JoinHandle;
use std::time::{Duration, Instant};

use calicohoist_telemetry::{Event, emit};
use parking_lot::Mutex;
use rustix::net::{Shutdown, getpeername, shutdown};

/// Interval at which deadlines are checked.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Deadlines of request bodies that are being read, by peer.
#[derive(Clone, Default)]
pub(crate) struct BodyDeadlines {
    by_peer: Arc<Mutex<HashMap<SocketAddr, Instant>>>,
}

impl BodyDeadlines {
    /// Sets the deadline of `peer`, which applies until the guard is dropped.
    pub(crate) fn guard(&self, peer: SocketAddr, timeout: Duration) -> DeadlineGuard {
        self.by_peer.lock().insert(peer, Instant::now() + timeout);
        DeadlineGuard { deadlines: self.clone(), peer }
    }

    fn take_overdue(&self, now: Instant) -> Vec<SocketAddr> {
        let mut by_peer = self.by_peer.lock();
        let is_overdue = |_: &SocketAddr, deadline: &mut Instant| *deadline <= now;
        by_peer.extract_if(is_overdue).map(|(peer, _)| peer).collect()
    }
}

/// Removes the deadline of a peer on drop.
pub(crate) struct DeadlineGuard {
    deadlines: BodyDeadlines,
    peer: SocketAddr,
}

impl Drop for DeadlineGuard {
    fn drop(&mut self) {
        self.deadlines.by_peer.lock().remove(&self.peer);
    }
}

/// Thread that enforces the deadlines.
pub(crate) struct Watchdog;

impl Watchdog {
    pub(crate) fn start(stop: Arc<AtomicBool>) -> io::Result<(BodyDeadlines, JoinHandle<()>)> {
        let deadlines = BodyDeadlines::default();
        let checked_deadlines = deadlines.clone();
        let thread =
            std::thread::Builder::new().name("http-watchdog".to_owned()).spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    std::thread::sleep(CHECK_INTERVAL);
                    for peer in checked_deadlines.take_overdue(Instant::now()) {
                        emit!(
                            Event::SlowBodyClosed,
                            "request body from {peer} not received in time; closing the connection"
                        );
                        shut_down_peer(peer);
                    }
                }
            })?;
        Ok((deadlines, thread))
    }
}

/// Shuts down every socket of this process that is connected to `peer`.
fn shut_down_peer(peer: SocketAddr) {
    let Ok(entries) = std::fs::read_dir("/proc/self/fd") else {
        return;
    };
    for entry in entries.flatten() {
        let name = entry.file_name();
        let Some(fd) = name.to_str().and_then(|text| text.parse::<RawFd>().ok()) else {
            continue;
        };
        shut_down_if_connected_to(fd, peer);
    }
}

fn shut_down_if_connected_to(fd: RawFd, peer: SocketAddr) {
    let Some(socket) = borrow_fd(fd) else {
        return;
    };
    let Ok(Some(peer_address)) = getpeername(socket) else {
        return;
    };
    if SocketAddr::try_from(peer_address) == Ok(peer) {
        let _ = shutdown(socket, Shutdown::Both);
    }
}

#[allow(unsafe_code)]
fn borrow_fd(fd: RawFd) -> Option<BorrowedFd<'static>> {
    // SAFETY: the descriptor was listed as open. If another thread has closed it since, calls
    // on it fail with EBADF; if it was reused, the peer address is compared before it is used.
    (fd >= 0).then(|| unsafe { BorrowedFd::borrow_raw(fd) })
}
