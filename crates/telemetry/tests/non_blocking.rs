//! Log output does not block the caller, counts dropped lines and prefers high-priority lines.

use std::io::{self, Write};
use std::sync::Arc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;

use calicohoist_telemetry::non_blocking::{LinePriority, NonBlockingWriter};
use parking_lot::Mutex;

/// Output that blocks each write until the release sender signals or is dropped.
struct BlockedOutput {
    release: Receiver<()>,
    written: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockedOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        // An error means that the sender was dropped; writes then no longer block.
        let _ = self.release.recv();
        self.written.lock().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

fn blocked_output() -> (BlockedOutput, Sender<()>, Arc<Mutex<Vec<u8>>>) {
    let (release, receiver) = channel();
    let written: Arc<Mutex<Vec<u8>>> = Arc::default();
    (BlockedOutput { release: receiver, written: Arc::clone(&written) }, release, written)
}

#[test]
fn blocked_output_does_not_block_the_caller() {
    let (output, release, _written) = blocked_output();
    let log = NonBlockingWriter::start(output).expect("a thread");
    for number in 0..50_000 {
        log.write(LinePriority::Low, format!("line {number}"));
    }
    assert!(log.dropped() > 40_000, "{}", log.dropped());
    drop(release);
}

#[test]
fn dropped_lines_are_counted_and_reported() {
    let (output, release, written) = blocked_output();
    let log = NonBlockingWriter::start(output).expect("a thread");
    for number in 0..20_000 {
        log.write(LinePriority::Low, format!("line {number}"));
    }
    drop(release);
    let text = || String::from_utf8_lossy(&written.lock()).into_owned();
    while !text().contains("LinesLeftOut") {
        log.write(LinePriority::High, "again".to_owned());
        thread::yield_now();
    }
    let logged = text();
    let written_lines = logged.lines().filter(|line| line.starts_with("line ")).count();
    assert!(written_lines < 20_000);
}

#[test]
fn high_priority_lines_survive_a_low_priority_flood() {
    let (output, release, written) = blocked_output();
    let log = NonBlockingWriter::start(output).expect("a thread");
    for _ in 0..20_000 {
        log.write(LinePriority::Low, "step".to_owned());
    }
    for _ in 0..100 {
        log.write(LinePriority::High, "end".to_owned());
    }
    drop(release);
    let end_lines = || {
        let written = written.lock();
        String::from_utf8_lossy(&written).lines().filter(|line| *line == "end").count()
    };
    while end_lines() < 100 {
        thread::yield_now();
    }
}
