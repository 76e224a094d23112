//! Turns and permits: whether, when and where a request runs.

use std::sync::Arc;
use std::time::Duration;

use calicohoist_limiter::{Issued, PermitAnswer, PermitRequest, Purpose};
use calicohoist_scheduler::PlacementRequest;
use tokio::runtime::Handle;

use super::{Back, Hub};
use crate::commands::{Command, Output, Reservation, ReserveTurn, SettleTurn};
use crate::protocol::LedgerResponse;
use crate::server::list::{FleetSnapshot, Reading};
use crate::server::replica::{Request, Response};

/// Time between two looks at waiting turns.
const TEND_INTERVAL: Duration = Duration::from_millis(20);

impl Hub {
    /// Reserves, and decides whether, when and where the turn runs once that is granted.
    pub(super) fn reserve(
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
            let LedgerResponse::Reserved { reservation, is_under_way, permit: permitted, .. } =
                &mut answer
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
            let hold = match issued {
                None => Duration::ZERO,
                Some(Issued::Answer(known)) => {
                    *permitted = Some(known);
                    if let PermitAnswer::OverLimit(_) = known {
                        return back.send(answer);
                    }
                    Duration::ZERO
                }
                Some(Issued::Later(grant, hold)) => {
                    *permitted = Some(PermitAnswer::Granted(grant));
                    hold
                }
                Some(Issued::NotNow) => return back.send(LedgerResponse::Unavailable),
            };
            let runtime = hub.runtime.clone();
            act_after(&runtime, hold, move || back.send(hub.placed(answer, &turn, placement)));
        });
        self.replica.ask(Request::Reserve(reserve), respond);
    }

    /// The answer to a reservation that was granted, with the place of its turn.
    fn placed(
        &self,
        mut answer: LedgerResponse,
        turn: &str,
        placement: Option<PlacementRequest>,
    ) -> LedgerResponse {
        if let LedgerResponse::Reserved { decision, is_under_way, .. } = &mut answer
            && let Some(placement) = placement
        {
            let placement = PlacementRequest { is_under_way: *is_under_way, ..placement };
            *decision = Some(self.turns.arrive(self.term(), turn, placement, &self.fleet()));
        }
        answer
    }

    /// The answer to a turn whose tenant has nothing left, without a reservation.
    fn refuse_early(&self, permit: &PermitRequest) -> Option<LedgerResponse> {
        let standing = self.standing.borrow();
        let term = standing.is_leader.then_some(standing.term)?;
        self.limits.refuse_early(term, permit).map(LedgerResponse::Permit)
    }

    /// Issues a permit once a quorum is known to stand behind this machine: one that was
    /// deposed must not issue what its successor issues again.
    pub(super) fn permit(&self, permit: PermitRequest, back: Back) {
        let hub = self.clone();
        let respond = Box::new(move |response| {
            let Response::Leads(term) = response else {
                return back.send(hub.answer(response));
            };
            let (known, hold) = match hub.limits.issue(term, &permit, Purpose::Single) {
                Issued::Answer(known) => (known, Duration::ZERO),
                Issued::Later(grant, hold) => (PermitAnswer::Granted(grant), hold),
                Issued::NotNow => return back.send(LedgerResponse::Unavailable),
            };
            act_after(&hub.runtime, hold, move || back.send(LedgerResponse::Permit(known)));
        });
        self.replica.ask(Request::ConfirmLeadership, respond);
    }

    /// Answers once it is decided where a turn runs.
    pub(super) fn place(&self, turn: String, placement: PlacementRequest, back: Back) {
        let standing = self.standing.borrow().clone();
        if !standing.is_leader {
            return back.send(self.not_leader(standing.leader));
        }
        self.turns.place(standing.term, turn, placement, &self.fleet(), back);
    }

    fn term(&self) -> u64 {
        self.standing.borrow().term
    }

    /// The newest reading of the list of replicas.
    pub(super) fn reading(&self) -> Reading {
        self.list.borrow().clone()
    }

    /// The newest reading with what else decides where requests go.
    pub(super) fn fleet(&self) -> FleetSnapshot {
        FleetSnapshot {
            reading: self.reading(),
            drained: Arc::clone(&self.standing.borrow().drained),
            topology: Arc::clone(&self.place.topology),
        }
    }

    /// Settles. The turn has ended, whether or not that becomes durable here.
    pub(super) fn settle(&self, settle: SettleTurn, back: Back) {
        self.turns.end(&settle, &self.fleet());
        let hub = self.clone();
        let respond = Box::new(move |response| back.send(hub.answer(response)));
        self.replica.ask(Request::Change(Command::Settle(settle)), respond);
    }

    fn answer(&self, response: Response) -> LedgerResponse {
        match response {
            Response::Reserved { reservation, history, is_under_way } => {
                let (decision, permit) = (None, None);
                LedgerResponse::Reserved { reservation, history, decision, is_under_way, permit }
            }
            Response::Changed(Output::Done) => LedgerResponse::Settled,
            Response::NotLeader(leader) => self.not_leader(leader),
            _ => LedgerResponse::Unavailable,
        }
    }

    /// Looks after waiting turns for as long as the process runs.
    pub async fn tend_turns(self) {
        loop {
            self.turns.wait_for_work().await;
            let standing = self.standing.borrow().clone();
            if standing.is_leader {
                self.turns.decide(&self.fleet());
            } else {
                self.turns.dismiss(&self.not_leader(standing.leader));
            }
            tokio::time::sleep(TEND_INTERVAL).await;
        }
    }
}

/// Acts now, or once a request has been held for as long as it must.
fn act_after(runtime: &Handle, hold: Duration, act: impl FnOnce() + Send + 'static) {
    if hold.is_zero() {
        return act();
    }
    runtime.spawn(async move {
        tokio::time::sleep(hold).await;
        act();
    });
}
