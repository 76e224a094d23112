//! Log output that never holds up the process that writes it.
//!
//! Lines go into a ring; a thread of its own writes them. When lines come faster than
//! they are taken, or faster than the limit of their class, they are left out and
//! counted; what tells of failures and ends of requests goes before the rest.

use std::io::Write;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use crossbeam::channel::{Receiver, Sender, bounded};
use parking_lot::Mutex;

/// Lines that may wait for the writer.
const RING: usize = 4_096;
/// Ordinary lines are left out when this many lines wait.
const ORDINARY_RING: usize = RING / 2;
/// Ordinary lines a second.
const ORDINARY_RATE: u32 = 1_500;
/// Essential lines a second.
const ESSENTIAL_RATE: u32 = 3_000;
/// Lines are gathered for this long, so that a busy process writes few times.
const GATHER: Duration = Duration::from_millis(20);
/// Time in which what waits is written.
pub const DRAIN: Duration = Duration::from_millis(40);
/// Bytes of one write: pipes take so many whole (`PIPE_BUF`), and collectors that read
/// a fixed number of bytes at a time keep lines apart.
const MOST_WRITTEN: usize = 4_096;
const SECOND: Duration = Duration::from_secs(1);

/// What a line is worth under pressure.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LineClass {
    /// The end of a request, a failure, or a change of what the process believes.
    Essential,
    /// A step on the way of a request that goes well.
    Ordinary,
}

struct Budget {
    began: Instant,
    ordinary: u32,
    essential: u32,
}

/// The way into the ring.
pub struct BoundedOutput {
    lines: Sender<String>,
    budget: Mutex<Budget>,
    left_out: &'static AtomicU64,
}

impl BoundedOutput {
    /// Starts a thread that writes to `output`.
    ///
    /// # Errors
    /// When no thread can be started.
    pub fn start(output: impl Write + Send + 'static) -> std::io::Result<Self> {
        let (lines, receiver) = bounded(RING);
        let left_out: &'static AtomicU64 = Box::leak(Box::default());
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(output, &receiver, left_out))?;
        let budget = Budget { began: Instant::now(), ordinary: 0, essential: 0 };
        Ok(Self { lines, budget: Mutex::new(budget), left_out })
    }

    /// Queues a line, or leaves it out; never waits.
    pub fn write(&self, class: LineClass, line: String) {
        let has_room = class == LineClass::Essential || self.lines.len() < ORDINARY_RING;
        let is_taken = has_room && self.spend(class) && self.lines.try_send(line).is_ok();
        if !is_taken {
            self.left_out.fetch_add(1, Ordering::Relaxed);
        }
    }

    /// Lines left out that no line has told of yet.
    pub fn left_out(&self) -> u64 {
        self.left_out.load(Ordering::Relaxed)
    }

    fn spend(&self, class: LineClass) -> bool {
        let mut budget = self.budget.lock();
        if budget.began.elapsed() >= SECOND {
            *budget = Budget { began: Instant::now(), ordinary: 0, essential: 0 };
        }
        let (spent, rate) = match class {
            LineClass::Essential => (&mut budget.essential, ESSENTIAL_RATE),
            LineClass::Ordinary => (&mut budget.ordinary, ORDINARY_RATE),
        };
        *spent += 1;
        *spent <= rate
    }
}

fn write_lines(mut output: impl Write, lines: &Receiver<String>, left_out: &AtomicU64) {
    while let Ok(first) = lines.recv() {
        thread::sleep(GATHER);
        let mut batch = Batch::default();
        batch.push(&mut output, &first, left_out);
        for line in lines.try_iter() {
            batch.push(&mut output, &line, left_out);
        }
        let count = left_out.swap(0, Ordering::Relaxed);
        if count > 0 {
            let line = format!("{{\"name\":\"LinesLeftOut\",\"count\":{count}}}");
            batch.push(&mut output, &line, left_out);
        }
        batch.write(&mut output, left_out);
    }
}

/// Lines that go out with one write.
#[derive(Default)]
struct Batch {
    text: String,
    lines: u64,
}

impl Batch {
    fn push(&mut self, output: &mut impl Write, line: &str, left_out: &AtomicU64) {
        if self.text.len() + line.len() >= MOST_WRITTEN {
            self.write(output, left_out);
        }
        self.text.push_str(line);
        self.text.push('\n');
        self.lines += 1;
    }

    /// Whoever reads may be gone; then the process goes on without a log.
    fn write(&mut self, output: &mut impl Write, left_out: &AtomicU64) {
        let written = output.write_all(self.text.as_bytes()).and_then(|()| output.flush());
        if written.is_err() {
            left_out.fetch_add(self.lines, Ordering::Relaxed);
        }
        self.text.clear();
        self.lines = 0;
    }
}
