//! The judgement of requests whose responses never end, fed with hand-made records.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use crate::arrivals::{Arrival, Outcome};
use crate::attempts::{Attempt, Cut, Ending};
use crate::endless::{CALL_CALLER, STREAM_CALLER, is_cut_stream};
use crate::timeline::Timeline;
use crate::unanswered::{Verdict, judge};

fn attempt(caller: &str, ending: Ending) -> Attempt {
    let started = Instant::now();
    let ended = started + Duration::from_secs(1);
    Attempt {
        id: format!("{caller}-1"),
        node: IpAddr::V4(Ipv4Addr::new(127, 0, 0, 21)),
        time_limit: Duration::from_secs(4),
        started,
        sent: Some(started),
        first_received: None,
        last_received: None,
        ended,
        ending,
        position: 1,
        is_behind_close: false,
    }
}

fn arrival(attempt: &Attempt) -> Arrival {
    Arrival {
        replica: "m-1".to_owned(),
        at: attempt.started,
        outcome: Outcome::Endless,
        finished: Some(attempt.ended),
    }
}

#[test]
fn only_a_stream_that_a_replica_began_may_be_cut() {
    let cut = Ending::Incomplete(200, Cut::Closed);
    let is_cut_stream = |caller, ending| {
        let attempt = attempt(caller, ending);
        is_cut_stream(&attempt, &[arrival(&attempt)])
    };
    assert!(is_cut_stream(STREAM_CALLER, cut));
    assert!(!is_cut_stream(CALL_CALLER, cut));
    assert!(!is_cut_stream(STREAM_CALLER, Ending::Incomplete(502, Cut::Closed)));
    assert!(!is_cut_stream(STREAM_CALLER, Ending::Unanswered(Cut::Closed)));
    assert!(!crate::endless::is_cut_stream(&attempt(STREAM_CALLER, cut), &[]));
}

#[test]
fn unanswered_request_is_lost_although_its_response_never_ends() {
    let attempt = attempt(STREAM_CALLER, Ending::Unanswered(Cut::Closed));
    let verdict = judge(&attempt, &[arrival(&attempt)], &Timeline::default());
    assert!(matches!(verdict, Verdict::Lost(_)), "{verdict:?}");
}
