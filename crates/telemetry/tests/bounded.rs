//! Logging never waits for whoever reads the log.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use calicohoist_telemetry::bounded::{BoundedOutput, LineClass};
use parking_lot::Mutex;

/// An output that takes nothing until it is told to.
struct Blocked {
    release: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for Blocked {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // An error means that nobody releases it any more.
        let _ = self.release.recv();
        self.written.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked() -> (Blocked, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (release, released) = channel();
    let written: Arc<Mutex<Vec<u8>>> = Arc::default();
    (Blocked { release: released, written: Arc::clone(&written) }, release, written)
}

#[test]
fn an_output_that_nobody_reads_holds_nobody_up() {
    let (output, release, _written) = blocked();
    let log = BoundedOutput::start(output).expect("a thread");
    for number in 0..50_000 {
        log.write(LineClass::Ordinary, format!("line {number}"));
    }
    assert!(log.left_out() > 40_000, "{}", log.left_out());
    drop(release);
}

#[test]
fn what_was_left_out_is_counted_and_told() {
    let (output, release, written) = blocked();
    let log = BoundedOutput::start(output).expect("a thread");
    for number in 0..20_000 {
        log.write(LineClass::Ordinary, format!("line {number}"));
    }
    drop(release);
    let text = || String::from_utf8_lossy(&written.lock()).into_owned();
    while !text().contains("LinesLeftOut") {
        log.write(LineClass::Essential, "again".to_owned());
        thread::yield_now();
    }
    let told = text();
    let written_lines = told.lines().filter(|line| line.starts_with("line ")).count();
    assert!(written_lines < 20_000);
}

#[test]
fn ends_and_failures_go_before_steps() {
    let (output, release, written) = blocked();
    let log = BoundedOutput::start(output).expect("a thread");
    for _ in 0..20_000 {
        log.write(LineClass::Ordinary, "step".to_owned());
    }
    for _ in 0..100 {
        log.write(LineClass::Essential, "end".to_owned());
    }
    drop(release);
    let ends = || {
        let written = written.lock();
        String::from_utf8_lossy(&written).lines().filter(|line| *line == "end").count()
    };
    while ends() < 100 {
        thread::yield_now();
    }
}
