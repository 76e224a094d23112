//! Limit on the open connections of a listener.

use std::net::{Ipv4Addr, SocketAddr};

use calicohoist_transport::ConnectionLimit;

const LIMIT: usize = 3;

#[test]
fn connections_beyond_the_limit_are_refused_until_another_one_is_closed() {
    let peer = SocketAddr::from((Ipv4Addr::LOCALHOST, 1));
    let limit = ConnectionLimit::new(LIMIT);
    let mut open: Vec<_> = (0..LIMIT).map(|_| limit.open(peer).expect("below the limit")).collect();
    assert!(limit.open(peer).is_none());
    drop(open.pop());
    assert!(limit.open(peer).is_some());
}
