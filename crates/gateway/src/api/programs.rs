//! Creation, inspection, end and cancellation of programs.

use calicohoist_http::Exchange;
use calicohoist_store::commands::program::{NewProgram, ProgramCommand, ProgramOutput};
use calicohoist_store::queries::program::{ProgramAnswer, ProgramQuery};
use calicohoist_store::state::programs::CHILD_SEPARATOR;
use calicohoist_store::{Answer, Command, Output, Query, StoreReply, StoreRequest};
use calicohoist_types::openai::HEADER_KEY;
use calicohoist_types::{Finding, ProgramId, RequestId, TenantId};
use rand::RngExt;
use serde::{Deserialize, Serialize};
use serde_json::json;

use super::errors::ApiError;
use super::headers::parse_tenant;
use super::{ApiHandler, Reply};

/// Maximum lifetime of a program: seven days.
const MAX_LIFETIME_MILLIS: u64 = 7 * 24 * 3_600 * 1_000;

/// Request body for the creation of a program.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields, default)]
pub struct ProgramRequest {
    /// Program ID; generated if missing. Not used for sub-agents.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub id: Option<String>,
    /// Token budget of the program and its sub-agents.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub budget_tokens: Option<u64>,
    /// Maximum number of calls.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max_calls: Option<u64>,
    /// Lifetime in milliseconds, after which the program is cancelled.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub lifetime_millis: Option<u64>,
}

impl ApiHandler {
    pub(super) fn create_program(
        &self,
        exchange: &mut Exchange,
        parent: Option<&str>,
    ) -> Result<Reply, ApiError> {
        let mut findings = Vec::new();
        let tenant = parse_tenant(exchange, &mut findings);
        let request_id = exchange.header(HEADER_KEY).map(str::to_owned);
        let body: ProgramRequest = exchange.read_json()?;
        let new = self.new_program(tenant, parent, request_id, &body, &mut findings);
        if !findings.is_empty() {
            return Err(ApiError::invalid(findings));
        }
        let name = new.id.to_string();
        let program = new.parent.clone().unwrap_or_else(|| new.id.clone());
        match self.program_command(&program, ProgramCommand::Create(new))? {
            ProgramOutput::Created(id) => {
                Ok(Reply { status: 201, headers: Vec::new(), body: json!({ "id": id }) })
            }
            ProgramOutput::Refused(error) => Err(ApiError::from_program_error(&error, &name)),
            _ => Err(ApiError::store_unavailable()),
        }
    }

    fn new_program(
        &self,
        tenant: TenantId,
        parent: Option<&str>,
        request_id: Option<String>,
        body: &ProgramRequest,
        findings: &mut Vec<Finding>,
    ) -> NewProgram {
        let limits = self.view.tenant(&tenant);
        let budget = body.budget_tokens.unwrap_or(limits.default_program_tokens);
        let calls = body.max_calls.unwrap_or(limits.max_calls);
        check_range(findings, "budget_tokens", budget, limits.max_program_tokens);
        check_range(findings, "max_calls", calls, limits.max_calls);
        let lifetime = body.lifetime_millis.unwrap_or(MAX_LIFETIME_MILLIS);
        check_range(findings, "lifetime_millis", lifetime, MAX_LIFETIME_MILLIS);
        let random = format!("{:016x}", rand::rng().random::<u64>());
        let id = body.id.clone().unwrap_or_else(|| format!("p-{random}"));
        if !is_root_program_name(&id) {
            let accepted = "1 to 128 letters, digits, '-', '_' or ':'";
            findings.push(Finding::of_field("id", format!("{id:?} is not a name"), accepted));
        }
        NewProgram {
            id: ProgramId::new(id),
            parent: parent.map(ProgramId::new),
            request: RequestId::new(request_id.unwrap_or(random)),
            tenant,
            budget_tokens: budget,
            max_calls: calls,
            lifetime_millis: Some(lifetime),
        }
    }

