//! Routing configuration and replica selection.
//!
//! This crate performs no I/O and does not read the clock.
//!
//! - [`tenant`]: tenants, their API keys and rate limits;
//! - [`configuration`]: versioned configurations and their validation;
//! - [`table`]: look-up of routes by host and path;
//! - [`replica`]: replicas of services, as listed by discovery;
//! - [`patch`]: differences between two versions of the replica list;
//! - [`incarnation`]: successive starts of a replica under one identity;
//! - [`topology`]: zones and regions;
//! - [`eligibility`]: which replicas may serve a request;
//! - [`homes`]: warnings about home regions in a configuration;
//! - [`cold`]: recently started replicas that accept limited load;
//! - [`load`]: load estimates of replicas, as seen by one gateway;
//! - [`select`]: selection of a replica by cost.

pub mod cold;
pub mod configuration;
pub mod eligibility;
pub mod homes;
pub mod incarnation;
pub mod load;
pub mod patch;
pub mod replica;
pub mod select;
pub mod table;
pub mod tenant;
pub mod topology;

pub use cold::{
    COLD_PLACEMENT_LIFETIME, ColdChange, ColdLimit, ColdReplicas, ColdTolerance, ColdTracker,
    LIST_SETTLE_TIME, PlacedReplica, UndrainedZones,
};
pub use configuration::{Backend, Configuration, Engine, Limits, Route, RouteKind, Service};
pub use eligibility::{DrainedZones, Eligibility, EligibilityRules, HomeRegions};
pub use homes::{HomeFindings, HomeOwner, HomeProblem, check_homes};
pub use incarnation::{EntryStatus, Incarnation, IncarnationTracker, IncarnationUpdate, StartTime};
pub use load::{MeanLoad, expected_queue_length};
pub use patch::{ListPart, ListPatch, PatchError};
pub use replica::{
    Replica, ReplicaList, ReplicaState, SoftwareRequirement, SoftwareVersion, StreamOrigin,
};
pub use select::{Affinity, Candidate, CostWeights, choose, spread, stable_hash};
pub use table::RouteTable;
pub use tenant::{ApiKey, ApiKeyIndex, Credential, KeySecret, RateLimit, Tenant};
pub use topology::{Distance, Topology};
