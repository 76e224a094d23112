//! Records of crashes.

use std::time::Duration;

use crate::fingerprint::RequestFingerprint;

/// Number of replicas that may crash under one request with hardly an answer between them.
pub const MAX_CRASHES: usize = 3;

/// Time for which a crash is remembered. Longer than clients and programs retry.
pub const CRASH_RETENTION: Duration = Duration::from_secs(120);

/// Maximum time by which a machine learns of a crash late, while it stands still or is cut off.
pub const MAX_NOTICE_DELAY: Duration = Duration::from_secs(30);

/// Time for which the account of a request counts a crash: gateways count it, as a crash or as cleared,
/// for [`CRASH_RETENTION`] since they have learned of it.
pub const CRASH_CHARGE_RETENTION: Duration = CRASH_RETENTION.saturating_add(MAX_NOTICE_DELAY);

/// Time for which the account of a request counts a crash since it was cleared. A new leader sends it
/// to all gateways again, at most [`CRASH_RETENTION`] after it has learned of it itself.
pub const CLEARED_CHARGE_RETENTION: Duration = CRASH_CHARGE_RETENTION.saturating_mul(2);

/// Time after a crash in which the request is sent only with a permission, unless it was answered
/// since. Longer than a request that is under way elsewhere takes to end.
pub const PERMISSION_TIME: Duration = Duration::from_secs(10);

/// A replica that crashed while it ran a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CrashRecord {
    /// Tenant that sent the request, if known.
    pub tenant: Option<String>,
    /// The request.
    pub request: RequestFingerprint,
    /// Incarnation of the replica.
    pub replica: String,
}
