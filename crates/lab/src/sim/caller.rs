//! Simulated callers: each program is a state machine that sends calls, retries them, disconnects
//! and resumes, and starts sub-agents and waits for them. Every request of a call is recorded with
//! the result that its caller observed.

use std::collections::BTreeMap;
use std::time::Duration;

use calicohoist_gateway::api::errors::ApiError;
use calicohoist_gateway::core::message::{
    CallPayload, CallRequest, CallerEvent, Completion, Ticket,
};
use calicohoist_store::commands::program::{
    NewProgram, ProgramCommand, ProgramError, ProgramOutput,
};
use calicohoist_store::{Command, GroupMap, Output, StoreReply, StoreRequest};
use calicohoist_types::{
    CallId, ChatMessage, IdempotencyKey, ModelId, Moment, Outcome, ProgramId, RequestId, Role,
    ServiceId, TenantId,
};

use super::frame::{ClientEvent, ClientRequest};
use super::operator::{OperatorTask, ProbeChange};
use super::world::{PROGRAM_GROUPS, SimEvent, World};
use crate::caller::is_retryable;
use crate::history::{CallInput, CallResult, CallTry, ProgramTrace};
use crate::workload::{ClientBehavior, ProgramPlan, Step};

/// Delay before a retry.
const RETRY_DELAY: Duration = Duration::from_millis(400);
/// Maximum number of requests for one call.
const MAX_CALL_REQUESTS: u32 = 40;
/// Call limit of a sub-agent.
const AGENT_MAX_CALLS: u64 = 100;
/// Number of received chunks after which a caller disconnects deliberately.
const CHUNKS_BEFORE_DISCONNECT: u32 = 3;

/// The action of a client timer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientTimer {
    /// Continues a program with its next step.
    Step(usize),
    /// Retries the current call of a program.
    Retry(usize),
    /// Sends a request to the store.
    StoreRequest(u64),
    /// Continues a task of an operator.
    Operator(usize),
}

/// The purpose of a request to the store and the program or task that waits for it.
#[derive(Clone, Debug)]
pub enum StoreRequestOwner {
    /// Creates a program.
    Create(usize),
    /// Creates a sub-agent of a program, by its index in the step.
    Agent(usize, usize),
    /// Ends a program.
    End(usize),
    /// Cancels a program.
    Cancel(usize),
    /// Belongs to a task of an operator.
    Operator(usize),
}

/// A request to the store that is retried until it is answered.
#[derive(Clone, Debug)]
struct PendingStoreRequest {
    owner: StoreRequestOwner,
    request: StoreRequest,
    gateway: usize,
}

/// A request of a call that has not ended.
#[derive(Clone, Debug)]
struct OpenCall {
    program: usize,
    sequence: u64,
    key: String,
    input: CallInput,
    repeatable: bool,
    gateway: usize,
    sent: Moment,
    text: String,
    chunks: u32,
    disconnect: bool,
    /// Whether the program waits for this request; others are only recorded.
    is_primary: bool,
}

/// An open request of a client.
#[derive(Clone, Debug)]
enum OpenRequest {
    Call(Box<OpenCall>),
    Store(u64),
    Probe(usize),
}

/// State of one program.
#[derive(Debug)]
pub(super) struct ProgramRun {
    pub(super) id: String,
    root: String,
    tenant: String,
    budget: u64,
    max_calls: u64,
    steps: Vec<Step>,
    behavior: ClientBehavior,
    gateway: usize,
    step_index: usize,
    sequence: u64,
    key_version: u32,
    requests: u32,
    started: Moment,
    pub(super) ended: Option<Moment>,
    succeeded: bool,
    pub(super) is_done: bool,
    parent: Option<usize>,
    running_agents: usize,
    agent_answers: BTreeMap<usize, String>,
    agent_index: usize,
    last_answer: String,
    has_disconnected: bool,
}

impl ProgramRun {
    /// Creates a root program at its first step.
    fn new(id: String, tenant: String, steps: Vec<Step>, gateway: usize, started: Moment) -> Self {
        Self {
            root: id.clone(),
            id,
            tenant,
            budget: 0,
            max_calls: AGENT_MAX_CALLS,
            steps,
            behavior: ClientBehavior::Normal,
            gateway,
            step_index: 0,
            sequence: 1,
            key_version: 0,
            requests: 0,
            started,
            ended: None,
            succeeded: true,
            is_done: false,
            parent: None,
            running_agents: 0,
            agent_answers: BTreeMap::new(),
            agent_index: 0,
            last_answer: String::new(),
            has_disconnected: false,
        }
    }
}

