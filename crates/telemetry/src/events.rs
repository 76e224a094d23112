//! Every log event has a number that never changes its meaning.
//!
//! `docs/EVENTS.md` is the catalogue; a test compares it with this list.

use std::fmt;

use log::Level;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $level:ident;)+) => {
        /// A numbered event.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[$doc])* $name,)+
        }

        impl Event {
            /// Every event, by number.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// Its number.
            pub const fn code(self) -> u16 {
                match self { $(Self::$name => $code),+ }
            }

            /// Its name in the catalogue.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name)),+ }
            }

            /// The level it is logged at.
            pub const fn level(self) -> Level {
                match self { $(Self::$name => Level::$level),+ }
            }
        }
    };
}

events! {
    /// A role has bound its sockets and serves.
    RoleStarted = 1001, Info;
    /// A planned stop began.
    StopRequested = 1002, Info;
    /// A planned stop ended; nothing was cut.
    StopFinished = 1003, Info;
    /// A planned stop ended by force.
    StopForced = 1004, Warn;
    /// The settings file has changed.
    SettingsReloaded = 1005, Info;
    /// A replica became leader of a group.
    BecameLeader = 2001, Info;
    /// A replica stopped leading a group.
    LostLeadership = 2002, Info;
    /// The tail of a log was incomplete and was cut.
    LogTailCut = 2003, Warn;
    /// A log or snapshot is damaged; the replica stops.
    LogCorrupt = 2004, Error;
    /// A write to disk failed; the replica stops taking part.
    DiskFailed = 2005, Error;
    /// A snapshot was written and the log before it dropped.
    LogCompacted = 2006, Info;
    /// A replica installed a snapshot from its leader.
    SnapshotInstalled = 2007, Info;
    /// A leader's flushes take long; it gives the leadership away.
    SlowLeader = 2008, Warn;
    /// A replica has read its log after a start.
    LogOpened = 2009, Info;
    /// A leader gives the leadership to a machine that is nearer to the load and to a quorum.
    LeaderMoved = 2010, Info;
    /// A new leader has applied all that earlier leaders have committed.
    LeaderCaughtUp = 2011, Info;
    /// An entry or a snapshot is of a kind that this build does not know; the replica stops.
    LogUnreadable = 2012, Error;
    /// A frame from a peer could not be read; the link was closed.
    FrameRefused = 3001, Warn;
    /// A connection was refused since the limit is reached.
    LinkLimitReached = 3002, Warn;
    /// A caller's request was refused before it was parsed whole.
    RequestRefused = 4001, Debug;
    /// A connection was closed since its body came too slowly.
    SlowBodyClosed = 4002, Warn;
    /// A request was refused since every worker is busy.
    WorkersBusy = 4003, Warn;
    /// A caller went away before its answer was complete; the call goes on.
    CallerGone = 4004, Info;
    /// An attempt on a back end failed.
    AttemptFailed = 4101, Warn;
    /// A call of a lost gateway was taken over.
    CallTakenOver = 4102, Info;
    /// An answer frame belonged to another attempt and was dropped.
    FrameMismatch = 4103, Error;
    /// The outcome of a call could not be learned.
    OutcomeUnknown = 4104, Warn;
    /// A request's last line: what became of it.
    RequestEnded = 4105, Info;
    /// A replica broke off a stream.
    StreamBroken = 4106, Warn;
    /// The end of a turn could not be noted; it stays charged with its most.
    SettlementLost = 4107, Warn;
    /// A gateway read a request whole and found its route.
    RequestTaken = 4108, Info;
    /// The ledger answered whether a turn may run.
    TurnReserved = 4109, Info;
    /// A request goes to a replica.
    RequestSent = 4110, Info;
    /// The end of a turn is durable.
    TurnSettled = 4111, Info;
    /// It is decided when and where a turn runs that had to wait.
    TurnPlaced = 4112, Info;
    /// What the leader has learned of a service's engines.
    EngineSpeed = 4113, Info;
    /// A replica failed one request after the other; no gateway uses it for a while.
    ReplicaLeftAlone = 4114, Warn;
    /// A tenant has used up most of what its limit allows.
    LimitPressed = 4115, Info;
    /// A new leader counts what earlier leaders have noted as issued towards the limits of tenants.
    PermitsInherited = 4116, Info;
    /// Replicas became cold or warm, as the leader knows it.
    ColdReplicasChanged = 4121, Info;
    /// Replicas started again under the identity that they had.
    ReplicasRestarted = 4122, Info;
    /// Engine memory of an ended program was released.
    CacheReleased = 4201, Debug;
    /// A release order failed and will be retried.
    CacheReleaseFailed = 4202, Warn;
    /// A listing of an engine showed memory of a program that has ended.
    CacheOrphanFound = 4203, Warn;
    /// Cache events were missing; the engine is listed anew.
    CacheEventGap = 4204, Info;
    /// A node took over an engine's queue.
    EngineOwned = 4301, Info;
    /// A node no longer owns an engine's queue.
    EngineDisowned = 4302, Info;
    /// A node lost its lease and starts no new work.
    LeaseLost = 5001, Warn;
    /// A node holds a lease again.
    LeaseHeld = 5002, Info;
    /// A node applied a newer revision of the configuration.
    ConfigurationApplied = 5003, Info;
    /// An operator's change was accepted.
    ChangeAccepted = 5101, Info;
    /// An operator's change was refused.
    ChangeRefused = 5102, Info;
    /// An operator's call was understood and answered.
    ControlCall = 5103, Info;
    /// A ledger machine has applied a change of the drained zones.
    ZonesDrained = 5104, Info;
    /// A gateway has a connection to the ledger's leader.
    LedgerConnected = 5201, Info;
    /// A gateway gave up on a ledger machine and turns to another.
    LedgerLost = 5202, Warn;
    /// An answer to a gateway cannot be encoded, or is too long for a frame.
    AnswerTooLong = 5207, Error;
    /// A gateway does not take its answers; its connection is closed.
    AnswersNotTaken = 5208, Warn;
    /// The leader was silent; another machine was asked whether it still leads.
    LedgerSilent = 5206, Warn;
    /// A gateway applied a list of replicas.
    ListApplied = 5204, Info;
    /// What a ledger machine sent and took so far, in bytes.
    TrafficCounted = 5209, Info;
    /// Homes in a configuration leave some requests nowhere to go.
    HomeQuestionable = 5210, Warn;
    /// A gateway sends nothing more to the replicas of these zones.
    DrainApplied = 5211, Info;
    /// The platform's list of machines could not be read.
    PlatformUnreachable = 6001, Warn;
    /// Some entries of the platform's list name no replica to use.
    ListEntriesLeftOut = 6002, Warn;
}

impl Event {
    /// Steps on the way of a request that goes well.
    pub const REQUEST_STEPS: [Self; 4] =
        [Self::RequestTaken, Self::TurnReserved, Self::RequestSent, Self::TurnSettled];
}

impl fmt::Display for Event {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "CH{:04}", self.code())
    }
}

/// Logs `event` at its level, with fields (`emit!(event; key = value)`, each value shown
/// by `Display`) or with a message in `format!` syntax (`emit!(event, "...")`).
#[macro_export]
macro_rules! emit {
    ($event:expr; $($key:ident = $value:expr),+ $(,)?) => {{
        let event: $crate::Event = $event;
        ::log::log!(event.level(), event = event.code() as u64, $($key:% = $value),+; "");
    }};
    ($event:expr, $($message:tt)+) => {{
        let event: $crate::Event = $event;
        ::log::log!(event.level(), event = event.code() as u64; $($message)+);
    }};
}
