//! Programs as their callers run them, without threads.
//!
//! Each program is a small state machine: it asks, waits, repeats what may be
//! repeated, hangs up and resumes, starts sub-agents and waits for them. Every
//! try is recorded as its caller saw it.

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

use super::frame::{ClientNews, ClientRequest};
use super::operator::{OperatorTask, ProbeChange};
use super::world::{Happening, PROGRAM_GROUPS, World};
use crate::caller::is_retryable;
use crate::history::{Asked, CallTry, ProgramTrace, TryEnd};
use crate::workload::{ClientBehavior, ProgramPlan, Step};

/// Pause before something is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Tries of one call before its caller gives up.
const MAX_TRIES: u32 = 40;
/// Calls of a sub-agent, at most.
const AGENT_CALLS: u64 = 100;
/// Pieces of an answer after which a caller hangs up on purpose.
const PIECES_BEFORE_HANG_UP: u32 = 3;

/// What a client planned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wake {
    /// A program goes on with its next step.
    Step(usize),
    /// A program tries its call again.
    Try(usize),
    /// A request to the store is sent again.
    Ask(u64),
    /// An operator's task goes on.
    Operator(usize),
}

/// Who waits for an answer of the store.
#[derive(Clone, Debug)]
pub enum AskOwner {
    /// A program that is being created.
    Create(usize),
    /// A program that starts its sub-agent of this number.
    Agent(usize, usize),
    /// A program that is being ended.
    End(usize),
    /// A program that is being cancelled.
    Cancel(usize),
    /// An operator's task.
    Operator(usize),
}

/// A request to the store that is repeated until it is answered.
#[derive(Clone, Debug)]
struct Ask {
    owner: AskOwner,
    request: StoreRequest,
    gateway: usize,
}

/// One try of a call that is under way.
#[derive(Clone, Debug)]
struct OpenTry {
    program: usize,
    sequence: u64,
    key: String,
    asked: Asked,
    repeatable: bool,
    gateway: usize,
    sent: Moment,
    text: String,
    pieces: u32,
    hang_up: bool,
    /// The program waits for this try; others are only recorded.
    is_main: bool,
}

/// What an open ticket is for.
#[derive(Clone, Debug)]
enum Open {
    Try(Box<OpenTry>),
    Ask(u64),
    Probe(usize),
}

/// One program.
#[derive(Debug)]
pub(super) struct ProgramRun {
    pub(super) id: String,
    root: String,
    tenant: String,
    budget: u64,
    max_calls: u64,
    steps: Vec<Step>,
    habit: ClientBehavior,
    gateway: usize,
    position: usize,
    sequence: u64,
    round: u32,
    tries: u32,
    started: Moment,
    pub(super) ended: Option<Moment>,
    went_well: bool,
    pub(super) is_over: bool,
    parent: Option<usize>,
    agents_left: usize,
    agent_answers: BTreeMap<usize, String>,
    number_in_parent: usize,
    last_answer: String,
    hung_up: bool,
}

impl ProgramRun {
    /// A program that has not begun; its root is itself.
    fn new(id: String, tenant: String, steps: Vec<Step>, gateway: usize, started: Moment) -> Self {
        Self {
            root: id.clone(),
            id,
            tenant,
            budget: 0,
            max_calls: AGENT_CALLS,
            steps,
            habit: ClientBehavior::Normal,
            gateway,
            position: 0,
            sequence: 1,
            round: 0,
            tries: 0,
            started,
            ended: None,
            went_well: true,
            is_over: false,
            parent: None,
            agents_left: 0,
            agent_answers: BTreeMap::new(),
            number_in_parent: 0,
            last_answer: String::new(),
            hung_up: false,
        }
    }
}

/// Everybody who calls.
#[derive(Debug, Default)]
pub struct Clients {
    pub(super) programs: Vec<ProgramRun>,
    pub(super) tasks: Vec<OperatorTask>,
    /// Times from the acceptance of a change until it was in force everywhere.
    pub(super) change_times: Vec<Duration>,
    /// Changes of the probed limit, by their task.
    pub(super) probe_changes: BTreeMap<usize, ProbeChange>,
    open: BTreeMap<Ticket, (usize, Open)>,
    broken: std::collections::BTreeSet<Ticket>,
    asks: BTreeMap<u64, Ask>,
    next_ticket: Ticket,
    next_ask: u64,
}