/// State of all callers and operators.
#[derive(Debug, Default)]
pub struct Clients {
    pub(super) programs: Vec<ProgramRun>,
    pub(super) tasks: Vec<OperatorTask>,
    /// Times from the acceptance of each change until it was in force at all gateways.
    pub(super) change_latencies: Vec<Duration>,
    /// Changes of the probed limit by task index.
    pub(super) probe_changes: BTreeMap<usize, ProbeChange>,
    open: BTreeMap<Ticket, (usize, OpenRequest)>,
    broken: std::collections::BTreeSet<Ticket>,
    store_requests: BTreeMap<u64, PendingStoreRequest>,
    next_ticket: Ticket,
    next_store_request: u64,
}

impl Clients {
    /// Returns the open requests at a gateway.
    pub(super) fn open_requests_at(&self, gateway: usize) -> Vec<Ticket> {
        let at_gateway = self.open.iter().filter(|(_, (index, _))| *index == gateway);
        at_gateway.map(|(ticket, _)| *ticket).collect()
    }

    /// Returns whether events of a request can reach its client.
    pub(super) fn is_open(&self, ticket: Ticket) -> bool {
        self.open.contains_key(&ticket) && !self.broken.contains(&ticket)
    }

    /// Marks a connection as broken; its client notices only by the timeout.
    pub(super) fn break_connection(&mut self, ticket: Ticket) {
        self.broken.insert(ticket);
    }

    /// Returns whether all programs and tasks are complete.
    pub(super) fn all_done(&self) -> bool {
        let programs = self.programs.iter().all(|program| program.is_done);
        programs && self.tasks.iter().all(OperatorTask::is_done)
    }

    /// Opens a request for the call of a probe.
    pub(super) fn open_probe(&mut self, gateway: usize, task: usize) -> Ticket {
        self.open_request(gateway, OpenRequest::Probe(task))
    }

    fn open_request(&mut self, gateway: usize, open: OpenRequest) -> Ticket {
        self.next_ticket += 1;
        self.open.insert(self.next_ticket, (gateway, open));
        self.next_ticket
    }
}

fn groups() -> GroupMap {
    GroupMap::new(PROGRAM_GROUPS)
}

/// Returns a request that sends `command` to the group of `program`.
fn program_command(program: &ProgramId, command: ProgramCommand) -> StoreRequest {
    StoreRequest::Command(groups().group_of(program), Command::Program(command))
}

impl World {
    /// Adds a program, which starts at the time in its plan.
    pub fn add_program(&mut self, plan: ProgramPlan, max_calls: u64) {
        let index = self.clients.programs.len();
        let start = plan.start;
        let started = self.now + start;
        self.clients.programs.push(ProgramRun {
            budget: plan.budget,
            max_calls,
            behavior: plan.behavior,
            ..ProgramRun::new(plan.id, plan.tenant, plan.steps, index, started)
        });
        self.create_program(index, start);
    }

    fn create_program(&mut self, index: usize, after: Duration) {
        let program = &self.clients.programs[index];
        let id = ProgramId::new(&program.id);
        let new = NewProgram {
            id: id.clone(),
            parent: None,
            request: RequestId::new(format!("create-{}", program.id)),
            tenant: TenantId::new(&program.tenant),
            budget_tokens: program.budget,
            max_calls: program.max_calls,
            lifetime_millis: None,
        };
        let request = program_command(&id, ProgramCommand::Create(new));
        let gateway = program.gateway;
        self.schedule_store_request(after, StoreRequestOwner::Create(index), request, gateway);
    }

    /// Sends a request to the store through a gateway and retries it until it is answered.
    pub(super) fn schedule_store_request(
        &mut self,
        after: Duration,
        owner: StoreRequestOwner,
        request: StoreRequest,
        gateway: usize,
    ) {
        self.clients.next_store_request += 1;
        let pending = self.clients.next_store_request;
        self.clients
            .store_requests
            .insert(pending, PendingStoreRequest { owner, request, gateway });
        self.schedule_in(after, SimEvent::ClientTimer(ClientTimer::StoreRequest(pending)));
    }

