//! Programs: chains of turns with branches, and calls of tools between them.

use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use rand::RngExt;

use crate::attempts::{RecordedConnection, Submission};
use crate::client::{Client, TurnEnd, World, route_kind};
use crate::fleet::Node;
use crate::records::{Account, CompleteTurn, EVENTS_PER_TURN, TURN_TOKENS};
use crate::shape::{Route, RouteKind};
use crate::support::{Response, request_head};

/// Most turns of a program, apart from its branches.
const MAX_TURNS: u64 = 9;
const BRANCH_PROBABILITY: f64 = 0.15;
const BRANCHES: usize = 2;
const TURNS_PER_BRANCH: u64 = 2;
/// Probability that a program has fewer tokens than its turns need.
const SMALL_BUDGET_PROBABILITY: f64 = 0.3;
const SMALL_BUDGET: u64 = 3 * TURN_TOKENS;
const LARGE_BUDGET: u64 = 40 * TURN_TOKENS;
/// Probability that a completed turn is continued late in its retention.
const KEEP_PROBABILITY: f64 = 0.4;
/// How long a turn is tried, by ordinary callers and by patient ones.
const PATIENCE: Duration = Duration::from_secs(2);
const LONG_PATIENCE: Duration = Duration::from_secs(20);
const PATIENT_PROBABILITY: f64 = 0.3;
/// Requests that resume a stream, at most.
const MAX_RESUMPTIONS: usize = 3;
const LEAVE_PROBABILITY: f64 = 0.3;

struct Program {
    account: Account,
    route: Route,
    patience: Duration,
}

/// Runs programs one after the other until the run is over.
pub fn run_programs(world: &Arc<World>, number: usize, mut client: Client) {
    for count in 0.. {
        if world.is_over() {
            return;
        }
        let routes = world.shape().retaining_routes();
        let route = routes[client.rng.random_range(0..routes.len())].clone();
        let is_small = client.rng.random_bool(SMALL_BUDGET_PROBABILITY);
        let is_patient = client.rng.random_bool(PATIENT_PROBABILITY);
        let program = Program {
            account: Account {
                program: format!("program{number}-{count}"),
                budget: if is_small { SMALL_BUDGET } else { LARGE_BUDGET },
            },
            route,
            patience: if is_patient { LONG_PATIENCE } else { PATIENCE },
        };
        let name = format!("turn{number}-{count}");
        let turns = client.rng.random_range(1..=MAX_TURNS);
        run_line(&mut client, &program, &name, None, turns);
    }
}

/// Runs turns after each other, the first of which continues `previous`.
fn run_line(
    client: &mut Client,
    program: &Program,
    name: &str,
    previous: Option<CompleteTurn>,
    turns: u64,
) {
    let is_branch = previous.is_some();
    let world = Arc::clone(&client.world);
    let mut previous = previous;
    for number in 0..turns {
        if world.is_over() {
            return;
        }
        let until = Instant::now() + program.patience;
        let name = format!("{name}-{number}");
        let route = &program.route;
        let turn = match client.turn(route, &program.account, &name, previous.as_ref(), until) {
            TurnEnd::Complete(turn) => turn,
            TurnEnd::Spent => {
                // Comes back while its last turn is kept.
                if let Some(turn) = previous {
                    world.kept_turns.keep(turn, Some(program.account.clone()), client);
                }
                return;
            }
            TurnEnd::Refused | TurnEnd::Unserved => return,
        };
        if client.rng.random_bool(KEEP_PROBABILITY) {
            world.kept_turns.keep(turn.clone(), None, client);
        }
        call_tools(client, &name);
        if !is_branch && client.rng.random_bool(BRANCH_PROBABILITY) {
            run_branches(client, program, &name, &turn);
        }
        think(client);
        previous = Some(turn);
    }
}

