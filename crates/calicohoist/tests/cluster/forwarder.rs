//! Loopback TCP forwarder that injects delays, stalls and connection resets.

use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// Polling interval of a stalled direction.
const STALL_POLL_INTERVAL: Duration = Duration::from_millis(5);
const BUFFER_BYTES: usize = 16 << 10;

/// Injected faults of one direction.
#[derive(Clone, Copy, Debug, Default)]
struct LinkFaults {
    delay: Duration,
    /// Time until which bytes are held back, as in a network partition.
    stalled_until: Option<Instant>,
}

#[derive(Default)]
struct ForwarderState {
    to_target: LinkFaults,
    from_target: LinkFaults,
    /// Open connections by number, each with its two sockets.
    connections: BTreeMap<usize, [TcpStream; 2]>,
}

/// Forwards connections from one address to another.
#[derive(Clone)]
pub struct Forwarder {
    pub address: SocketAddr,
    state: Arc<Mutex<ForwarderState>>,
}

impl Forwarder {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).expect("a free address");
        let address = listener.local_addr().expect("an address");
        let state: Arc<Mutex<ForwarderState>> = Arc::default();
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for (number, stream) in listener.incoming().flatten().enumerate() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || {
                    forward(&stream, target, number, &shared);
                    // A clone keeps the socket open, and with it a peer that still sends.
                    shared.lock().connections.remove(&number);
                });
            }
        });
        Self { address, state }
    }

    pub fn set_delay(&self, delay: Duration) {
        let mut state = self.state.lock();
        state.to_target.delay = delay;
        state.from_target.delay = delay;
    }

    /// Holds back bytes to the target, from it, or both for `duration`.
    pub fn stall(&self, to_target: bool, from_target: bool, duration: Duration) {
        let until = Some(Instant::now() + duration);
        let mut state = self.state.lock();
        if to_target {
            state.to_target.stalled_until = until;
        }
        if from_target {
            state.from_target.stalled_until = until;
        }
    }

    /// Closes all open connections.
    pub fn break_connections(&self) {
        let connections = std::mem::take(&mut self.state.lock().connections);
        for socket in connections.values().flatten() {
            let _ = socket.shutdown(Shutdown::Both);
        }
    }

    /// Removes all injected faults.
    pub fn clear_faults(&self) {
        let mut state = self.state.lock();
        state.to_target = LinkFaults::default();
        state.from_target = LinkFaults::default();
    }
}

fn forward(
    caller: &TcpStream,
    target: SocketAddr,
    number: usize,
    state: &Arc<Mutex<ForwarderState>>,
) {
    let Ok(target) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
        let _ = caller.shutdown(Shutdown::Both);
        return;
    };
    let (Ok(caller_out), Ok(target_out)) = (caller.try_clone(), target.try_clone()) else {
        return;
    };
    if let (Ok(caller), Ok(target)) = (caller.try_clone(), target.try_clone()) {
        state.lock().connections.insert(number, [caller, target]);
    }
    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
    let reply_state = Arc::clone(state);
    let replies = thread::spawn(move || {
        copy(&target, &caller_out, || reply_state.lock().from_target);
    });
    copy(caller, &target_out, || state.lock().to_target);
    let _ = replies.join();
}

fn copy(mut from: &TcpStream, mut to: &TcpStream, faults: impl Fn() -> LinkFaults) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(count @ 1..) = from.read(&mut buffer) {
        while faults().stalled_until.is_some_and(|until| Instant::now() < until) {
            thread::sleep(STALL_POLL_INTERVAL);
        }
        let delay = faults().delay;
        if !delay.is_zero() {
            thread::sleep(delay);
        }
        if to.write_all(&buffer[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
