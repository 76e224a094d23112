//! `POST /v1/chat/completions` and stored answers.

use std::time::{SystemTime, UNIX_EPOCH};

use calicohoist_http::{EventWriter, Exchange, STREAM_DONE};
use calicohoist_types::openai::{
    ChatChunk, ChatCompletion, ChatRequest, Choice, HEADER_ATTEMPT, HEADER_OUTCOME, HEADER_PROGRAM,
    HEADER_SEQUENCE, ModelEntry, ModelList,
};
use calicohoist_types::{AttemptId, CallId, ChatMessage, ModelId, Outcome, ProgramId, Role};

use super::caller_channels::CallerChannel;
use super::errors::ApiError;
use super::headers::{CallHeaders, parse_tenant};
use super::{ApiHandler, Reply};
use crate::core::message::{CallPayload, CallRequest, CallerEvent, Completion, Input};

/// Format of the response to a call.
struct ResponseFormat {
    model: String,
    streamed: bool,
    with_usage: bool,
}

impl ApiHandler {
    pub(super) fn chat(&self, mut exchange: Exchange) {
        match parse_chat_request(&mut exchange) {
            Ok((request, format)) => {
                let channel = self.open_channel();
                let input = Input::Call(channel.ticket(), Box::new(request));
                match self.send(input) {
                    Ok(()) => self.write_response(exchange, &channel, &format),
                    Err(error) => error.reply(exchange),
                }
            }
            Err(error) => error.reply(exchange),
        }
    }

    pub(super) fn stored_answer(&self, exchange: Exchange, program: &str, sequence: &str) {
        let mut findings = Vec::new();
        let tenant = parse_tenant(&exchange, &mut findings);
        let offset = exchange.query("offset").map_or(Some(0), |text| text.parse().ok());
        let (Some(program), Ok(sequence), Some(offset)) =
            (ProgramId::parse(program), sequence.parse(), offset)
        else {
            let error = ApiError::invalid_field(
                "path",
                "is not a call",
                "a program, a place, a byte offset",
            );
            return error.reply(exchange);
        };
        let format = ResponseFormat {
            model: String::new(),
            streamed: exchange.query("stream") == Some("true"),
            with_usage: true,
        };
        let channel = self.open_channel();
        let input = Input::Attach {
            ticket: channel.ticket(),
            tenant,
            call: CallId { program, sequence },
            offset,
        };
        match self.send(input) {
            Ok(()) => self.write_response(exchange, &channel, &format),
            Err(error) => error.reply(exchange),
        }
    }

    /// Writes the response of a call.
    fn write_response(&self, exchange: Exchange, channel: &CallerChannel, format: &ResponseFormat) {
        // Write nothing before admission, so that a failure can set the HTTP status.
        let attempt = loop {
            match self.next_event(channel) {
                Some(CallerEvent::Admitted(attempt)) => break attempt,
                Some(CallerEvent::Failed(failure)) => {
                    return ApiError::from_failure(&failure).reply(exchange);
                }
                Some(_) => {}
                None => return ApiError::store_unavailable().reply(exchange),
            }
        };
        if format.streamed {
            self.respond_streamed(exchange, channel, format, &attempt);
        } else {
            self.respond_buffered(exchange, channel, format);
        }
    }

    fn respond_streamed(
        &self,
        exchange: Exchange,
        channel: &CallerChannel,
        format: &ResponseFormat,
        attempt: &AttemptId,
    ) {
        let headers = call_headers(attempt);
        let Ok(mut events) = exchange.start_event_stream(&headers) else {
            return self.report_disconnect(channel.ticket());
        };
        let id = completion_id(attempt);
        loop {
            let sent = match self.next_event(channel) {
                Some(CallerEvent::Text(text)) => {
                    events.send(&ChatChunk::new(&id, unix_time(), &format.model, Some(text), None))
                }
                Some(CallerEvent::Finished(completion)) => {
                    let _ = send_final_chunks(&mut events, &id, format, &completion);
                    return;
                }
                Some(CallerEvent::Failed(failure)) => {
                    let _ = events.send(&ApiError::from_failure(&failure).body());
                    return;
                }
                Some(_) => Ok(()),
                None => {
                    let _ = events.send(&ApiError::store_unavailable().body());
                    return;
                }
            };
            if sent.is_err() {
                return self.report_disconnect(channel.ticket());
            }
        }
    }

