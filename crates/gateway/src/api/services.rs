//! `POST /v1/services/{service}`: calls to tool services.

use calicohoist_http::Exchange;
use calicohoist_types::openai::HEADER_OUTCOME;
use calicohoist_types::{Finding, Outcome, ServiceId};
use serde::{Deserialize, Serialize};

use super::ApiHandler;
use super::chat::call_headers;
use super::errors::ApiError;
use super::headers::CallHeaders;
use crate::core::message::{CallPayload, CallRequest, CallerEvent, Input};

/// Request body of a service call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct ServiceRequest {
    /// Input of the service.
    pub input: String,
}

/// Response body of a service call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceReply {
    /// Output of the service.
    pub output: String,
    /// Name of the replica that executed the call.
    pub replica: String,
}

impl ApiHandler {
    pub(super) fn call_service(&self, mut exchange: Exchange, service: &str) {
        let request = match parse_service_request(&mut exchange, service) {
            Ok(request) => request,
            Err(error) => return error.reply(exchange),
        };
        let channel = self.open_channel();
        if let Err(error) = self.send(Input::Call(channel.ticket(), Box::new(request))) {
            return error.reply(exchange);
        }
        let mut output = String::new();
        loop {
            match self.next_event(&channel) {
                Some(CallerEvent::Text(text)) => output.push_str(&text),
                Some(CallerEvent::Finished(completion)) => {
                    let mut headers = call_headers(&completion.attempt);
                    headers.push((HEADER_OUTCOME, Outcome::Completed.as_str().to_owned()));
                    let reply = ServiceReply { output, replica: completion.backend };
                    return exchange.reply_json(200, &headers, &reply);
                }
                Some(CallerEvent::Failed(failure)) => {
                    return ApiError::from_failure(&failure).reply(exchange);
                }
                Some(_) => {}
                None => return ApiError::store_unavailable().reply(exchange),
            }
        }
    }
}

fn parse_service_request(exchange: &mut Exchange, service: &str) -> Result<CallRequest, ApiError> {
    let mut findings = Vec::new();
    let headers = CallHeaders::read(exchange, &mut findings);
    let body: ServiceRequest = exchange.read_json()?;
    let parsed = ServiceId::parse(service);
    if parsed.is_none() {
        findings.push(Finding::of_field("service", "is not a name", "a declared service"));
    }
    let Some(service) = parsed.filter(|_| findings.is_empty()) else {
        return Err(ApiError::invalid(findings));
    };
    Ok(CallRequest {
        tenant: headers.tenant,
        program: headers.program,
        sequence: headers.sequence,
        key: headers.key,
        // Service calls may have side effects, so they are not repeated by default.
        repeatable: headers.repeatable.unwrap_or(false),
        payload: CallPayload::Service { service, input: body.input },
    })
}
