//! Stand-ins for everything outside calicohoist: engines, tool services, the
//! weight store and the platform's list of machines.
//!
//! Each is a model without I/O that runs in real or virtual time, and a server
//! that lets it run in real time behind the published protocol. Answers are a
//! function of the whole prompt, so a lost or mixed history shows in the text.
//! Everything records what it did; the checker judges from those records alone.

pub mod answer;
pub mod clock;
pub mod engine;
pub mod platform;
pub mod service;
pub mod weights;

pub use clock::RealClock;
pub use engine::model::{EngineModel, EngineOutput, EngineProfile, Submission};
pub use engine::record::EngineRecord;
pub use engine::server::{EngineServer, EngineServerSettings};
pub use platform::{PlatformModel, PlatformServer};
pub use service::{ServiceModel, ServiceRecord, ServiceServer};
pub use weights::{WeightStoreModel, WeightStoreServer};
