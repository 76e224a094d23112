//! Stand-ins for the platform, replicas, operators and clients, and the processes of the product.
//!
//! Each speaks the published protocol over loopback addresses. Nothing here uses code of the product.

pub mod client;
pub mod fleet;
pub mod http;
pub mod platform;
pub mod record;
pub mod replica;

use std::panic::{AssertUnwindSafe, catch_unwind};
use std::path::PathBuf;
use std::process::exit;
use std::time::{Duration, Instant};

pub use fleet::Fleet;
pub use record::Record;

/// Longest time that a case may take, after which it counts as one that could not run.
const CASE_LIMIT: Duration = Duration::from_secs(115);

/// Result of a case.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The rule held.
    Held,
    /// The rule was broken.
    Broken,
    /// The case could not run.
    NotRun,
}

impl Verdict {
    fn exit_code(self) -> i32 {
        match self {
            Self::Held => 0,
            Self::Broken => 1,
            Self::NotRun => 2,
        }
    }
}

/// Runs a case with the record at the path in the first argument, and exits with its verdict. `TROUBLE=0`
/// leaves the disruption out.
pub fn run_case(case: impl FnOnce(&Record, bool) -> Verdict) -> ! {
    let path = std::env::args().nth(1).map(PathBuf::from).expect("the path of the record");
    let has_trouble = std::env::var("TROUBLE").map_or(true, |text| text != "0");
    let record = Record::create(&path);
    record.note(&format!("disruption: {}", if has_trouble { "yes" } else { "no" }));
    std::thread::spawn(|| {
        std::thread::sleep(CASE_LIMIT);
        fleet::kill_all();
        exit(Verdict::NotRun.exit_code());
    });
    let verdict = catch_unwind(AssertUnwindSafe(|| case(&record, has_trouble)));
    fleet::kill_all();
    let verdict = verdict.unwrap_or(Verdict::NotRun);
    record.note(&format!("verdict: {verdict:?}"));
    println!("{verdict:?}");
    exit(verdict.exit_code())
}

/// Waits until a condition holds; `false` if it does not within `limit`.
pub fn wait_until(limit: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let until = Instant::now() + limit;
    while !condition() {
        if Instant::now() >= until {
            return false;
        }
        std::thread::sleep(Duration::from_millis(50));
    }
    true
}