fn run_branches(client: &mut Client, program: &Program, name: &str, turn: &CompleteTurn) {
    let forks: Vec<Client> = (0..BRANCHES).map(|_| client.fork()).collect();
    thread::scope(|scope| {
        for (branch, mut fork) in forks.into_iter().enumerate() {
            let name = format!("{name}-b{branch}");
            scope.spawn(move || {
                run_line(&mut fork, program, &name, Some(turn.clone()), TURNS_PER_BRANCH);
            });
        }
    });
}

fn call_tools(client: &mut Client, name: &str) {
    let world = Arc::clone(&client.world);
    for (kind, letter) in [(RouteKind::Safe, "s"), (RouteKind::Unsafe, "u")] {
        let route = world.shape().route_of_kind(kind);
        client.call(route, &format!("call-{name}-{letter}"));
    }
}

fn think(client: &mut Client) {
    let most = client.world.shape().callers.think_ms;
    thread::sleep(Duration::from_millis(client.rng.random_range(0..=most)));
}

/// Requests streams that may be resumed, leaves some of them, and resumes those that end early.
pub fn resume_streams(world: &Arc<World>, number: usize, mut client: Client) {
    for count in 0.. {
        if world.is_over() {
            return;
        }
        let first = format!("stream{number}-{count}");
        let mut numbers: Vec<u64> = Vec::new();
        for attempt in 0..=MAX_RESUMPTIONS {
            let reply = request_stream(&mut client, &first, attempt, numbers.len());
            numbers.extend(piece_numbers(&reply));
            if reply.status == 200 && reply.is_complete || numbers.is_empty() {
                break;
            }
            client.reconnect();
        }
        let expected: Vec<u64> = (1..=EVENTS_PER_TURN).take(numbers.len()).collect();
        if numbers != expected {
            world.records.violate(format!("ORDER: {first} has the pieces {numbers:?}"));
        }
        think(&mut client);
    }
}

fn request_stream(client: &mut Client, first: &str, attempt: usize, received: usize) -> Response {
    const INPUT: &str = "hi";
    let world = Arc::clone(&client.world);
    let route = world.shape().resumable_route();
    let id = if attempt == 0 { first.to_owned() } else { format!("{first}-again-{attempt}") };
    let mut headers = vec![client.authorization()];
    if attempt > 0 {
        headers.push(format!("Last-Event-Id: {received}"));
        headers.push(format!("Resumes: {first}"));
    }
    let headers: Vec<&str> = headers.iter().map(String::as_str).collect();
    let path = format!("{}a", route.prefix());
    let head = request_head("POST", &path, &id, INPUT.len(), &headers);
    let gateway = client.gateway();
    world.records.send(&id, &format!("POST {path} HTTP/1.1"), INPUT, &gateway, false);
    let submission = Submission::new(&id, &format!("{head}{INPUT}"), route.timeout());
    let reply = match attempt == 0 && client.rng.random_bool(LEAVE_PROBABILITY) {
        true => leave_stream(client, &gateway, &submission),
        false => client.send(&gateway, &submission),
    };
    world.records.note_status(route_kind(route), &reply);
    world.records.check_answer(&id, &reply, None);
    reply
}

/// Reads a part of a stream, and leaves.
fn leave_stream(client: &mut Client, gateway: &Node, submission: &Submission) -> Response {
    let fleet = &client.world.fleet;
    let connection = RecordedConnection::open(fleet.http(gateway), submission, &fleet.attempts);
    let Some(mut connection) = connection else {
        client.reconnect();
        return Response::default();
    };
    let request = connection.send(std::slice::from_ref(submission)).pop();
    let count = client.rng.random_range(1..EVENTS_PER_TURN as usize);
    request.map(|request| connection.receive_events(request, count)).unwrap_or_default()
}

fn piece_numbers(reply: &Response) -> Vec<u64> {
    let text = reply.text();
    let pieces = text.lines().filter_map(|line| line.strip_prefix("data: piece/"));
    pieces.filter_map(|number| number.parse().ok()).collect()
}
