//! Questions of gateways.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_limiter::{Issued, PermitAnswer, PermitRequest, Purpose};
use calicohoist_scheduler::PlacementRequest;
use calicohoist_telemetry::{Event, emit};
use calicohoist_transport::{FrameReader, encode_frame, spawn_writer, tcp};
use parking_lot::Mutex;
use tokio::net::{TcpListener, TcpStream};
use tokio::runtime::Handle;
use tokio::sync::{mpsc, watch};

use super::failures::FailureDesk;
use super::limits::LimitDesk;
use super::list::Reading;
use super::loads::LoadBoard;
use super::replica::{ReplicaHandle, Request, Response, Standing};
use super::turns::TurnDesk;
use crate::commands::{Command, Output, Reservation, ReserveTurn, SettleTurn};
use crate::protocol::{Answer, Ask, ListMark, News, Question, Reply, Seen};

/// Longest time that a watch is held when nothing is newer.
const WATCH_HOLD: Duration = Duration::from_millis(500);
/// How long a gateway that looks for a leader is kept waiting while nobody leads: what it
/// would do meanwhile is ask again.
const FIND_HOLD: Duration = Duration::from_millis(150);
/// Time between two looks at waiting turns.
const TEND_INTERVAL: Duration = Duration::from_millis(20);
const USER_TIMEOUT: Duration = Duration::from_millis(2_000);

/// What all connections of gateways share.
#[derive(Clone)]
pub struct Hub {
    replica: ReplicaHandle,
    standing: watch::Receiver<Standing>,
    list: watch::Receiver<Reading>,
    loads: Arc<Mutex<LoadBoard>>,
    /// Turns of programs; of use on the leader only, which alone grants reservations.
    turns: Arc<TurnDesk>,
    /// Limits of tenants; of use on the leader only.
    limits: Arc<LimitDesk>,
    /// Replicas that fail; of use on the leader only.
    failures: Arc<FailureDesk>,
    /// Runs what the replica's thread must not wait for.
    runtime: Handle,
}

impl Hub {
    /// Answers from `replica` and the readings of the list; made within a runtime.
    pub fn new(
        replica: ReplicaHandle,
        standing: watch::Receiver<Standing>,
        list: watch::Receiver<Reading>,
        turns: Arc<TurnDesk>,
        limits: Arc<LimitDesk>,
    ) -> Self {
        let runtime = Handle::current();
        let (loads, failures) = (Arc::default(), Arc::default());
        Self { replica, standing, list, loads, turns, limits, failures, runtime }
    }

    fn not_leader(&self, leader: Option<u32>) -> Answer {
        Answer::NotLeader { leader, machines: self.standing.borrow().machines.clone() }
    }

    /// Who leads, as soon as somebody does.
    async fn find_leader(&self) -> Answer {
        let mut standing = self.standing.clone();
        let known = standing.wait_for(|standing| standing.leader.is_some());
        let _ = tokio::time::timeout(FIND_HOLD, known).await;
        let standing = self.standing.borrow().clone();
        if standing.is_leader {
            return Answer::Leads { machines: standing.machines };
        }
        Answer::NotLeader { leader: standing.leader, machines: standing.machines }
    }

    /// Answers once something is newer than what was seen, or after a while.
    async fn watch(&self, seen: Seen) -> Answer {
        self.note_load(&seen);
        let mut standing = self.standing.clone();
        let mut list = self.list.clone();
        let mut failing = self.failures.subscribe();
        let news = async {
            loop {
                let is_stale = {
                    let standing = standing.borrow_and_update();
                    let list = list.borrow_and_update();
                    let failing = failing.borrow_and_update();
                    !standing.is_leader
                        || (failing.term == standing.term && *failing != seen.failing)
                        || standing.configuration > seen.configuration
                        || (list.term == standing.term && list.mark != seen.list)
                };
                if is_stale {
                    return;
                }
                tokio::select! {
                    changed = standing.changed() => if changed.is_err() { return },
                    changed = list.changed() => if changed.is_err() { return },
                    changed = failing.changed() => if changed.is_err() { return },
                }
            }
        };
        let _ = tokio::time::timeout(WATCH_HOLD, news).await;
        self.confirmed_news(&seen).await
    }

