//! Emulators of the systems calicohoist depends on: engines, tool services, the weight store and
//! the platform's machine list.
//!
//! Each emulator consists of an I/O-free model, which runs in real or virtual time, and an HTTP
//! server that runs the model in real time. Answers are a function of the full prompt, so lost or
//! mixed-up context is visible in the text. Engines and services record every request for the
//! checker.

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
