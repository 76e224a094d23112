//! Record of what was sent, answered and run, by time since the start of the case.

use std::fs::File;
use std::io::Write;
use std::path::Path;
use std::sync::Mutex;
use std::time::Instant;

/// Record of one case.
pub struct Record {
    file: Mutex<File>,
    started_at: Instant,
}

impl Record {
    /// Creates an empty record.
    pub fn create(path: &Path) -> Self {
        let file = File::create(path).expect("a record that can be written");
        Self { file: Mutex::new(file), started_at: Instant::now() }
    }

    /// Adds a line.
    pub fn note(&self, text: &str) {
        let at = self.started_at.elapsed().as_secs_f64();
        let mut file = self.file.lock().expect("the record");
        writeln!(file, "{at:8.3} {text}").expect("write the record");
    }
}
