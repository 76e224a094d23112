//! The leader tells every gateway which replicas became cold, once for each change.

use std::sync::Arc;
use std::time::{Duration, Instant};

use calicohoist_ledger::protocol::FailingMark;
use calicohoist_ledger::server::list::Reading;
use calicohoist_routing::ColdReplicas;

#[test]
fn a_replica_that_became_cold_is_news_until_it_was_seen() {
    let now = Instant::now();
    let mut cold = ColdReplicas::none();
    cold.note("i-1", now + Duration::from_millis(3_000));
    cold.note("i-2", now);
    let mark = FailingMark { term: 4, change: 1 };
    let reading = Reading { cold: Arc::new(cold), cold_mark: mark, ..Reading::default() };
    let news = reading.cold_news(FailingMark::default(), now);
    assert_eq!(news, Some((mark, vec![("i-1".to_owned(), 3_000)])));
    let later = now + Duration::from_millis(1_000);
    assert_eq!(reading.cold_news(mark, later), None, "only the time left has changed");
    let again = reading.cold_news(FailingMark { term: 3, change: 9 }, later);
    assert_eq!(again, Some((mark, vec![("i-1".to_owned(), 2_000)])));
}
