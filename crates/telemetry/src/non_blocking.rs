//! Non-blocking log output.
//!
//! Lines are queued in a bounded channel and written by a dedicated thread. A line that exceeds
//! the queue's capacity or the rate limit of its priority is dropped and counted.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};
use parking_lot::Mutex;

/// Capacity of the queue between callers and the writer thread, in lines.
const QUEUE_CAPACITY: usize = 4_096;
/// Low-priority lines are dropped while at least this many lines are queued.
const LOW_PRIORITY_QUEUE_LIMIT: usize = QUEUE_CAPACITY / 2;
/// Low-priority lines accepted per second.
const LOW_PRIORITY_RATE: u32 = 1_500;
/// High-priority lines accepted per second.
const HIGH_PRIORITY_RATE: u32 = 3_000;
/// Delay between the first line of a batch and the write, to reduce the number of writes.
const BATCH_DELAY: Duration = Duration::from_millis(20);
/// Time to wait before process exit for queued lines to be written.
pub const DRAIN_DELAY: Duration = Duration::from_millis(40);
/// Largest batch in bytes; POSIX guarantees atomic pipe writes up to `PIPE_BUF`.
const MAX_BATCH_BYTES: usize = 4_096;
const RATE_WINDOW: Duration = Duration::from_secs(1);

/// Priority of a log line under overload.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinePriority {
    /// End of a request, failure, or change of the process's state.
    High,
    /// Intermediate step of a successful request.
    Low,
}

/// Lines submitted in the current rate-limit window.
struct RateWindow {
    started_at: Instant,
    low: u32,
    high: u32,
}

/// Queues log lines for the writer thread.
pub struct NonBlockingWriter {
    lines: Sender<String>,
    window: Mutex<RateWindow>,
    dropped: &'static AtomicU64,
}

impl NonBlockingWriter {
    /// Starts a thread that writes to `output`.
    ///
    /// # Errors
    /// Returns an error if the thread cannot be started.
    pub fn start(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (lines, receiver) = bounded(QUEUE_CAPACITY);
        let dropped: &'static AtomicU64 = Box::leak(Box::default());
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(output, &receiver, dropped))?;
        let window = RateWindow { started_at: Instant::now(), low: 0, high: 0 };
        Ok(Self { lines, window: Mutex::new(window), dropped })
    }

    /// Queues a line, or drops it; never blocks.
    pub fn write(&self, priority: LinePriority, line: String) {
        let fits_queue =
            priority == LinePriority::High || self.lines.len() < LOW_PRIORITY_QUEUE_LIMIT;
        let is_queued =
            fits_queue && self.try_acquire(priority) && self.lines.try_send(line).is_ok();
        if !is_queued {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Returns the number of dropped lines that have not been reported in the log yet.
    pub fn dropped(&self) -> u64 {
        self.dropped.load(Ordering::Relaxed)
    }

    fn try_acquire(&self, priority: LinePriority) -> bool {
        let mut window = self.window.lock();
        if window.started_at.elapsed() >= RATE_WINDOW {
            *window = RateWindow { started_at: Instant::now(), low: 0, high: 0 };
        }
        let (used, limit) = match priority {
            LinePriority::High => (&mut window.high, HIGH_PRIORITY_RATE),
            LinePriority::Low => (&mut window.low, LOW_PRIORITY_RATE),
        };
        *used += 1;
        *used <= limit
    }
}

fn write_lines(mut output: impl Write, lines: &Receiver<String>, dropped: &AtomicU64) {
    while let Ok(first) = lines.recv() {
        thread::sleep(BATCH_DELAY);
        let mut batch = Batch::default();
        batch.push(&mut output, &first, dropped);
        for line in lines.try_iter() {
            batch.push(&mut output, &line, dropped);
        }
        let count = dropped.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = format!("{{\"name\":\"LinesLeftOut\",\"count\":{count}}}");
            batch.push(&mut output, &line, dropped);
        }
        batch.write(&mut output, dropped);
    }
}

/// Lines that are written together.
#[derive(Default)]
struct Batch {
    text: String,
    lines: u64,
}

impl Batch {
    fn push(&mut self, output: &mut impl Write, line: &str, dropped: &AtomicU64) {
        if self.text.len() + line.len() >= MAX_BATCH_BYTES {
            self.write(output, dropped);
        }
        self.text.push_str(line);
        self.text.push('\n');
        self.lines += 1;
    }

    /// Writes and clears the batch. On a write error, its lines are counted as dropped.
    fn write(&mut self, output: &mut impl Write, dropped: &AtomicU64) {
        let written = output.write_all(self.text.as_bytes()).and_then(|()| output.flush());
        if written.is_err() {
            dropped.fetch_add(self.lines, Ordering::Relaxed);
        }
        self.text.clear();
        self.lines = 0;
    }
}