    /// What is newer, with a quorum behind it.
    async fn confirmed_news(&self, seen: &Seen) -> Answer {
        let read = Request::ReadConfiguration { newer_than: seen.configuration };
        let held = match self.replica.call(read).await {
            Response::Configuration(held) => held,
            Response::NotLeader(leader) => return self.not_leader(leader),
            _ => return Answer::Unavailable,
        };
        let reading = self.list.borrow().clone();
        let standing = self.standing.borrow().clone();
        let is_current = reading.term == standing.term;
        let is_newer =
            is_current && reading.mark != seen.list && reading.mark != ListMark::default();
        let age = reading.read_at.filter(|_| is_current).map(|at| at.elapsed().as_millis());
        Answer::News(News {
            configuration: held.map(|held| (held.version, held.document)),
            list: is_newer.then(|| (reading.mark, reading.list.as_ref().clone())),
            list_age_ms: age.and_then(|age| u64::try_from(age).ok()),
            loads: self.loads.lock().of_others(&seen.gateway, &reading, Instant::now()),
            loads_of: reading.mark,
            machines: standing.machines,
            failing: self
                .failures
                .news(seen.failing)
                .filter(|(mark, _)| mark.term == standing.term),
        })
    }

    /// Counts a failure; everybody is told when it was one too many.
    fn note_failure(&self, replica: &str, back: Back) {
        let standing = self.standing.borrow().clone();
        if !standing.is_leader {
            return back.send(self.not_leader(standing.leader));
        }
        let replicas = &self.reading().list.replicas;
        if let Some(rest) = self.failures.note(standing.term, replica, replicas) {
            emit!(Event::ReplicaLeftAlone; replica = replica, for_ms = rest.as_millis());
            self.turns.note_failing(replica, Instant::now() + rest);
        }
        back.send(Answer::Noted);
    }

    fn note_load(&self, seen: &Seen) {
        self.loads.lock().note(&seen.gateway, &seen.loads, Instant::now());
        let standing = self.standing.borrow();
        if standing.is_leader {
            self.turns.note_report(standing.term, &seen.gateway, &seen.loads);
        }
    }
}

/// Takes connections of gateways.
pub async fn accept(listener: TcpListener, hub: Hub) {
    loop {
        if let Ok((stream, _)) = listener.accept().await
            && tcp::prepare(&stream, USER_TIMEOUT).is_ok()
        {
            tokio::spawn(serve(stream, hub.clone()));
        }
    }
}

async fn serve(stream: TcpStream, hub: Hub) {
    let (input, output) = stream.into_split();
    let replies = spawn_writer(output);
    let mut frames = FrameReader::new(input);
    while let Ok(Ask { number, question }) = frames.next().await {
        let back = Back { number, replies: replies.clone() };
        match question {
            Question::Reserve { reserve, placement, permit } => {
                hub.reserve(reserve, placement, permit, back);
            }
            Question::Permit(permit) => hub.permit(permit, back),
            Question::Place { turn, placement } => hub.place(turn, placement, back),
            Question::Settle(settle) => hub.settle(settle, back),
            Question::ReportFailure { replica } => hub.note_failure(&replica, back),
            Question::FindLeader => {
                let hub = hub.clone();
                tokio::spawn(async move { back.send(hub.find_leader().await) });
            }
            Question::Watch(seen) => {
                let hub = hub.clone();
                tokio::spawn(async move { back.send(hub.watch(seen).await) });
            }
        }
    }
}

impl Hub {
    /// Reserves, and decides whether, when and where the turn runs once that is granted.
    fn reserve(
        &self,
        reserve: ReserveTurn,
        placement: Option<PlacementRequest>,
        permit: Option<PermitRequest>,
        back: Back,
    ) {
        if let Some(refusal) = permit.as_ref().and_then(|permit| self.refuse_early(permit)) {
            return back.send(refusal);
        }
        let hub = self.clone();
        let turn = reserve.turn.clone();
        let program = reserve.program.clone();
        let respond = Box::new(move |response| {
            let mut answer = hub.answer(response);
            let Answer::Reserved { reservation, is_under_way, permit: permitted, .. } = &mut answer
            else {
                return back.send(answer);
            };
            if *reservation != Reservation::Granted {
                return back.send(answer);
            }
            let purpose = match &program {
                Some(program) if *is_under_way => Purpose::GoOn(program),
                Some(program) => Purpose::Begin(program),
                None => Purpose::Single,
            };
            let issued = permit.map(|permit| hub.limits.issue(hub.term(), &permit, purpose));
            match issued {
                None => back.send(hub.placed(answer, &turn, placement)),
                Some(Issued::Answer(PermitAnswer::OverLimit(after))) => {
                    *permitted = Some(PermitAnswer::OverLimit(after));
                    back.send(answer);
                }
                Some(Issued::Answer(granted)) => {
                    *permitted = Some(granted);
                    back.send(hub.placed(answer, &turn, placement));
                }
                Some(Issued::Later(grant, hold)) => {
                    *permitted = Some(PermitAnswer::Granted(grant));
                    hub.runtime.clone().spawn(async move {
                        tokio::time::sleep(hold).await;
                        back.send(hub.placed(answer, &turn, placement));
                    });
                }
                Some(Issued::NotNow) => back.send(Answer::Unavailable),
            }
        });
        self.replica.ask(Request::Reserve(reserve), respond);
    }

