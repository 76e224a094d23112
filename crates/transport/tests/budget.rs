//! Memory of the incoming frames of many connections, as a state machine.

use std::net::{IpAddr, Ipv4Addr};
use std::time::{Duration, Instant};

use calicohoist_transport::budget::{Admission, FrameBudget, FrameId};

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;
const LIMIT: usize = 16 * MIB;
const SOUND: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 1));
const FAULTY: IpAddr = IpAddr::V4(Ipv4Addr::new(10, 0, 0, 2));

/// Budget with the time of a test.
struct Bench {
    budget: FrameBudget,
    now: Instant,
}

impl Bench {
    fn new() -> Self {
        Self { budget: FrameBudget::new(LIMIT), now: Instant::now() }
    }

    fn begin(&mut self, peer: IpAddr) -> FrameId {
        self.budget.begin(peer, self.now)
    }

    fn grow(&mut self, id: FrameId, bytes: usize) -> Admission {
        self.budget.grow(id, bytes, self.now)
    }

    fn end(&mut self, id: FrameId) {
        self.budget.end(id, self.now);
    }

    /// Begins a frame that holds `bytes`.
    fn hold(&mut self, peer: IpAddr, bytes: usize) -> FrameId {
        let id = self.begin(peer);
        assert_eq!(self.grow(id, bytes), Admission::Granted);
        id
    }

    /// Grows a frame until it is granted; ends each frame that gives way, and returns their number.
    fn grow_with_evictions(&mut self, id: FrameId, bytes: usize) -> usize {
        let mut evicted = 0;
        loop {
            match self.grow(id, bytes) {
                Admission::Granted => return evicted,
                Admission::Evicts(other) => {
                    assert!(self.budget.is_evicted(other));
                    self.end(other);
                    evicted += 1;
                }
                Admission::Waits => panic!("{id:?} waits for {bytes} bytes"),
            }
        }
    }
}

#[test]
fn frames_share_the_limit() {
    let mut bench = Bench::new();
    for _ in 0..LIMIT / MIB {
        bench.hold(SOUND, MIB);
    }
    let last = bench.begin(SOUND);
    assert_eq!(bench.grow(last, 2 * MIB), Admission::Waits);
    assert_eq!(bench.budget.held_bytes(), LIMIT);
}

#[test]
fn small_frame_of_a_sound_peer_evicts_one_of_the_peer_that_holds_most() {
    let mut bench = Bench::new();
    let sound = bench.hold(SOUND, 2 * MIB);
    for _ in 0..14 * 4 {
        bench.hold(FAULTY, 256 * KIB);
    }
    assert_eq!(bench.grow_with_evictions(sound, 4 * MIB), 8);
    assert!(!bench.budget.is_evicted(sound));
}

#[test]
fn frame_that_trickles_gives_way_to_a_larger_one() {
    let mut bench = Bench::new();
    for _ in 0..LIMIT / (64 * KIB) {
        bench.hold(SOUND, 64 * KIB);
    }
    let sound = bench.begin(SOUND);
    assert_eq!(bench.grow(sound, MIB), Admission::Waits);
    bench.now += Duration::from_secs(2);
    assert_eq!(bench.grow_with_evictions(sound, MIB), MIB / (64 * KIB));
}

#[test]
fn time_in_which_a_frame_waits_does_not_make_it_slow() {
    let mut bench = Bench::new();
    bench.hold(SOUND, 6 * MIB);
    let second = bench.hold(SOUND, 6 * MIB);
    let third = bench.hold(SOUND, 3 * MIB);
    assert_eq!(bench.grow(third, 5 * MIB), Admission::Waits);
    bench.now += Duration::from_secs(60);
    bench.end(second);
    assert_eq!(bench.grow(third, 5 * MIB), Admission::Granted);
    let fourth = bench.hold(SOUND, 4 * MIB);
    // The first frame is slow; the third one is not.
    assert_eq!(bench.grow_with_evictions(fourth, 8 * MIB), 1);
    assert!(!bench.budget.is_evicted(third));
}

#[test]
fn pause_follows_a_large_frame() {
    let mut bench = Bench::new();
    let first = bench.hold(SOUND, 9 * MIB);
    bench.now += Duration::from_millis(100);
    bench.end(first);
    let second = bench.hold(SOUND, 8 * MIB);
    assert_eq!(bench.grow(second, 9 * MIB), Admission::Waits);
    bench.hold(SOUND, MIB);
    bench.now += Duration::from_millis(400);
    assert_eq!(bench.grow(second, 9 * MIB), Admission::Granted);
}

#[test]
fn newest_frame_gives_way_to_an_older_one() {
    let mut bench = Bench::new();
    let oldest = bench.hold(SOUND, MIB);
    for _ in 0..15 {
        bench.hold(FAULTY, MIB);
    }
    assert_eq!(bench.grow_with_evictions(oldest, 3 * MIB), 2);
}

#[test]
fn largest_frame_arrives_beside_others() {
    let mut bench = Bench::new();
    bench.hold(SOUND, 4 * MIB);
    let large = bench.hold(SOUND, LIMIT / 2);
    for bytes in (LIMIT / 2 + MIB..=64 * MIB).step_by(MIB) {
        assert_eq!(bench.grow(large, bytes), Admission::Granted, "{bytes}");
    }
    bench.hold(SOUND, 4 * MIB);
    assert!(!bench.budget.is_evicted(large));
}

#[test]
fn one_large_frame_is_read_at_a_time() {
    let mut bench = Bench::new();
    let first = bench.hold(SOUND, 9 * MIB);
    let second = bench.hold(SOUND, 8 * MIB);
    assert_eq!(bench.grow(second, 9 * MIB), Admission::Waits);
    assert_eq!(bench.grow(first, 60 * MIB), Admission::Granted);
    bench.end(first);
    assert_eq!(bench.grow(second, 9 * MIB), Admission::Granted);
}

#[test]
fn large_frame_that_trickles_gives_way_to_another_one() {
    let mut bench = Bench::new();
    let first = bench.hold(FAULTY, 9 * MIB);
    bench.now += Duration::from_secs(10);
    let second = bench.hold(SOUND, 8 * MIB);
    assert_eq!(bench.grow(second, 9 * MIB), Admission::Evicts(first));
}

/// A frame that waits never waits for one that waits for it.
#[test]
fn frames_that_grow_side_by_side_all_end() {
    const FRAME_BYTES: usize = 12 * MIB;
    let mut bench = Bench::new();
    let mut growing: Vec<(FrameId, usize)> = (0..40).map(|_| (bench.begin(SOUND), 0)).collect();
    let (mut completed, mut rounds) = (0, 0);
    while !growing.is_empty() {
        rounds += 1;
        assert!(rounds < 100_000, "{} frames are held for ever", growing.len());
        for index in (0..growing.len()).rev() {
            let (id, bytes) = growing[index];
            if bench.budget.is_evicted(id) {
                bench.end(id);
                growing[index] = (bench.begin(SOUND), 0);
            } else if bench.grow(id, bytes + MIB) == Admission::Granted {
                growing[index].1 += MIB;
                if bytes + MIB == FRAME_BYTES {
                    bench.end(id);
                    growing.swap_remove(index);
                    completed += 1;
                }
            }
            assert!(bench.budget.held_bytes() <= LIMIT / 2 + 64 * MIB);
        }
    }
    assert_eq!(completed, 40);
}
