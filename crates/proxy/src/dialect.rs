//! Platform-specific headers and documents.
//!
//! The proxy defines the data it needs; an adapter implements [`Dialect`] for the format of a
//! platform.

use std::time::Duration;

use calicohoist_routing::{Configuration, Credential, StartTime};
use calicohoist_scheduler::PromptPart;
use calicohoist_types::Findings;
use hyper::header::HeaderName;
use hyper::http::response::Parts;
use hyper::{HeaderMap, StatusCode};

/// Request metadata from the headers of a client.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct RequestHead {
    /// Id of the request; each attempt of a client has its own.
    pub request_id: String,
    /// Time for which the client waits for the response.
    pub deadline: Option<Duration>,
    /// Id of the agent program that the request belongs to.
    pub program: Option<String>,
    /// Time until the program should finish.
    pub program_deadline: Option<Duration>,
    /// Token budget for the output of all turns of the program.
    pub budget: Option<u64>,
    /// Number of tokens in the prompt.
    pub prompt_tokens: u64,
    /// Maximum number of generated tokens.
    pub max_tokens: u64,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// Id of the turn that this one continues.
    pub previous_turn: Option<String>,
    /// Id of the last event that the client received, if it resumes a stream.
    pub last_event_id: Option<String>,
    /// Id of the request that began the stream, if it is resumed.
    pub resumes: Option<String>,
}

/// Request metadata sent to a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingHead<'a> {
    /// Remaining time for the request.
    pub deadline: Duration,
    /// Identity of the replica that must run the request.
    pub replica: &'a str,
    /// Id of the event after which a stream is resumed.
    pub last_event_id: Option<&'a str>,
    /// Tenant that sent the request.
    pub tenant: Option<&'a str>,
}

/// Origin of the value of a request header that is sent to replicas.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderOwner {
    /// Set by the client. Includes unknown headers.
    Client,
    /// Set by the gateway. A client's value is dropped.
    Gateway,
    /// Hop-by-hop header, which is not forwarded.
    Connection,
}

/// Response metadata from the headers of a replica.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct ResponseHead {
    /// Id of the request that the response belongs to.
    pub request_id: Option<String>,
    /// Whether the replica reports that it did not run the request.
    pub is_not_executed: bool,
}

/// Reads and writes the headers and documents of a platform.
pub trait Dialect: Send + Sync {
    /// Parses a configuration document.
    ///
    /// # Errors
    /// Returns all problems found in the document.
    fn parse_configuration(&self, document: &[u8]) -> Result<Configuration, Findings>;

    /// Reads the credential of a request.
    fn read_credential(&self, headers: &HeaderMap) -> Credential;

    /// Returns the owner of a request header.
    fn owner_of(&self, header: &HeaderName) -> HeaderOwner;

    /// Removes the credential from the headers, so that replicas do not receive it.
    fn remove_credential(&self, headers: &mut HeaderMap);

    /// Reads the metadata of a request.
    ///
    /// # Errors
    /// Returns all headers that are invalid.
    fn read_request(&self, headers: &HeaderMap) -> Result<RequestHead, Findings>;

    /// Sets the headers that the gateway sends to a replica.
    fn write_request(&self, headers: &mut HeaderMap, outgoing: &OutgoingHead<'_>);

    /// Reads the metadata of a response.
    fn read_response(&self, status: StatusCode, headers: &HeaderMap) -> ResponseHead;

    /// Asks that only this replica handles the request.
    fn write_expected_replica(&self, headers: &mut HeaderMap, replica: &str);

    /// Returns whether a response to a request for `replica` came from another one.
    fn is_other_replica(&self, response: &Parts, replica: &str) -> bool;

    /// Returns the path at which a replica reports its state.
    fn report_path(&self) -> &'static str;

    /// Reads the start time from the report of a replica.
    fn parse_start(&self, report: &[u8]) -> Option<StartTime>;

    /// Sets the header that tells the client when to retry.
    fn write_retry_after(&self, headers: &mut HeaderMap, after: Duration);
}
