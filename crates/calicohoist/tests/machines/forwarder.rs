//! A forwarder on loopback that delays, cuts and silences connections.

use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use parking_lot::Mutex;

/// How long a silenced direction sleeps before it looks again.
const LOOK_AGAIN: Duration = Duration::from_millis(5);
const CHUNK: usize = 16 << 10;

/// What happens to bytes in one direction.
#[derive(Clone, Copy, Debug, Default)]
struct Treatment {
    delay: Duration,
    /// Bytes wait until then, as behind a cut link.
    silent_until: Option<Instant>,
}

#[derive(Default)]
struct State {
    inward: Treatment,
    outward: Treatment,
    connections: Vec<TcpStream>,
}

/// Takes connections at one address and carries them to another.
#[derive(Clone)]
pub struct Forwarder {
    pub address: SocketAddr,
    state: Arc<Mutex<State>>,
}

impl Forwarder {
    pub fn start(listen: SocketAddr, target: SocketAddr) -> Self {
        let listener = TcpListener::bind(listen).expect("a free address");
        let address = listener.local_addr().expect("an address");
        let state: Arc<Mutex<State>> = Arc::default();
        let shared = Arc::clone(&state);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let shared = Arc::clone(&shared);
                thread::spawn(move || carry(&stream, target, &shared));
            }
        });
        Self { address, state }
    }

    pub fn delay(&self, delay: Duration) {
        let mut state = self.state.lock();
        state.inward.delay = delay;
        state.outward.delay = delay;
    }

    /// Bytes to the target, from it, or both wait for a while.
    pub fn silence(&self, inward: bool, outward: bool, lasting: Duration) {
        let until = Some(Instant::now() + lasting);
        let mut state = self.state.lock();
        if inward {
            state.inward.silent_until = until;
        }
        if outward {
            state.outward.silent_until = until;
        }
    }

    /// Breaks every connection there is.
    pub fn break_connections(&self) {
        for connection in self.state.lock().connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// No trouble from now on.
    pub fn calm(&self) {
        let mut state = self.state.lock();
        state.inward = Treatment::default();
        state.outward = Treatment::default();
    }
}

fn carry(caller: &TcpStream, target: SocketAddr, state: &Arc<Mutex<State>>) {
    let Ok(target) = TcpStream::connect_timeout(&target, Duration::from_secs(1)) else {
        let _ = caller.shutdown(Shutdown::Both);
        return;
    };
    let (Ok(caller_out), Ok(target_out)) = (caller.try_clone(), target.try_clone()) else {
        return;
    };
    {
        let mut state = state.lock();
        state.connections.retain(|known| known.peer_addr().is_ok());
        state.connections.extend(caller.try_clone());
        state.connections.extend(target.try_clone());
    }
    let _ = (caller.set_nodelay(true), target.set_nodelay(true));
    let back = Arc::clone(state);
    let answers = thread::spawn(move || {
        pump(&target, &caller_out, || back.lock().outward);
    });
    pump(caller, &target_out, || state.lock().inward);
    let _ = answers.join();
}

fn pump(mut from: &TcpStream, mut to: &TcpStream, treatment: impl Fn() -> Treatment) {
    let mut chunk = vec![0; CHUNK];
    while let Ok(count @ 1..) = from.read(&mut chunk) {
        while treatment().silent_until.is_some_and(|until| Instant::now() < until) {
            thread::sleep(LOOK_AGAIN);
        }
        let delay = treatment().delay;
        if !delay.is_zero() {
            thread::sleep(delay);
        }
        if to.write_all(&chunk[..count]).is_err() {
            break;
        }
    }
    let _ = to.shutdown(Shutdown::Write);
    let _ = from.shutdown(Shutdown::Read);
}
