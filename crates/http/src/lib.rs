//! Blocking HTTP server and client with support for server-sent events.
//!
//! The server is based on `tiny_http`, and adds a bounded queue with a fixed number of workers, a
//! size limit on request bodies, and a deadline for receiving them. The client is based on `hyper`,
//! and limits the time, the size and the head of each response.

pub mod client;
mod connection;
pub mod events;
pub mod exchange;
mod guarded_writer;
mod listener;
mod request;
pub mod response;
pub mod server;
mod slow_peer;

pub use client::{ClientError, HttpClient};
pub use events::{EventReader, EventWriter};
pub use exchange::{BodyError, Exchange};
pub use hyper::Method;
pub use response::{Response, ResponseBody};
pub use server::{Handler, HttpServer, ServerSettings};

/// Data of the event that ends a stream of the OpenAI API.
pub const STREAM_DONE: &str = "[DONE]";
