//! What the proxy must know of headers and documents.
//!
//! The product names what it needs; an adapter says how a platform writes it.

use std::time::Duration;

use calicohoist_routing::{Configuration, Credential};
use calicohoist_scheduler::PromptPart;
use calicohoist_types::Findings;
use hyper::HeaderMap;
use hyper::header::HeaderName;

/// What a caller says about its request, beside method, path and body.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct CallHead {
    /// Identity of the request; every attempt of a caller has its own.
    pub request_id: String,
    /// Time that the caller will wait.
    pub deadline: Option<Duration>,
    /// The program it belongs to.
    pub program: Option<String>,
    /// Time until the program should be over.
    pub finish: Option<Duration>,
    /// Tokens that all turns of the program may generate together.
    pub budget: Option<u64>,
    /// Tokens of the prompt.
    pub prompt_tokens: u64,
    /// Most tokens that are generated.
    pub most_tokens: u64,
    /// Parts of the prompt, in order.
    pub prompt: Vec<PromptPart>,
    /// The turn that this one continues from.
    pub previous_turn: Option<String>,
    /// The last event that the caller has, when it takes up a broken stream.
    pub last_event: Option<String>,
}

/// What a gateway tells a replica.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OutgoingHead<'a> {
    /// Time that is left.
    pub deadline: Duration,
    /// Only this replica may run the request.
    pub replica: &'a str,
    /// Continue a stream after this event.
    pub last_event: Option<&'a str>,
    /// The tenant that sent the request.
    pub tenant: Option<&'a str>,
}

/// Who decides the value of a header that reaches a replica.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HeaderOwner {
    /// Whoever sent the request. What nobody knows is the caller's, too.
    Caller,
    /// The gateway: a caller's value is dropped.
    Gateway,
    /// One connection: it is not passed on.
    Connection,
}

/// What a replica says about its answer.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AnswerHead {
    /// The request that it answers.
    pub request_id: Option<String>,
    /// The replica states that it did not run the request.
    pub is_not_executed: bool,
}

/// How a platform writes what the proxy needs.
pub trait Dialect: Send + Sync {
    /// Reads a configuration document.
    ///
    /// # Errors
    /// Everything that is wrong with it.
    fn parse_configuration(&self, document: &[u8]) -> Result<Configuration, Findings>;

    /// What a request shows of whom it comes from.
    fn read_credential(&self, headers: &HeaderMap) -> Credential;

    /// Who decides the value of a header that reaches a replica.
    fn owner_of(&self, header: &HeaderName) -> HeaderOwner;

    /// Removes what only the gateway may know of whom a request comes from.
    fn remove_credential(&self, headers: &mut HeaderMap);

    /// Reads a request's headers.
    ///
    /// # Errors
    /// Every header that cannot be accepted.
    fn read_call(&self, headers: &HeaderMap) -> Result<CallHead, Findings>;

    /// Replaces the headers that the gateway sets itself.
    fn write_call(&self, headers: &mut HeaderMap, outgoing: &OutgoingHead<'_>);

    /// Reads an answer's headers.
    fn read_answer(&self, headers: &HeaderMap) -> AnswerHead;

    /// Says when a refused request may come back.
    fn write_retry_after(&self, headers: &mut HeaderMap, after: Duration);
}