    /// The answer to a reservation that was granted, with the place of its turn.
    fn placed(
        &self,
        mut answer: Answer,
        turn: &str,
        placement: Option<PlacementRequest>,
    ) -> Answer {
        if let Answer::Reserved { decision, is_under_way, .. } = &mut answer
            && let Some(placement) = placement
        {
            let placement = PlacementRequest { is_under_way: *is_under_way, ..placement };
            *decision = Some(self.turns.arrive(self.term(), turn, placement, &self.reading()));
        }
        answer
    }

    /// The answer to a turn whose tenant has nothing left, without a reservation.
    fn refuse_early(&self, permit: &PermitRequest) -> Option<Answer> {
        let standing = self.standing.borrow();
        let term = standing.is_leader.then_some(standing.term)?;
        self.limits.refuse_early(term, permit).map(Answer::Permit)
    }

    /// Issues a permit once a quorum is known to stand behind this machine: one that was
    /// deposed must not issue what its successor issues again.
    fn permit(&self, permit: PermitRequest, back: Back) {
        let hub = self.clone();
        let respond = Box::new(move |response| {
            let Response::Leads(term) = response else {
                return back.send(hub.answer(response));
            };
            match hub.limits.issue(term, &permit, Purpose::Single) {
                Issued::Answer(answer) => back.send(Answer::Permit(answer)),
                Issued::Later(grant, hold) => {
                    hub.runtime.spawn(async move {
                        tokio::time::sleep(hold).await;
                        back.send(Answer::Permit(PermitAnswer::Granted(grant)));
                    });
                }
                Issued::NotNow => back.send(Answer::Unavailable),
            }
        });
        self.replica.ask(Request::ConfirmLeadership, respond);
    }

    /// Answers once it is decided where a turn runs.
    fn place(&self, turn: String, placement: PlacementRequest, back: Back) {
        let standing = self.standing.borrow().clone();
        if !standing.is_leader {
            return back.send(self.not_leader(standing.leader));
        }
        self.turns.place(standing.term, turn, placement, &self.reading(), back);
    }

    fn term(&self) -> u64 {
        self.standing.borrow().term
    }

    /// The newest reading of the list of replicas.
    fn reading(&self) -> Reading {
        self.list.borrow().clone()
    }

    /// Settles. The turn has ended, whether or not that becomes durable here.
    fn settle(&self, settle: SettleTurn, back: Back) {
        self.turns.end(&settle, &self.reading());
        let hub = self.clone();
        let respond = Box::new(move |response| back.send(hub.answer(response)));
        self.replica.ask(Request::Change(Command::Settle(settle)), respond);
    }

    fn answer(&self, response: Response) -> Answer {
        match response {
            Response::Reserved { reservation, history, is_under_way } => {
                let (decision, permit) = (None, None);
                Answer::Reserved { reservation, history, decision, is_under_way, permit }
            }
            Response::Changed(Output::Done) => Answer::Settled,
            Response::NotLeader(leader) => self.not_leader(leader),
            _ => Answer::Unavailable,
        }
    }

    /// Looks after waiting turns for as long as the process runs.
    pub async fn tend_turns(self) {
        loop {
            self.turns.wait_for_work().await;
            let standing = self.standing.borrow().clone();
            if standing.is_leader {
                self.turns.decide(&self.reading());
            } else {
                self.turns.dismiss(&self.not_leader(standing.leader));
            }
            tokio::time::sleep(TEND_INTERVAL).await;
        }
    }
}

/// The way back to the asker.
pub(super) struct Back {
    number: u64,
    replies: mpsc::Sender<Vec<u8>>,
}

impl Back {
    /// A connection that does not take its answers loses them; its owner asks again.
    pub(super) fn send(self, answer: Answer) {
        let reply = Reply { number: self.number, answer };
        if let Ok(frame) = encode_frame(&reply) {
            let _ = self.replies.try_send(frame);
        }
    }
}