    fn send_store_request(&mut self, id: u64) {
        let Some(pending) = self.clients.store_requests.get(&id).cloned() else {
            return;
        };
        let gateway = pending.gateway % self.gateways.len();
        let ticket = self.clients.open_request(gateway, OpenRequest::Store(id));
        self.send_client(gateway, ticket, ClientRequest::Store(Box::new(pending.request)));
    }

    pub(super) fn handle_client_timer(&mut self, timer: ClientTimer) {
        match timer {
            ClientTimer::Step(index) => self.next_step(index),
            ClientTimer::Retry(index) => self.send_current_call(index),
            ClientTimer::StoreRequest(id) => self.send_store_request(id),
            ClientTimer::Operator(task) => self.continue_operator_task(task),
        }
    }

    pub(super) fn handle_client_event(&mut self, ticket: Ticket, event: ClientEvent) {
        let Some((gateway, open)) = self.clients.open.remove(&ticket) else {
            return;
        };
        match open {
            OpenRequest::Store(id) => self.handle_store_event(id, event),
            OpenRequest::Call(open) => self.handle_call_event(ticket, gateway, open, event),
            OpenRequest::Probe(task) => self.handle_probe_event(ticket, gateway, task, &event),
        }
    }

    fn handle_probe_event(
        &mut self,
        ticket: Ticket,
        gateway: usize,
        task: usize,
        event: &ClientEvent,
    ) {
        match event {
            ClientEvent::FromGateway(
                event @ (CallerEvent::Finished(_) | CallerEvent::Failed(_)),
            ) => {
                self.handle_probe_end(task, Some(event));
            }
            ClientEvent::FromGateway(_) => {
                self.clients.open.insert(ticket, (gateway, OpenRequest::Probe(task)));
            }
            _ => self.handle_probe_end(task, None),
        }
    }

    /// Disconnects a client whose request timed out.
    pub(super) fn handle_client_timeout(&mut self, ticket: Ticket) {
        let Some((gateway, _)) = self.clients.open.get(&ticket) else {
            return;
        };
        let gateway = *gateway;
        self.send_client(gateway, ticket, ClientRequest::Disconnect);
        self.handle_client_event(ticket, ClientEvent::TimedOut);
    }

    fn handle_store_event(&mut self, id: u64, event: ClientEvent) {
        if let ClientEvent::FromGateway(CallerEvent::StoreReply(Some(reply))) = event {
            if let Some(pending) = self.clients.store_requests.remove(&id) {
                self.handle_store_reply(pending, *reply);
            }
            return;
        }
        if let Some(pending) = self.clients.store_requests.get_mut(&id) {
            pending.gateway += 1;
            self.schedule_in(RETRY_DELAY, SimEvent::ClientTimer(ClientTimer::StoreRequest(id)));
        }
    }

    fn handle_store_reply(&mut self, pending: PendingStoreRequest, reply: StoreReply) {
        let output = match &reply {
            StoreReply::Output(Output::Program(output)) => Some(output.clone()),
            _ => None,
        };
        match pending.owner {
            StoreRequestOwner::Create(index) => match output {
                Some(ProgramOutput::Created(_)) => self.next_step(index),
                _ => self.finish_program(index, false),
            },
            StoreRequestOwner::Agent(parent, number) => {
                if let Some(ProgramOutput::Created(id)) = output {
                    self.start_agent(parent, number, &id);
                } else {
                    self.finish_agent(parent, number, None);
                }
            }
            StoreRequestOwner::End(index) => {
                let refusal = output.as_ref();
                let is_busy =
                    matches!(refusal, Some(ProgramOutput::Refused(ProgramError::Busy(_))));
                let is_ended = matches!(output, Some(ProgramOutput::Done));
                if is_ended {
                    self.clients.programs[index].ended = Some(self.now);
                }
                if is_busy && self.clients.programs[index].succeeded {
                    // An abandoned call of the program is still running.
                    return self.schedule_store_request(
                        RETRY_DELAY,
                        StoreRequestOwner::End(index),
                        pending.request,
                        pending.gateway,
                    );
                }
                let succeeded = self.clients.programs[index].succeeded && is_ended;
                self.finish_program(index, succeeded);
            }
            StoreRequestOwner::Cancel(index) => {
                self.clients.programs[index].ended = Some(self.now);
            }
            StoreRequestOwner::Operator(task) => self.handle_operator_reply(task, reply),
        }
    }

