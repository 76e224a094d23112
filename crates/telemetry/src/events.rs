//! Log events with stable codes.
//!
//! A test compares this list with the catalogue `docs/EVENTS.md`.

use std::fmt;

use log::Level;

macro_rules! events {
    ($($(#[$doc:meta])* $name:ident = $code:literal, $level:ident;)+) => {
        /// Log event with a stable code.
        #[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
        pub enum Event {
            $($(#[$doc])* $name,)+
        }

        impl Event {
            /// All events, in order of declaration.
            pub const ALL: &'static [Self] = &[$(Self::$name),+];

            /// Returns the event code.
            pub const fn code(self) -> u16 {
                match self { $(Self::$name => $code),+ }
            }

            /// Returns the name in the catalogue.
            pub const fn name(self) -> &'static str {
                match self { $(Self::$name => stringify!($name)),+ }
            }

            /// Returns the log level.
            pub const fn level(self) -> Level {
                match self { $(Self::$name => Level::$level),+ }
            }
        }
    };
}

events! {
    /// A process role has bound its sockets and accepts requests.
    RoleStarted = 1001, Info;
    /// A graceful shutdown was requested.
    StopRequested = 1002, Info;
    /// A graceful shutdown completed without interrupting any request.
    StopFinished = 1003, Info;
    /// The process stopped without completing a graceful shutdown.
    StopForced = 1004, Warn;
    /// The settings file was reloaded after a change.
    SettingsReloaded = 1005, Info;
    /// A replica became leader of its group.
    BecameLeader = 2001, Info;
    /// A replica is no longer leader of its group.
    LostLeadership = 2002, Info;
    /// An incomplete entry at the end of a log was truncated.
    LogTailCut = 2003, Warn;
    /// A log or snapshot is corrupt; the replica stops.
    LogCorrupt = 2004, Error;
    /// A disk write failed; the replica no longer participates in its group.
    DiskFailed = 2005, Error;
    /// A snapshot was written and the log before it discarded.
    LogCompacted = 2006, Info;
    /// A replica installed a snapshot received from its leader.
    SnapshotInstalled = 2007, Info;
    /// A leader's disk flushes are slow; it transfers the leadership.
    SlowLeader = 2008, Warn;
    /// A replica has read its log on startup.
    LogOpened = 2009, Info;
    /// A leader transfers the leadership to a machine closer to the load and to a quorum.
    LeaderMoved = 2010, Info;
    /// A new leader has applied all entries committed by earlier leaders.
    LeaderCaughtUp = 2011, Info;
    /// A log entry or snapshot has a type unknown to this build; the replica stops.
    LogUnreadable = 2012, Error;
    /// A frame from a peer could not be decoded; the connection was closed.
    FrameRefused = 3001, Warn;
    /// A connection was refused because the connection limit is reached.
    LinkLimitReached = 3002, Warn;
    /// A connection could not be accepted, for example without a free file descriptor.
    AcceptFailed = 3003, Warn;
    /// A caller's connection failed, or was closed because of a malformed request.
    ConnectionFailed = 3004, Debug;
    /// A request was rejected before it was fully parsed.
    RequestRefused = 4001, Debug;
    /// A connection was shut down because its peer sent a request body or read a response too slowly.
    SlowBodyClosed = 4002, Warn;
    /// A request was rejected because all workers are busy and the queue is full.
    WorkersBusy = 4003, Warn;
    /// A client disconnected before its response was complete; the call continues.
    CallerGone = 4004, Info;
    /// An attempt on a back end failed.
    AttemptFailed = 4101, Warn;
    /// A call of a failed gateway was taken over.
    CallTakenOver = 4102, Info;
    /// A response frame belonged to a different attempt and was discarded.
    FrameMismatch = 4103, Error;
    /// The outcome of a call could not be determined.
    OutcomeUnknown = 4104, Warn;
    /// A request ended; logged once per request, with its result.
    RequestEnded = 4105, Info;
    /// A replica ended a streamed response before it was complete.
    StreamBroken = 4106, Warn;
    /// The end of a turn could not be recorded; the turn stays charged at its maximum.
    SettlementLost = 4107, Warn;
    /// A gateway has read a complete request and found its route.
    RequestTaken = 4108, Info;
    /// The ledger replied whether a turn may run.
    TurnReserved = 4109, Info;
    /// A request is sent to a replica.
    RequestSent = 4110, Info;
    /// The end of a turn is stored durably.
    TurnSettled = 4111, Info;
    /// Outcome of the placement of a turn that had to wait.
    TurnPlaced = 4112, Info;
    /// The leader's estimate of the speed of a service's engines.
    EngineSpeed = 4113, Info;
    /// A replica failed several requests in a row; gateways avoid it for some time.
    ReplicaLeftAlone = 4114, Warn;
    /// A tenant has used most of its limit.
    LimitPressed = 4115, Info;
    /// A new leader counts permits issued by earlier leaders towards tenant limits.
    PermitsInherited = 4116, Info;
    /// A client resumes a stream whose origin is known.
    StreamResumed = 4117, Info;
    /// The origin of a stream could not be recorded or read; the stream cannot be resumed.
    StreamOriginLost = 4118, Warn;
    /// A request ended without a whole response, and it was checked whether the replica still runs.
    ReplicaChecked = 4119, Info;
    /// A crash under a request is not recorded yet; other gateways do not count it.
    CrashRecordLate = 4120, Warn;
    /// The leader's set of cold replicas changed.
    ColdReplicasChanged = 4121, Info;
    /// Replicas restarted with an unchanged identity.
    ReplicasRestarted = 4122, Info;
    /// A crash under a request is recorded in the ledger.
    CrashRecorded = 4123, Info;
    /// A gateway learned of crashes from the ledger.
    CrashesReceived = 4124, Info;
    /// The ledger answered whether a request under which replicas crashed may be sent again.
    SendPermitted = 4125, Info;
    /// A response was given up while its body was read.
    ResponseFailed = 4126, Warn;
    /// A crash under a request does not count any more, since the request turned out to be harmless.
    CrashCleared = 4127, Info;
    /// The origin of a stream is recorded in the ledger.
    StreamOriginRecorded = 4128, Info;
    /// A replica sends bytes that nobody asked for.
    UnrequestedBytes = 4129, Warn;
    /// An engine released the cache of a program that has ended.
    CacheReleased = 4201, Debug;
    /// A request to release cache failed and will be retried.
    CacheReleaseFailed = 4202, Warn;
    /// An engine's cache listing contains a program that has ended.
    CacheOrphanFound = 4203, Warn;
    /// Cache events were lost; the engine's cache is listed again.
    CacheEventGap = 4204, Info;
    /// A node took ownership of an engine's queue.
    EngineOwned = 4301, Info;
    /// A node lost ownership of an engine's queue.
    EngineDisowned = 4302, Info;
    /// A node lost its lease and starts no new work.
    LeaseLost = 5001, Warn;
    /// A node acquired a lease again.
    LeaseHeld = 5002, Info;
    /// A node applied a newer revision of the configuration.
    ConfigurationApplied = 5003, Info;
    /// An operator's change was accepted.
    ChangeAccepted = 5101, Info;
    /// An operator's change was rejected.
    ChangeRefused = 5102, Info;
    /// An operator's control request was parsed and answered.
    ControlCall = 5103, Info;
    /// A ledger machine applied a change of the drained zones.
    ZonesDrained = 5104, Info;
    /// A gateway connected to the ledger's leader.
    LedgerConnected = 5201, Info;
    /// A gateway gave up on a ledger machine and switches to another.
    LedgerLost = 5202, Warn;
    /// A reply to a gateway cannot be encoded or exceeds the frame size limit.
    AnswerTooLong = 5207, Error;
    /// A gateway does not read its replies; its connection is closed.
    AnswersNotTaken = 5208, Warn;
    /// The ledger's leader did not respond; another machine was asked whether it still leads.
    LedgerSilent = 5206, Warn;
    /// A gateway applied a list of replicas.
    ListApplied = 5204, Info;
    /// Total bytes that a ledger machine has sent and received.
    TrafficCounted = 5209, Info;
    /// The home regions in a configuration leave some requests without a usable replica.
    HomeQuestionable = 5210, Warn;
    /// A gateway stopped sending requests to the replicas of drained zones.
    DrainApplied = 5211, Info;
    /// A replica list or its changes could not be applied; the gateway asks for the whole list.
    ListRejected = 5212, Warn;
    /// Time for which a duty of a ledger machine occupied its thread.
    DutyTimed = 5213, Info;
    /// A leader read the list of replicas.
    ListRead = 5214, Info;
    /// A message to another ledger machine cannot be encoded or exceeds the frame size limit.
    MessageTooLong = 5215, Error;
    /// Bytes that a ledger machine holds, by their owner.
    MemoryCounted = 5216, Info;
    /// The platform's machine list could not be read.
    PlatformUnreachable = 6001, Warn;
    /// Some entries of the platform's machine list do not describe a usable replica.
    ListEntriesLeftOut = 6002, Warn;
}

impl Event {
    /// Events logged at the intermediate steps of a successful request.
    pub const REQUEST_STEPS: [Self; 4] =
        [Self::RequestTaken, Self::TurnReserved, Self::RequestSent, Self::TurnSettled];
}

impl fmt::Display for Event {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "CH{:04}", self.code())
    }
}

/// Logs `event` at its level, with fields (`emit!(event; key = value)`, each value formatted
/// with `Display`) or with a message in `format!` syntax (`emit!(event, "...")`).
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
