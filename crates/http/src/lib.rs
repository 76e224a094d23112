//! HTTP for every role: a server with bounded workers, server-sent events, and
//! small client helpers.
//!
//! The server is `tiny_http`, the client `attohttpc`. This crate adds what a
//! service on an open port needs around them: a bounded queue in front of a
//! fixed number of workers, a limit on body size, and deadlines for bodies.

pub mod client;
pub mod events;
pub mod exchange;
pub mod server;
mod slow_peer;

pub use client::{ClientError, HttpClient};
pub use events::{EventReader, EventWriter};
pub use exchange::{BodyError, Exchange};
pub use server::{Handler, HttpServer, ServerSettings};

/// The last data field of a stream in the OpenAI shape.
pub const STREAM_DONE: &str = "[DONE]";
