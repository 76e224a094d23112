//! Request headers that extend the OpenAI API.

use calicohoist_http::Exchange;
use calicohoist_types::openai::{
    HEADER_KEY, HEADER_PROGRAM, HEADER_REPEATABLE, HEADER_SEQUENCE, HEADER_TENANT,
};
use calicohoist_types::{Finding, IdempotencyKey, ProgramId, TenantId};

/// Tenant of requests without a tenant header.
pub const DEFAULT_TENANT_NAME: &str = "default";
/// Highest accepted sequence number.
const MAX_SEQUENCE: u64 = 1_000_000;
const ACCEPTED_NAME: &str = "1 to 128 letters, digits, '-', '_', '.' or ':'";

/// The extension headers of a call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct CallHeaders {
    /// The caller's tenant.
    pub tenant: TenantId,
    /// The program of the call.
    pub program: Option<ProgramId>,
    /// Sequence number within the program.
    pub sequence: Option<u64>,
    /// Idempotency key.
    pub key: Option<IdempotencyKey>,
    /// Whether the call may run more than once, if the header is present.
    pub repeatable: Option<bool>,
}

impl CallHeaders {
    /// Parses all headers; adds a finding for each invalid one.
    pub fn read(exchange: &Exchange, findings: &mut Vec<Finding>) -> Self {
        let sequence = parse(exchange, HEADER_SEQUENCE, findings, "1 to 1000000", parse_sequence);
        let program = parse(exchange, HEADER_PROGRAM, findings, ACCEPTED_NAME, ProgramId::parse);
        if sequence.is_some() && program.is_none() && exchange.header(HEADER_PROGRAM).is_none() {
            let problem = "is given without a program";
            findings.push(Finding::of_field(
                HEADER_SEQUENCE,
                problem,
                "a calicohoist-program, too",
            ));
        }
        Self {
            tenant: parse_tenant(exchange, findings),
            program,
            sequence,
            key: parse(exchange, HEADER_KEY, findings, ACCEPTED_NAME, IdempotencyKey::parse),
            repeatable: parse(exchange, HEADER_REPEATABLE, findings, "true or false", |text| {
                text.parse().ok()
            }),
        }
    }
}

/// Parses the tenant header; returns the default tenant if it is absent or invalid.
pub fn parse_tenant(exchange: &Exchange, findings: &mut Vec<Finding>) -> TenantId {
    let given = parse(exchange, HEADER_TENANT, findings, ACCEPTED_NAME, TenantId::parse);
    given.unwrap_or_else(|| TenantId::new(DEFAULT_TENANT_NAME))
}

fn parse_sequence(text: &str) -> Option<u64> {
    text.parse().ok().filter(|sequence| (1..=MAX_SEQUENCE).contains(sequence))
}

fn parse<T>(
    exchange: &Exchange,
    name: &str,
    findings: &mut Vec<Finding>,
    accepted: &str,
    parse: impl Fn(&str) -> Option<T>,
) -> Option<T> {
    let text = exchange.header(name)?;
    let parsed = parse(text);
    if parsed.is_none() {
        let shown: String = text.chars().take(40).collect();
        findings.push(Finding::of_field(name, format!("{shown:?} is not accepted"), accepted));
    }
    parsed
}