    fn next_step(&mut self, index: usize) {
        let program = &mut self.clients.programs[index];
        if program.is_done {
            return;
        }
        let Some(step) = program.steps.get(program.step_index).cloned() else {
            return self.end_program(index);
        };
        program.requests = 0;
        program.key_version = 0;
        match step {
            Step::Pause(pause) => {
                program.step_index += 1;
                self.schedule_in(pause, SimEvent::ClientTimer(ClientTimer::Step(index)));
            }
            Step::ModelCall(_) | Step::ServiceCall { .. } => {
                if program.behavior == ClientBehavior::SendsOutOfOrder && program.step_index == 0 {
                    self.send_early_call(index);
                }
                self.send_current_call(index);
            }
            Step::SubAgents(agents) => {
                program.running_agents = agents.len();
                for number in 0..agents.len() {
                    self.create_agent(index, number);
                }
            }
        }
    }

    fn create_agent(&mut self, index: usize, number: usize) {
        let program = &self.clients.programs[index];
        let parent = ProgramId::new(&program.id);
        let new = NewProgram {
            id: parent.clone(),
            parent: Some(parent.clone()),
            request: RequestId::new(format!(
                "agent-{}-{}-{number}",
                program.id, program.step_index
            )),
            tenant: TenantId::new(&program.tenant),
            budget_tokens: 0,
            max_calls: AGENT_MAX_CALLS,
            lifetime_millis: None,
        };
        let request = program_command(&parent, ProgramCommand::Create(new));
        let gateway = program.gateway;
        self.schedule_store_request(
            Duration::ZERO,
            StoreRequestOwner::Agent(index, number),
            request,
            gateway,
        );
    }

    fn start_agent(&mut self, parent: usize, number: usize, id: &ProgramId) {
        let owner = &self.clients.programs[parent];
        let Some(Step::SubAgents(agents)) = owner.steps.get(owner.step_index) else {
            return;
        };
        let steps = agents[number].clone();
        let (tenant, gateway) = (owner.tenant.clone(), owner.gateway + number);
        let agent = ProgramRun {
            root: owner.root.clone(),
            parent: Some(parent),
            agent_index: number,
            ..ProgramRun::new(id.to_string(), tenant, steps, gateway, self.now)
        };
        let index = self.clients.programs.len();
        self.clients.programs.push(agent);
        self.next_step(index);
    }

    fn finish_agent(&mut self, parent: usize, number: usize, answer: Option<String>) {
        let program = &mut self.clients.programs[parent];
        program.running_agents -= 1;
        match answer {
            Some(answer) => {
                program.agent_answers.insert(number, answer);
            }
            None => program.succeeded = false,
        }
        if program.running_agents > 0 {
            return;
        }
        program.step_index += 1;
        if program.succeeded {
            self.next_step(parent);
        } else {
            self.end_program(parent);
        }
    }

    /// Returns the input of the current step, whether it is repeatable, and whether it is sent
    /// twice.
    fn current_input(&self, index: usize) -> Option<(CallInput, bool, bool)> {
        let program = &self.clients.programs[index];
        match program.steps.get(program.step_index)? {
            Step::ModelCall(messages) => {
                let results = program.agent_answers.values();
                let mut all: Vec<ChatMessage> =
                    results.map(|text| ChatMessage::new(Role::Tool, text)).collect();
                all.extend(messages.iter().cloned());
                let model = self.deployment.model().to_owned();
                Some((CallInput::Model { model, messages: all }, true, false))
            }
            Step::ServiceCall { input, repeatable, send_duplicate } => {
                let service = self.deployment.service().to_owned();
                Some((
                    CallInput::Service { service, input: input.clone() },
                    *repeatable,
                    *send_duplicate,
                ))
            }
            _ => None,
        }
    }

