//! Frames between ledger machines: what goes to another region is packed.

use calicohoist_ledger::server::peers::{Envelope, MIN_COMPRESSED_BYTES, PeerFrame};
use calicohoist_replication::{Entry, EntryKind, GroupId, GroupMessage, Message, ReplicaId};
use calicohoist_routing::Distance;
use calicohoist_wire::encode;

fn parcel(entries: u64) -> Envelope {
    let entry =
        |index| Entry { term: 1, index, kind: EntryKind::Command(b"turn-of-desk".to_vec().into()) };
    let message = Message::Append {
        term: 1,
        previous_index: 0,
        previous_term: 0,
        entries: (1..=entries).map(entry).collect(),
        commit: 0,
        round: 1,
    };
    let messages = vec![GroupMessage { group: GroupId(0), message }];
    Envelope { to: ReplicaId { machine: 7, disk: 3 }, messages }
}

#[test]
fn only_what_goes_to_another_region_is_packed_and_comes_out_as_it_was() {
    let large = parcel(100);
    let plain = encode(&large).expect("encoded").len();
    assert!(plain >= MIN_COMPRESSED_BYTES);
    for near in [None, Some(Distance::SameZone), Some(Distance::SameRegion)] {
        assert_eq!(PeerFrame::wrap(large.clone(), near), PeerFrame::Plain(large.clone()));
    }
    let frame = PeerFrame::wrap(large.clone(), Some(Distance::OtherRegion));
    assert!(matches!(frame, PeerFrame::Packed(_)));
    assert!(encode(&frame).expect("encoded").len() < plain);
    assert_eq!(frame.open(), Some(large));
}

#[test]
fn a_heartbeat_is_not_worth_packing() {
    let small = parcel(0);
    let frame = PeerFrame::wrap(small.clone(), Some(Distance::OtherRegion));
    assert_eq!(frame, PeerFrame::Plain(small));
}
