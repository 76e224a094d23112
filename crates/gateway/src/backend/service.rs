//! Client of the replicas of tool services.

use std::time::Duration;

use calicohoist_http::{ClientError, HttpClient};
use calicohoist_types::backend_api::{JobRequest, JobResult};
use calicohoist_types::{Usage, openai};

use super::{CONNECT_TIMEOUT, MAX_JOB_RESULT_BYTES};
use crate::core::message::{BackendEvent, BackendFailure, ServiceTask};

/// Finish reason of service answers.
const FINISH_REASON: &str = "stop";

/// Runs a task on a replica within `timeout`, and reports its answer or failure.
pub fn run(task: &ServiceTask, timeout: Duration, mut report: impl FnMut(BackendEvent)) {
    let client = HttpClient::new(task.address, CONNECT_TIMEOUT, timeout)
        .with_max_response_bytes(MAX_JOB_RESULT_BYTES)
        .with_header(openai::HEADER_KEY, task.key.as_str());
    let result = if task.lookup_only { look_up(&client, task) } else { execute(&client, task) };
    match result {
        Ok(result) => {
            report(BackendEvent::Text { offset: 0, text: result.output });
            report(BackendEvent::Done {
                finish_reason: FINISH_REASON.to_owned(),
                usage: Usage::default(),
            });
        }
        Err(failure) => report(BackendEvent::Failed(failure)),
    }
}

fn execute(client: &HttpClient, task: &ServiceTask) -> Result<JobResult, BackendFailure> {
    let job = JobRequest {
        key: task.key.as_str().to_owned(),
        service: task.service.as_str().to_owned(),
        input: task.input.clone(),
    };
    let result = client.post::<_, JobResult>("/v1/jobs", &job).map_err(|error| match error {
        ClientError::InvalidRequest(_) | ClientError::NotConnected(_) => BackendFailure::NotStarted,
        // Replicas send 503 only before a job starts; other errors may come later.
        ClientError::Status { status: 503, .. } => BackendFailure::NotStarted,
        _ => BackendFailure::Broken,
    })?;
    verify_key(result, task)
}

fn look_up(client: &HttpClient, task: &ServiceTask) -> Result<JobResult, BackendFailure> {
    let key = task.key.as_str().replace('/', ":");
    let result = client.get::<JobResult>(&format!("/v1/jobs/{key}"));
    let result = result.map_err(|_| BackendFailure::NotSeen)?;
    verify_key(result, task)
}

/// Rejects a result with another key, which belongs to another request.
fn verify_key(result: JobResult, task: &ServiceTask) -> Result<JobResult, BackendFailure> {
    if result.key == task.key.as_str() { Ok(result) } else { Err(BackendFailure::Broken) }
}
