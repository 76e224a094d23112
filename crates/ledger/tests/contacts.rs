//! Which gateways the leader hears from.

use std::time::{Duration, Instant};

use calicohoist_ledger::server::contacts::{
    ABSENCE_LIMIT, CATCH_UP_TIME, CONTACT_SILENCE, GatewayContacts,
};

const MOMENT: Duration = Duration::from_millis(1);

#[test]
fn nothing_is_pending_while_all_gateways_watch() {
    let (contacts, start) = (GatewayContacts::default(), Instant::now());
    assert!(!contacts.may_have_pending_writes(start));
    for number in 0..20 {
        let now = start + number * (CONTACT_SILENCE - MOMENT);
        contacts.record("front-1", now);
        contacts.record("front-2", now);
        assert!(!contacts.may_have_pending_writes(now + CONTACT_SILENCE - MOMENT));
    }
}

#[test]
fn writes_of_a_silent_gateway_are_pending_until_it_has_caught_up() {
    let (contacts, start) = (GatewayContacts::default(), Instant::now());
    contacts.record("front-1", start);
    contacts.record("front-2", start);
    let back = start + 3 * CONTACT_SILENCE;
    for now in [start + CONTACT_SILENCE, back] {
        contacts.record("front-1", now - MOMENT);
        assert!(contacts.may_have_pending_writes(now));
    }
    let mut now = back;
    contacts.record("front-2", now);
    while now < back + CATCH_UP_TIME {
        assert!(contacts.may_have_pending_writes(now));
        now += CONTACT_SILENCE / 2;
        contacts.record("front-1", now);
        contacts.record("front-2", now);
    }
    assert!(!contacts.may_have_pending_writes(now));
}

#[test]
fn gateway_that_has_ended_is_not_waited_for() {
    let (contacts, start) = (GatewayContacts::default(), Instant::now());
    contacts.record("front-1", start);
    assert!(contacts.may_have_pending_writes(start + ABSENCE_LIMIT - MOMENT));
    assert!(!contacts.may_have_pending_writes(start + ABSENCE_LIMIT));
    // One that starts anew has nothing to catch up on.
    contacts.record("front-1", start + ABSENCE_LIMIT);
    assert!(!contacts.may_have_pending_writes(start + ABSENCE_LIMIT));
}
