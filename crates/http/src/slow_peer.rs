//! Closes connections whose request body does not arrive in time.
//!
//! `tiny_http` reads bodies without a deadline and hands out no socket. A worker
//! therefore registers the peer's address and a deadline before it reads, and
//! this watchdog shuts the socket of an overdue peer down, which ends the read.

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

/// How often deadlines are looked at.
const CHECK_INTERVAL: Duration = Duration::from_millis(50);

/// Deadlines of the bodies that are being read now, by peer.
#[derive(Clone, Default)]
pub(crate) struct SlowPeerWatch {
    deadlines: Arc<Mutex<HashMap<SocketAddr, Instant>>>,
}

impl SlowPeerWatch {
    /// Watches `peer` until the guard is dropped.
    pub(crate) fn guard(&self, peer: SocketAddr, timeout: Duration) -> WatchGuard {
        self.deadlines.lock().insert(peer, Instant::now() + timeout);
        WatchGuard { watch: self.clone(), peer }
    }

    fn take_overdue(&self, now: Instant) -> Vec<SocketAddr> {
        let mut deadlines = self.deadlines.lock();
        let is_overdue = |_: &SocketAddr, deadline: &mut Instant| *deadline <= now;
        deadlines.extract_if(is_overdue).map(|(peer, _)| peer).collect()
    }
}

/// Ends the watch over one peer when dropped.
pub(crate) struct WatchGuard {
    watch: SlowPeerWatch,
    peer: SocketAddr,
}

impl Drop for WatchGuard {
    fn drop(&mut self) {
        self.watch.deadlines.lock().remove(&self.peer);
    }
}

/// The duty that enforces the deadlines.
pub(crate) struct Watchdog;

impl Watchdog {
    pub(crate) fn start(stop: Arc<AtomicBool>) -> io::Result<(SlowPeerWatch, JoinHandle<()>)> {
        let watch = SlowPeerWatch::default();
        let watched = watch.clone();
        let thread =
            std::thread::Builder::new().name("http-watchdog".to_owned()).spawn(move || {
                while !stop.load(Ordering::SeqCst) {
                    std::thread::sleep(CHECK_INTERVAL);
                    for peer in watched.take_overdue(Instant::now()) {
                        emit!(Event::SlowBodyClosed, "closing {peer}");
                        shut_down_peer(peer);
                    }
                }
            })?;
        Ok((watch, thread))
    }
}

/// Shuts down every socket of this process that is connected to `peer`.
fn shut_down_peer(peer: SocketAddr) {
    let Ok(entries) = std::fs::read_dir("/proc/self/fd") else {
        return;
    };
    for entry in entries.flatten() {
        let name = entry.file_name();
        let Some(number) = name.to_str().and_then(|text| text.parse::<RawFd>().ok()) else {
            continue;
        };
        shut_down_if_connected_to(number, peer);
    }
}

fn shut_down_if_connected_to(number: RawFd, peer: SocketAddr) {
    let Some(socket) = borrow(number) else {
        return;
    };
    let Ok(Some(found)) = getpeername(socket) else {
        return;
    };
    if SocketAddr::try_from(found) == Ok(peer) {
        let _ = shutdown(socket, Shutdown::Both);
    }
}

#[allow(unsafe_code)]
fn borrow(number: RawFd) -> Option<BorrowedFd<'static>> {
    // SAFETY: the number was just listed as open. If another thread closes it in
    // between, the calls on it fail with EBADF; if it was reused, the peer
    // address is compared before anything is done with it.
    (number >= 0).then(|| unsafe { BorrowedFd::borrow_raw(number) })
}
