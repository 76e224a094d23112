//! Replicas of a shape's services, and what they check of the requests that reach them.

use std::sync::Arc;
use std::thread;
use std::time::Duration;

use crate::arrivals::{ArrivalLog, Outcome};
use crate::records::{EVENTS_PER_TURN, Records, output_of};
use crate::support::ScriptedReplica;
use crate::support::replica::Exchange;

const EVENT_PAUSE: Duration = Duration::from_millis(8);
const SLOW_EVENT_PAUSE: Duration = Duration::from_millis(300);

/// What a replica does with a request, derived from its id.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Behaviour {
    Serve,
    ServeSlowly,
    Reject,
    BreakOff,
}

fn behaviour(id: &str) -> Behaviour {
    let sum = id.bytes().fold(7u32, |sum, byte| sum.wrapping_mul(31).wrapping_add(byte.into()));
    match sum % 100 {
        0 | 1 => Behaviour::Reject,
        2 => Behaviour::BreakOff,
        3..=7 => Behaviour::ServeSlowly,
        _ => Behaviour::Serve,
    }
}

/// Starts a replica of a model.
pub fn start_model(name: &str, arrivals: &ArrivalLog, records: &Arc<Records>) -> ScriptedReplica {
    let records = Arc::clone(records);
    arrivals.start_replica(name, move |exchange| {
        records.check_input(exchange.request);
        serve_stream(exchange)
    })
}

/// Starts a replica of a tool.
pub fn start_tool(name: &str, arrivals: &ArrivalLog, records: &Arc<Records>) -> ScriptedReplica {
    let records = Arc::clone(records);
    arrivals.start_replica(name, move |exchange| {
        records.check_input(exchange.request);
        serve_call(exchange)
    })
}

fn reject(exchange: &mut Exchange<'_>) -> Outcome {
    exchange.respond("503 Full", "Calicohoist-Not-Executed: full\r\n", "");
    Outcome::Rejected
}

fn serve_stream(exchange: &mut Exchange<'_>) -> Outcome {
    let id = exchange.request.id().to_owned();
    let behaviour = behaviour(&id);
    if behaviour == Behaviour::Reject {
        return reject(exchange);
    }
    let last = exchange.request.header("last-event-id").and_then(|last| last.parse().ok());
    let is_resumable = exchange.request.line.contains("/resumable/");
    let pause = match behaviour {
        Behaviour::ServeSlowly => SLOW_EVENT_PAUSE,
        _ => EVENT_PAUSE,
    };
    exchange.start_stream();
    for number in last.unwrap_or(0) + 1..=EVENTS_PER_TURN {
        if behaviour == Behaviour::BreakOff && last.is_none() && number == EVENTS_PER_TURN / 2 {
            exchange.abort_connection();
            return Outcome::BrokenOff;
        }
        thread::sleep(pause);
        let data = if is_resumable { format!("piece/{number}") } else { output_of(&id, number) };
        exchange.send_event(number, &data);
    }
    exchange.end_stream();
    Outcome::Whole
}

fn serve_call(exchange: &mut Exchange<'_>) -> Outcome {
    let id = exchange.request.id().to_owned();
    match behaviour(&id) {
        Behaviour::Reject => return reject(exchange),
        Behaviour::BreakOff => {
            exchange.abort_connection();
            return Outcome::BrokenOff;
        }
        Behaviour::ServeSlowly => thread::sleep(SLOW_EVENT_PAUSE),
        Behaviour::Serve => thread::sleep(EVENT_PAUSE),
    }
    exchange.respond("200 OK", "", &id);
    Outcome::Whole
}