    fn send_current_call(&mut self, index: usize) {
        let Some((input, repeatable, twice)) = self.current_input(index) else {
            return;
        };
        let now = self.now;
        let program = &mut self.clients.programs[index];
        if program.is_done || program.ended.is_some() {
            return self.end_program(index);
        }
        program.requests += 1;
        if program.requests > MAX_CALL_REQUESTS {
            program.succeeded = false;
            return self.end_program(index);
        }
        let wants_disconnect =
            program.behavior == ClientBehavior::Disconnects && program.step_index.is_multiple_of(2);
        let disconnect = wants_disconnect
            && !program.has_disconnected
            && matches!(input, CallInput::Model { .. });
        let open = OpenCall {
            program: index,
            sequence: program.sequence,
            key: format!("k{}-{}", program.sequence, program.key_version),
            input,
            repeatable,
            gateway: program.gateway,
            sent: now,
            text: String::new(),
            chunks: 0,
            disconnect,
            is_primary: true,
        };
        if twice && program.requests == 1 {
            let duplicate =
                OpenCall { gateway: open.gateway + 1, is_primary: false, ..open.clone() };
            self.send_call(duplicate);
        }
        self.send_call(open);
    }

    /// Sends the second call of a program before its first one has ended.
    fn send_early_call(&mut self, index: usize) {
        let program = &self.clients.programs[index];
        let later = program.steps.iter().skip(program.step_index + 1);
        let mut later = later.skip_while(|step| matches!(step, Step::Pause(_)));
        let Some(Step::ModelCall(messages)) = later.next() else {
            return;
        };
        let model = self.deployment.model().to_owned();
        let sequence = program.sequence + 1;
        let early = OpenCall {
            program: index,
            sequence,
            key: format!("k{sequence}-0"),
            input: CallInput::Model { model, messages: messages.clone() },
            repeatable: true,
            gateway: program.gateway,
            sent: self.now,
            text: String::new(),
            chunks: 0,
            disconnect: false,
            is_primary: false,
        };
        self.send_call(early);
    }

    fn send_call(&mut self, mut open: OpenCall) {
        let gateway = open.gateway % self.gateways.len();
        open.gateway = gateway;
        let program = &self.clients.programs[open.program];
        let payload = match &open.input {
            CallInput::Model { model, messages } => CallPayload::Model {
                model: ModelId::new(model),
                messages: messages.clone(),
                max_tokens: None,
            },
            CallInput::Service { service, input } => {
                CallPayload::Service { service: ServiceId::new(service), input: input.clone() }
            }
        };
        let request = CallRequest {
            tenant: TenantId::new(&program.tenant),
            program: Some(ProgramId::new(&program.id)),
            sequence: Some(open.sequence),
            key: Some(IdempotencyKey::new(&open.key)),
            repeatable: open.repeatable,
            payload,
        };
        let ticket = self.clients.open_request(gateway, OpenRequest::Call(Box::new(open)));
        self.send_client(gateway, ticket, ClientRequest::Call(Box::new(request)));
    }

    fn handle_call_event(
        &mut self,
        ticket: Ticket,
        gateway: usize,
        mut open: Box<OpenCall>,
        event: ClientEvent,
    ) {
        match event {
            ClientEvent::FromGateway(CallerEvent::Text(text)) => {
                open.text.push_str(&text);
                open.chunks += 1;
                if open.disconnect && open.chunks >= CHUNKS_BEFORE_DISCONNECT {
                    return self.disconnect(ticket, gateway, *open);
                }
                self.clients.open.insert(ticket, (gateway, OpenRequest::Call(open)));
            }
            ClientEvent::FromGateway(CallerEvent::Finished(finish)) => {
                let Completion { finish_reason, usage, .. } = finish;
                let text = std::mem::take(&mut open.text);
                self.record_call_end(*open, CallResult::Answered { text, finish_reason, usage });
            }
            ClientEvent::FromGateway(CallerEvent::Failed(failure)) => {
                let error = ApiError::from_failure(&failure).body().error;
                let code = error.code.unwrap_or_default();
                self.record_call_end(*open, CallResult::Refused { outcome: failure.outcome, code });
            }
            ClientEvent::FromGateway(_) => {
                self.clients.open.insert(ticket, (gateway, OpenRequest::Call(open)));
            }
            ClientEvent::Disconnected => self.record_call_end(*open, CallResult::Cut),
            ClientEvent::TimedOut => self.record_call_end(*open, CallResult::HungUp),
            ClientEvent::ConnectionRefused => self.record_call_end(*open, CallResult::NotConnected),
        }
    }

