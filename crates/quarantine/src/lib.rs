//! Quarantine of requests that crash replicas.
//!
//! A request that has crashed several replicas and was hardly answered meanwhile probably crashes
//! the next one as well, so it is not sent again for some time. This crate decides that without I/O:
//!
//! - [`fingerprint`]: recognizes a request that is sent again under another id;
//! - [`crash`]: the record of one crash;
//! - [`answers`]: answers since a crash, which show whether a request is harmless;
//! - [`table`]: recent crashes by request.

pub mod answers;
pub mod crash;
pub mod fingerprint;
pub mod table;

pub use answers::{ANSWERS_PER_REPLICA, Answers, HARMLESS_ANSWERS};
pub use crash::{
    CLEARED_CHARGE_RETENTION, CRASH_CHARGE_RETENTION, CRASH_RETENTION, CrashRecord, MAX_CRASHES,
    MAX_NOTICE_DELAY, PERMISSION_TIME,
};
pub use fingerprint::{RequestContent, RequestFingerprint};
pub use table::CrashTable;

/// The types that users of this crate need.
pub mod prelude {
    pub use crate::{
        ANSWERS_PER_REPLICA, Answers, CRASH_RETENTION, CrashRecord, CrashTable, HARMLESS_ANSWERS,
        MAX_CRASHES, PERMISSION_TIME, RequestContent, RequestFingerprint,
    };
}