    fn respond_buffered(
        &self,
        exchange: Exchange,
        channel: &CallerChannel,
        format: &ResponseFormat,
    ) {
        let mut content = String::new();
        loop {
            match self.next_event(channel) {
                Some(CallerEvent::Text(text)) => content.push_str(&text),
                Some(CallerEvent::Finished(completion)) => {
                    let mut headers = call_headers(&completion.attempt);
                    headers.push((HEADER_OUTCOME, Outcome::Completed.as_str().to_owned()));
                    let body = chat_completion(format, &completion, content);
                    return exchange.reply_json(200, &headers, &body);
                }
                Some(CallerEvent::Failed(failure)) => {
                    return ApiError::from_failure(&failure).reply(exchange);
                }
                Some(_) => {}
                None => return ApiError::store_unavailable().reply(exchange),
            }
        }
    }

    pub(super) fn list_models(&self) -> Reply {
        let entry = |model: ModelId| ModelEntry {
            id: model.to_string(),
            object: "model".to_owned(),
            created: 0,
            owned_by: "calicohoist".to_owned(),
        };
        let list = ModelList {
            object: "list".to_owned(),
            data: self.view.models().into_iter().map(entry).collect(),
        };
        Reply::ok(serde_json::to_value(list).unwrap_or_default())
    }
}

fn parse_chat_request(exchange: &mut Exchange) -> Result<(CallRequest, ResponseFormat), ApiError> {
    let mut findings = Vec::new();
    let headers = CallHeaders::read(exchange, &mut findings);
    let body: ChatRequest = exchange.read_json()?;
    let messages = body.plain_messages().unwrap_or_else(|mut more| {
        findings.append(&mut more);
        Vec::new()
    });
    let model = ModelId::parse(&body.model);
    if model.is_none() {
        let problem = format!("{:?} is not a name", body.model);
        findings.push(calicohoist_types::Finding::of_field(
            "model",
            problem,
            "a model of /v1/models",
        ));
    }
    if body.token_limit() == Some(0) {
        let field = "max_completion_tokens";
        findings.push(calicohoist_types::Finding::of_field(field, "is 0", "1 or more"));
    }
    let Some(model) = model.filter(|_| findings.is_empty()) else {
        return Err(ApiError::invalid(findings));
    };
    let format = ResponseFormat {
        model: body.model.clone(),
        streamed: body.stream,
        with_usage: body.stream_options.is_some_and(|options| options.include_usage),
    };
    let request = CallRequest {
        tenant: headers.tenant,
        program: headers.program,
        sequence: headers.sequence,
        key: headers.key,
        repeatable: headers.repeatable.unwrap_or(true),
        payload: CallPayload::Model { model, messages, max_tokens: body.token_limit() },
    };
    Ok((request, format))
}

/// Returns the headers that identify a call and its attempt.
pub(super) fn call_headers(attempt: &AttemptId) -> Vec<(&'static str, String)> {
    vec![
        (HEADER_PROGRAM, attempt.call.program.to_string()),
        (HEADER_SEQUENCE, attempt.call.sequence.to_string()),
        (HEADER_ATTEMPT, attempt.number.to_string()),
    ]
}

fn completion_id(attempt: &AttemptId) -> String {
    format!("chatcmpl-{}", attempt.call.to_string().replace('/', "-"))
}

fn unix_time() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_secs()
}

fn send_final_chunks(
    events: &mut EventWriter,
    id: &str,
    format: &ResponseFormat,
    completion: &Completion,
) -> std::io::Result<()> {
    let reason = Some(completion.finish_reason.clone());
    events.send(&ChatChunk::new(id, unix_time(), &format.model, None, reason))?;
    if format.with_usage {
        let mut chunk = ChatChunk::new(id, unix_time(), &format.model, None, None);
        chunk.choices.clear();
        chunk.usage = Some(completion.usage.into());
        events.send(&chunk)?;
    }
    events.send_text(STREAM_DONE)
}

fn chat_completion(
    format: &ResponseFormat,
    completion: &Completion,
    content: String,
) -> ChatCompletion {
    ChatCompletion {
        id: completion_id(&completion.attempt),
        object: "chat.completion".to_owned(),
        created: unix_time(),
        model: format.model.clone(),
        choices: vec![Choice {
            index: 0,
            message: ChatMessage::new(Role::Assistant, content),
            finish_reason: completion.finish_reason.clone(),
        }],
        usage: completion.usage.into(),
    }
}
