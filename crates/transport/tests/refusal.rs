//! Unreadable frames are counted, connection errors are not.

use std::io;

use calicohoist_telemetry::metrics;
use calicohoist_transport::{FrameError, RefusedFrameLog};

static REFUSALS: RefusedFrameLog = RefusedFrameLog::new("test");

#[test]
fn refused_frames_are_counted_and_connection_errors_are_not() {
    for _ in 0..3 {
        REFUSALS.record("127.0.0.1:1", &FrameError::Checksum);
    }
    REFUSALS.record("127.0.0.1:1", &io::Error::from(io::ErrorKind::UnexpectedEof).into());
    let rendered = metrics::render();
    assert!(rendered.contains("calicohoist_frames_refused_total{link=\"test\"} 3"), "{rendered}");
}
