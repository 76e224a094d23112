//! Frames that cannot be read are counted; connections that broke are not.

use std::io;

use calicohoist_telemetry::metrics;
use calicohoist_transport::{FrameError, RefusalLog};

static REFUSALS: RefusalLog = RefusalLog::new("test");

#[test]
fn every_refused_frame_counts_and_a_broken_connection_does_not() {
    for _ in 0..3 {
        REFUSALS.note("127.0.0.1:1", &FrameError::Checksum);
    }
    REFUSALS.note("127.0.0.1:1", &io::Error::from(io::ErrorKind::UnexpectedEof).into());
    let shown = metrics::render();
    assert!(shown.contains("calicohoist_frames_refused_total{link=\"test\"} 3"), "{shown}");
}
