//! Compression of frames between ledger machines in different regions.

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
fn only_frames_to_another_region_are_compressed() {
    let large = parcel(100);
    let plain_bytes = encode(&large).expect("encode").len();
    assert!(plain_bytes >= MIN_COMPRESSED_BYTES);
    for distance in [None, Some(Distance::SameZone), Some(Distance::SameRegion)] {
        assert_eq!(PeerFrame::wrap(large.clone(), distance), PeerFrame::Plain(large.clone()));
    }
    let frame = PeerFrame::wrap(large.clone(), Some(Distance::OtherRegion));
    assert!(matches!(frame, PeerFrame::Packed(_)));
    assert!(encode(&frame).expect("encode").len() < plain_bytes);
    assert_eq!(frame.open(), Some(large));
}

#[test]
fn heartbeats_are_not_compressed() {
    let small = parcel(0);
    let frame = PeerFrame::wrap(small.clone(), Some(Distance::OtherRegion));
    assert_eq!(frame, PeerFrame::Plain(small));
}
