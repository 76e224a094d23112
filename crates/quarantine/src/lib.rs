//! Quarantine of requests that crash replicas.
//!
//! A request that has crashed several replicas probably crashes the next one as well, so it is not
//! sent again for some time. This crate decides that without I/O:
//!
//! - [`fingerprint`]: recognizes a request that is sent again under another id;
//! - [`crash`]: the record of one crash;
//! - [`table`]: recent crashes by request.

pub mod crash;
pub mod fingerprint;
pub mod table;

pub use crash::{CRASH_RETENTION, CrashRecord, MAX_CRASHES, PERMISSION_TIME};
pub use fingerprint::{RequestContent, RequestFingerprint};
pub use table::CrashTable;

/// The types that users of this crate need.
pub mod prelude {
    pub use crate::{
        CRASH_RETENTION, CrashRecord, CrashTable, MAX_CRASHES, PERMISSION_TIME, RequestContent,
        RequestFingerprint,
    };
}