impl Clients {
    /// Open requests at a gateway.
    pub(super) fn tickets_at(&self, gateway: usize) -> Vec<Ticket> {
        let at_gateway = self.open.iter().filter(|(_, (index, _))| *index == gateway);
        at_gateway.map(|(ticket, _)| *ticket).collect()
    }

    /// Whether events of a request can reach its client.
    pub(super) fn is_open(&self, ticket: Ticket) -> bool {
        self.open.contains_key(&ticket) && !self.broken.contains(&ticket)
    }

    /// Nothing more arrives on this connection; its client notices by silence.
    pub(super) fn break_connection(&mut self, ticket: Ticket) {
        self.broken.insert(ticket);
    }

    /// Whether every program and task is over.
    pub(super) fn are_done(&self) -> bool {
        let programs = self.programs.iter().all(|program| program.is_over);
        programs && self.tasks.iter().all(OperatorTask::is_over)
    }

    /// A ticket for the call of a probe.
    pub(super) fn open_probe(&mut self, gateway: usize, task: usize) -> Ticket {
        self.ticket(gateway, Open::Probe(task))
    }

    fn ticket(&mut self, gateway: usize, open: Open) -> Ticket {
        self.next_ticket += 1;
        self.open.insert(self.next_ticket, (gateway, open));
        self.next_ticket
    }
}

fn groups() -> GroupMap {
    GroupMap::new(PROGRAM_GROUPS)
}

/// A command for the group of `program`.
fn program_command(program: &ProgramId, command: ProgramCommand) -> StoreRequest {
    StoreRequest::Command(groups().group_of(program), Command::Program(command))
}