    pub(super) fn get_program(&self, exchange: &Exchange, id: &str) -> Result<Reply, ApiError> {
        let (program, tenant) = parse_path(exchange, id)?;
        let query = ProgramQuery::Get { program: program.clone(), tenant };
        match self.program_query(&program, query)? {
            ProgramAnswer::Program(view) => {
                Ok(Reply::ok(serde_json::to_value(view).unwrap_or_default()))
            }
            _ => Err(ApiError::not_found("program", id)),
        }
    }

    pub(super) fn get_history(&self, exchange: &Exchange, id: &str) -> Result<Reply, ApiError> {
        let (program, tenant) = parse_path(exchange, id)?;
        let query = ProgramQuery::History { program: program.clone(), tenant };
        match self.program_query(&program, query)? {
            ProgramAnswer::History(messages) => Ok(Reply::ok(json!({ "messages": messages }))),
            _ => Err(ApiError::not_found("program", id)),
        }
    }

    pub(super) fn end_program(&self, exchange: &Exchange, id: &str) -> Result<Reply, ApiError> {
        let (program, tenant) = parse_path(exchange, id)?;
        let command = ProgramCommand::End { program: program.clone(), tenant };
        match self.program_command(&program, command)? {
            ProgramOutput::Done => Ok(Reply::ok(json!({ "id": id, "state": "ended" }))),
            ProgramOutput::Refused(error) => Err(ApiError::from_program_error(&error, id)),
            _ => Err(ApiError::store_unavailable()),
        }
    }

    pub(super) fn cancel_program(&self, exchange: &Exchange, id: &str) -> Result<Reply, ApiError> {
        let (program, tenant) = parse_path(exchange, id)?;
        let command = ProgramCommand::Cancel { program: program.clone(), tenant };
        match self.program_command(&program, command)? {
            ProgramOutput::Cancelled(running) => {
                let body = json!({ "id": id, "state": "cancelled", "calls_cut": running.len() });
                Ok(Reply::ok(body))
            }
            ProgramOutput::Refused(error) => Err(ApiError::from_program_error(&error, id)),
            _ => Err(ApiError::store_unavailable()),
        }
    }

    fn program_command(
        &self,
        program: &ProgramId,
        command: ProgramCommand,
    ) -> Result<ProgramOutput, ApiError> {
        let group = self.groups.group_of(program);
        let request = StoreRequest::Command(group, Command::Program(command));
        match self.store_request(request)? {
            StoreReply::Output(Output::Program(output)) => Ok(output),
            _ => Err(ApiError::store_unavailable()),
        }
    }

    fn program_query(
        &self,
        program: &ProgramId,
        query: ProgramQuery,
    ) -> Result<ProgramAnswer, ApiError> {
        let group = self.groups.group_of(program);
        let request = StoreRequest::Query(group, Query::Program(query));
        match self.store_request(request)? {
            StoreReply::Answer(Answer::Program(answer)) => Ok(answer),
            _ => Err(ApiError::store_unavailable()),
        }
    }
}

fn parse_path(exchange: &Exchange, id: &str) -> Result<(ProgramId, TenantId), ApiError> {
    let mut findings = Vec::new();
    let tenant = parse_tenant(exchange, &mut findings);
    match ProgramId::parse(id).filter(|_| findings.is_empty()) {
        Some(program) => Ok((program, tenant)),
        None if findings.is_empty() => Err(ApiError::not_found("program", id)),
        None => Err(ApiError::invalid(findings)),
    }
}

fn is_root_program_name(id: &str) -> bool {
    ProgramId::parse(id).is_some() && !id.contains(CHILD_SEPARATOR)
}

fn check_range(findings: &mut Vec<Finding>, field: &str, value: u64, largest: u64) {
    if value == 0 || value > largest {
        let problem = format!("{value} is out of range");
        findings.push(Finding::of_field(field, problem, format!("1 to {largest}")));
    }
}