    /// Disconnects and resumes the response at another gateway.
    fn disconnect(&mut self, ticket: Ticket, gateway: usize, mut open: OpenCall) {
        self.send_client(gateway, ticket, ClientRequest::Disconnect);
        open.disconnect = false;
        open.gateway = (gateway + 1) % self.gateways.len();
        let program = &mut self.clients.programs[open.program];
        program.has_disconnected = true;
        let request = ClientRequest::Attach {
            tenant: TenantId::new(&program.tenant),
            call: CallId { program: ProgramId::new(&program.id), sequence: open.sequence },
            offset: open.text.len(),
        };
        let next = open.gateway;
        let ticket = self.clients.open_request(next, OpenRequest::Call(Box::new(open)));
        self.send_client(next, ticket, request);
    }

    fn record_call_end(&mut self, open: OpenCall, end: CallResult) {
        let program = &self.clients.programs[open.program];
        self.history.tries.push(CallTry {
            program: program.id.clone(),
            sequence: open.sequence,
            key: open.key,
            asked: open.input,
            repeatable: open.repeatable,
            gateway: open.gateway,
            sent: open.sent,
            ended: self.now,
            end: end.clone(),
        });
        if open.is_primary {
            self.handle_call_end(open.program, end);
        }
    }

    fn handle_call_end(&mut self, index: usize, end: CallResult) {
        let program = &mut self.clients.programs[index];
        match end {
            CallResult::Answered { text, .. } => {
                program.sequence += 1;
                program.step_index += 1;
                program.last_answer = text;
                program.has_disconnected = false;
                program.agent_answers.clear();
                return self.next_step(index);
            }
            CallResult::Refused { outcome, code } => {
                if is_permanent_refusal(&code) {
                    program.succeeded = false;
                    return self.end_program(index);
                }
                // A refusal is final for its key, so the retry uses a new one.
                if outcome == Outcome::NotRun {
                    program.key_version += 1;
                }
            }
            CallResult::Cut | CallResult::NotConnected | CallResult::HungUp => {}
        }
        program.gateway += 1;
        self.schedule_in(RETRY_DELAY, SimEvent::ClientTimer(ClientTimer::Retry(index)));
    }

    fn end_program(&mut self, index: usize) {
        let program = &self.clients.programs[index];
        if program.is_done {
            return;
        }
        if program.ended.is_some() {
            return self.finish_program(index, false);
        }
        let id = ProgramId::new(&program.id);
        let tenant = TenantId::new(&program.tenant);
        let gateway = program.gateway;
        let request = program_command(&id, ProgramCommand::End { program: id.clone(), tenant });
        self.schedule_store_request(
            Duration::ZERO,
            StoreRequestOwner::End(index),
            request,
            gateway,
        );
    }

    fn finish_program(&mut self, index: usize, succeeded: bool) {
        let program = &mut self.clients.programs[index];
        if program.is_done {
            return;
        }
        program.is_done = true;
        self.history.programs.push(ProgramTrace {
            id: program.id.clone(),
            root: program.root.clone(),
            budget: program.budget,
            started: program.started,
            ended: program.ended,
            completed: succeeded,
        });
        let (parent, number) = (program.parent, program.agent_index);
        let answer = succeeded.then(|| program.last_answer.clone());
        if let Some(parent) = parent {
            self.finish_agent(parent, number, answer);
        }
    }

    /// Cancels a running program, if any.
    pub(super) fn cancel_running_program(&mut self) {
        let running = self.clients.programs.iter().position(|program| {
            !program.is_done && program.parent.is_none() && program.sequence > 1
        });
        let Some(index) = running else {
            return;
        };
        let program = &self.clients.programs[index];
        let id = ProgramId::new(&program.id);
        let tenant = TenantId::new(&program.tenant);
        let gateway = program.gateway;
        let request = program_command(&id, ProgramCommand::Cancel { program: id.clone(), tenant });
        self.schedule_store_request(
            Duration::ZERO,
            StoreRequestOwner::Cancel(index),
            request,
            gateway,
        );
    }
}

fn is_permanent_refusal(code: &str) -> bool {
    !is_retryable(code) || matches!(code, "unknown_program" | "key_mismatch")
}