impl World {
    /// Adds a program that starts as planned.
    pub fn add_program(&mut self, plan: ProgramPlan, max_calls: u64) {
        let index = self.clients.programs.len();
        let start = plan.start;
        let started = self.now + start;
        self.clients.programs.push(ProgramRun {
            budget: plan.budget,
            max_calls,
            habit: plan.behavior,
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
        self.ask_after(after, AskOwner::Create(index), request, gateway);
    }

    /// Asks the store through a gateway, and goes on asking until it answers.
    pub(super) fn ask_after(
        &mut self,
        after: Duration,
        owner: AskOwner,
        request: StoreRequest,
        gateway: usize,
    ) {
        self.clients.next_ask += 1;
        let ask = self.clients.next_ask;
        self.clients.asks.insert(ask, Ask { owner, request, gateway });
        self.plan_in(after, Happening::ClientWake(Wake::Ask(ask)));
    }

    fn send_ask(&mut self, id: u64) {
        let Some(ask) = self.clients.asks.get(&id).cloned() else {
            return;
        };
        let gateway = ask.gateway % self.gateways.len();
        let ticket = self.clients.ticket(gateway, Open::Ask(id));
        self.send_client(gateway, ticket, ClientRequest::Ask(Box::new(ask.request)));
    }

    pub(super) fn client_wake(&mut self, wake: Wake) {
        match wake {
            Wake::Step(index) => self.next_step(index),
            Wake::Try(index) => self.try_call(index),
            Wake::Ask(id) => self.send_ask(id),
            Wake::Operator(task) => self.operator_wake(task),
        }
    }

    pub(super) fn client_news(&mut self, ticket: Ticket, news: ClientNews) {
        let Some((gateway, open)) = self.clients.open.remove(&ticket) else {
            return;
        };
        match open {
            Open::Ask(id) => self.ask_news(id, news),
            Open::Try(open) => self.try_news(ticket, gateway, open, news),
            Open::Probe(task) => self.probe_news(ticket, gateway, task, &news),
        }
    }

    fn probe_news(&mut self, ticket: Ticket, gateway: usize, task: usize, news: &ClientNews) {
        match news {
            ClientNews::Event(event @ (CallerEvent::Finished(_) | CallerEvent::Failed(_))) => {
                self.probe_answered(task, Some(event));
            }
            ClientNews::Event(_) => {
                self.clients.open.insert(ticket, (gateway, Open::Probe(task)));
            }
            _ => self.probe_answered(task, None),
        }
    }

    /// A client waited for long enough, and hangs up.
    pub(super) fn client_timeout(&mut self, ticket: Ticket) {
        let Some((gateway, _)) = self.clients.open.get(&ticket) else {
            return;
        };
        let gateway = *gateway;
        self.send_client(gateway, ticket, ClientRequest::Gone);
        self.client_news(ticket, ClientNews::TimedOut);
    }

    fn ask_news(&mut self, id: u64, news: ClientNews) {
        if let ClientNews::Event(CallerEvent::StoreReply(Some(reply))) = news {
            if let Some(ask) = self.clients.asks.remove(&id) {
                self.ask_answered(ask, *reply);
            }
            return;
        }
        if let Some(ask) = self.clients.asks.get_mut(&id) {
            ask.gateway += 1;
            self.plan_in(RETRY_PAUSE, Happening::ClientWake(Wake::Ask(id)));
        }
    }

    fn ask_answered(&mut self, ask: Ask, reply: StoreReply) {
        let output = match &reply {
            StoreReply::Output(Output::Program(output)) => Some(output.clone()),
            _ => None,
        };
        match ask.owner {
            AskOwner::Create(index) => match output {
                Some(ProgramOutput::Created(_)) => self.next_step(index),
                _ => self.program_over(index, false),
            },
            AskOwner::Agent(parent, number) => {
                if let Some(ProgramOutput::Created(id)) = output {
                    self.start_agent(parent, number, &id);
                } else {
                    self.agent_done(parent, number, None);
                }
            }
            AskOwner::End(index) => {
                let refusal = output.as_ref();
                let is_busy =
                    matches!(refusal, Some(ProgramOutput::Refused(ProgramError::Busy(_))));
                let is_ended = matches!(output, Some(ProgramOutput::Done));
                if is_ended {
                    self.clients.programs[index].ended = Some(self.now);
                }
                if is_busy && self.clients.programs[index].went_well {
                    // A try that its caller gave up on has not finished yet.
                    return self.ask_after(
                        RETRY_PAUSE,
                        AskOwner::End(index),
                        ask.request,
                        ask.gateway,
                    );
                }
                let went_well = self.clients.programs[index].went_well && is_ended;
                self.program_over(index, went_well);
            }
            AskOwner::Cancel(index) => {
                self.clients.programs[index].ended = Some(self.now);
            }
            AskOwner::Operator(task) => self.operator_answered(task, reply),
        }
    }

    fn next_step(&mut self, index: usize) {
        let program = &mut self.clients.programs[index];
        if program.is_over {
            return;
        }
        let Some(step) = program.steps.get(program.position).cloned() else {
            return self.end_program(index);
        };
        program.tries = 0;
        program.round = 0;
        match step {
            Step::Pause(pause) => {
                program.position += 1;
                self.plan_in(pause, Happening::ClientWake(Wake::Step(index)));
            }
            Step::ModelCall(_) | Step::ServiceCall { .. } => {
                if program.habit == ClientBehavior::SendsOutOfOrder && program.position == 0 {
                    self.send_too_early(index);
                }
                self.try_call(index);
            }
            Step::SubAgents(agents) => {
                program.agents_left = agents.len();
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
            request: RequestId::new(format!("agent-{}-{}-{number}", program.id, program.position)),
            tenant: TenantId::new(&program.tenant),
            budget_tokens: 0,
            max_calls: AGENT_CALLS,
            lifetime_millis: None,
        };
        let request = program_command(&parent, ProgramCommand::Create(new));
        let gateway = program.gateway;
        self.ask_after(Duration::ZERO, AskOwner::Agent(index, number), request, gateway);
    }

    fn start_agent(&mut self, parent: usize, number: usize, id: &ProgramId) {
        let owner = &self.clients.programs[parent];
        let Some(Step::SubAgents(agents)) = owner.steps.get(owner.position) else {
            return;
        };
        let steps = agents[number].clone();
        let (tenant, gateway) = (owner.tenant.clone(), owner.gateway + number);
        let agent = ProgramRun {
            root: owner.root.clone(),
            parent: Some(parent),
            number_in_parent: number,
            ..ProgramRun::new(id.to_string(), tenant, steps, gateway, self.now)
        };
        let index = self.clients.programs.len();
        self.clients.programs.push(agent);
        self.next_step(index);
    }

    fn agent_done(&mut self, parent: usize, number: usize, answer: Option<String>) {
        let program = &mut self.clients.programs[parent];
        program.agents_left -= 1;
        match answer {
            Some(answer) => {
                program.agent_answers.insert(number, answer);
            }
            None => program.went_well = false,
        }
        if program.agents_left > 0 {
            return;
        }
        program.position += 1;
        if program.went_well {
            self.next_step(parent);
        } else {
            self.end_program(parent);
        }
    }

    /// The request of the present step.
    fn asked(&self, index: usize) -> Option<(Asked, bool, bool)> {
        let program = &self.clients.programs[index];
        match program.steps.get(program.position)? {
            Step::ModelCall(messages) => {
                let results = program.agent_answers.values();
                let mut all: Vec<ChatMessage> =
                    results.map(|text| ChatMessage::new(Role::Tool, text)).collect();
                all.extend(messages.iter().cloned());
                let model = self.deployment.model().to_owned();
                Some((Asked::Model { model, messages: all }, true, false))
            }
            Step::ServiceCall { input, repeatable, send_duplicate } => {
                let service = self.deployment.service().to_owned();
                Some((
                    Asked::Service { service, input: input.clone() },
                    *repeatable,
                    *send_duplicate,
                ))
            }
            _ => None,
        }
    }

    fn try_call(&mut self, index: usize) {
        let Some((asked, repeatable, twice)) = self.asked(index) else {
            return;
        };
        let now = self.now;
        let program = &mut self.clients.programs[index];
        if program.is_over || program.ended.is_some() {
            return self.end_program(index);
        }
        program.tries += 1;
        if program.tries > MAX_TRIES {
            program.went_well = false;
            return self.end_program(index);
        }
        let wants_hang_up =
            program.habit == ClientBehavior::Disconnects && program.position.is_multiple_of(2);
        let hang_up = wants_hang_up && !program.hung_up && matches!(asked, Asked::Model { .. });
        let open = OpenTry {
            program: index,
            sequence: program.sequence,
            key: format!("k{}-{}", program.sequence, program.round),
            asked,
            repeatable,
            gateway: program.gateway,
            sent: now,
            text: String::new(),
            pieces: 0,
            hang_up,
            is_main: true,
        };
        if twice && program.tries == 1 {
            let twin = OpenTry { gateway: open.gateway + 1, is_main: false, ..open.clone() };
            self.send_try(twin);
        }
        self.send_try(open);
    }

    /// Sends the program's second call before the first one has ended.
    fn send_too_early(&mut self, index: usize) {
        let program = &self.clients.programs[index];
        let later = program.steps.iter().skip(program.position + 1);
        let mut later = later.skip_while(|step| matches!(step, Step::Pause(_)));
        let Some(Step::ModelCall(messages)) = later.next() else {
            return;
        };
        let model = self.deployment.model().to_owned();
        let sequence = program.sequence + 1;
        let early = OpenTry {
            program: index,
            sequence,
            key: format!("k{sequence}-0"),
            asked: Asked::Model { model, messages: messages.clone() },
            repeatable: true,
            gateway: program.gateway,
            sent: self.now,
            text: String::new(),
            pieces: 0,
            hang_up: false,
            is_main: false,
        };
        self.send_try(early);
    }

    fn send_try(&mut self, mut open: OpenTry) {
        let gateway = open.gateway % self.gateways.len();
        open.gateway = gateway;
        let program = &self.clients.programs[open.program];
        let payload = match &open.asked {
            Asked::Model { model, messages } => CallPayload::Model {
                model: ModelId::new(model),
                messages: messages.clone(),
                max_tokens: None,
            },
            Asked::Service { service, input } => {
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
        let ticket = self.clients.ticket(gateway, Open::Try(Box::new(open)));
        self.send_client(gateway, ticket, ClientRequest::Call(Box::new(request)));
    }

    fn try_news(
        &mut self,
        ticket: Ticket,
        gateway: usize,
        mut open: Box<OpenTry>,
        news: ClientNews,
    ) {
        match news {
            ClientNews::Event(CallerEvent::Text(text)) => {
                open.text.push_str(&text);
                open.pieces += 1;
                if open.hang_up && open.pieces >= PIECES_BEFORE_HANG_UP {
                    return self.hang_up(ticket, gateway, *open);
                }
                self.clients.open.insert(ticket, (gateway, Open::Try(open)));
            }
            ClientNews::Event(CallerEvent::Finished(finish)) => {
                let Completion { finish_reason, usage, .. } = finish;
                let text = std::mem::take(&mut open.text);
                self.try_ended(*open, TryEnd::Answered { text, finish_reason, usage });
            }
            ClientNews::Event(CallerEvent::Failed(failure)) => {
                let error = ApiError::from_failure(&failure).body().error;
                let code = error.code.unwrap_or_default();
                self.try_ended(*open, TryEnd::Refused { outcome: failure.outcome, code });
            }
            ClientNews::Event(_) => {
                self.clients.open.insert(ticket, (gateway, Open::Try(open)));
            }
            ClientNews::Cut => self.try_ended(*open, TryEnd::Cut),
            ClientNews::TimedOut => self.try_ended(*open, TryEnd::HungUp),
            ClientNews::NotConnected => self.try_ended(*open, TryEnd::NotConnected),
        }
    }

    /// Hangs up, and asks another gateway for the rest.
    fn hang_up(&mut self, ticket: Ticket, gateway: usize, mut open: OpenTry) {
        self.send_client(gateway, ticket, ClientRequest::Gone);
        open.hang_up = false;
        open.gateway = (gateway + 1) % self.gateways.len();
        let program = &mut self.clients.programs[open.program];
        program.hung_up = true;
        let request = ClientRequest::Attach {
            tenant: TenantId::new(&program.tenant),
            call: CallId { program: ProgramId::new(&program.id), sequence: open.sequence },
            offset: open.text.len(),
        };
        let next = open.gateway;
        let ticket = self.clients.ticket(next, Open::Try(Box::new(open)));
        self.send_client(next, ticket, request);
    }

    fn try_ended(&mut self, open: OpenTry, end: TryEnd) {
        let program = &self.clients.programs[open.program];
        self.history.tries.push(CallTry {
            program: program.id.clone(),
            sequence: open.sequence,
            key: open.key,
            asked: open.asked,
            repeatable: open.repeatable,
            gateway: open.gateway,
            sent: open.sent,
            ended: self.now,
            end: end.clone(),
        });
        if open.is_main {
            self.main_try_ended(open.program, end);
        }
    }

    fn main_try_ended(&mut self, index: usize, end: TryEnd) {
        let program = &mut self.clients.programs[index];
        match end {
            TryEnd::Answered { text, .. } => {
                program.sequence += 1;
                program.position += 1;
                program.last_answer = text;
                program.hung_up = false;
                program.agent_answers.clear();
                return self.next_step(index);
            }
            TryEnd::Refused { outcome, code } => {
                if is_final(&code) {
                    program.went_well = false;
                    return self.end_program(index);
                }
                // A refused key stays refused; the call itself may run.
                if outcome == Outcome::NotRun {
                    program.round += 1;
                }
            }
            TryEnd::Cut | TryEnd::NotConnected | TryEnd::HungUp => {}
        }
        program.gateway += 1;
        self.plan_in(RETRY_PAUSE, Happening::ClientWake(Wake::Try(index)));
    }

    fn end_program(&mut self, index: usize) {
        let program = &self.clients.programs[index];
        if program.is_over {
            return;
        }
        if program.ended.is_some() {
            return self.program_over(index, false);
        }
        let id = ProgramId::new(&program.id);
        let tenant = TenantId::new(&program.tenant);
        let gateway = program.gateway;
        let request = program_command(&id, ProgramCommand::End { program: id.clone(), tenant });
        self.ask_after(Duration::ZERO, AskOwner::End(index), request, gateway);
    }

    fn program_over(&mut self, index: usize, went_well: bool) {
        let program = &mut self.clients.programs[index];
        if program.is_over {
            return;
        }
        program.is_over = true;
        self.history.programs.push(ProgramTrace {
            id: program.id.clone(),
            root: program.root.clone(),
            budget: program.budget,
            started: program.started,
            ended: program.ended,
            completed: went_well,
        });
        let (parent, number) = (program.parent, program.number_in_parent);
        let answer = went_well.then(|| program.last_answer.clone());
        if let Some(parent) = parent {
            self.agent_done(parent, number, answer);
        }
    }

    /// A caller cancels a program that is under way.
    pub(super) fn cancel_some_program(&mut self) {
        let under_way = self.clients.programs.iter().position(|program| {
            !program.is_over && program.parent.is_none() && program.sequence > 1
        });
        let Some(index) = under_way else {
            return;
        };
        let program = &self.clients.programs[index];
        let id = ProgramId::new(&program.id);
        let tenant = TenantId::new(&program.tenant);
        let gateway = program.gateway;
        let request = program_command(&id, ProgramCommand::Cancel { program: id.clone(), tenant });
        self.ask_after(Duration::ZERO, AskOwner::Cancel(index), request, gateway);
    }
}

fn is_final(code: &str) -> bool {
    !is_retryable(code) || matches!(code, "unknown_program" | "key_mismatch")
}
