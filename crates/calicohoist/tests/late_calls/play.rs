//! Late calls of all kinds beside each other at one stopping ledger machine.

use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::cluster::STORE_IPS;
use crate::cluster::ledger::{Ledger, request};
use crate::hanging_disk::HangingDisk;
use crate::late_call::{CallReport, LEAD_TIME, LateCall, put, send};

/// Time between the opening of the connections and the stop.
const PREPARATION: Duration = Duration::from_millis(700);
/// Times at which late calls are complete, in twentieths of the grace period.
const LATE: [u32; 4] = [6, 12, 16, 17];

/// Role of the machine that stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    Leader,
    Follower,
}

/// What the other two machines do during the stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Quorum {
    Running,
    Paused,
}

/// State of the disk of the machine that stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DiskState {
    Working,
    Hanging,
}

/// Why the machine stops.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    Signal,
    /// Its hanging disk fails.
    DiskFailure,
}

#[derive(Clone, Copy, Debug)]
pub struct Play {
    pub cause: Cause,
    /// Time in which the machine exits.
    pub grace: Duration,
    pub role: Role,
    pub quorum: Quorum,
    pub disk: DiskState,
}

impl Play {
    /// Stops a machine and asserts that every whole call is answered before it has exited in time,
    /// and that no acknowledged configuration is lost.
    pub fn run(self) {
        let mut ledger = Ledger::start_with_grace(self.grace);
        let leader = ledger.cluster.leader();
        let follower = STORE_IPS.into_iter().find(|ip| *ip != leader).expect("a follower");
        let stopping = if self.role == Role::Leader { leader } else { follower };
        let others: Vec<&str> = STORE_IPS.into_iter().filter(|ip| *ip != stopping).collect();
        let disk = match self.disk {
            DiskState::Working => None,
            DiskState::Hanging => Some(HangingDisk::start(&ledger, stopping)),
        };
        let stop = Instant::now() + PREPARATION;
        let address = ledger.cluster.control(stopping);
        let connections = self.connections(stop);
        let callers: Vec<_> = connections.into_iter().map(|calls| send(address, calls)).collect();
        if self.quorum == Quorum::Paused {
            sleep_until(stop - LEAD_TIME / 2);
            others.iter().for_each(|ip| ledger.signal(ip, Signal::STOP));
        }
        sleep_until(stop);
        match (self.cause, &disk) {
            (Cause::Signal, _) => ledger.signal(stopping, Signal::TERM),
            (Cause::DiskFailure, Some(disk)) => disk.fail(),
            (Cause::DiskFailure, None) => unreachable!("only a hanging disk fails"),
        }
        let status = ledger.machine(stopping).child.wait().expect("the machine exits");
        let exited_at = Instant::now();
        others.iter().for_each(|ip| ledger.signal(ip, Signal::CONT));
        let reports: Vec<CallReport> = callers
            .into_iter()
            .flat_map(|caller| caller.join().expect("the caller ends"))
            .collect();
        println!("{self:?}: exited after {:?}, {status}", exited_at - stop);
        reports.iter().for_each(|report| println!("  {}", report.line(stop)));
        drop(disk);
        ledger.restart(stopping);
        let acknowledged = acknowledged_version(&reports);
        let active = ledger.active_version();
        println!("  acknowledged version {acknowledged}, active version {active}");
        let lost: Vec<String> = reports
            .iter()
            .filter(|report| report.is_lost())
            .map(|report| report.line(stop))
            .collect();
        assert!(lost.is_empty(), "{self:?}: {lost:#?}");
        let is_expected = status.success() == (self.cause == Cause::Signal);
        assert!(is_expected, "{self:?}: {status}");
        assert!(exited_at < stop + self.grace, "{self:?}: exited after {:?}", exited_at - stop);
        assert!(active >= acknowledged, "{self:?}: {active} instead of {acknowledged}");
    }

    /// Returns the calls of each connection. Changes of the configuration are named by their version.
    fn connections(self, stop: Instant) -> Vec<Vec<LateCall>> {
        let at = |twentieths: u32| stop + self.grace * twentieths / 20;
        let first = stop - LEAD_TIME;
        let mut version = HangingDisk::LAST_VERSION;
        let mut next_put = || {
            version += 1;
            (format!("put-{version}"), put(version))
        };
        let read = request("GET", "/-/config", "");
        let before = || LateCall::whole("before", stop - LEAD_TIME * 3, read.clone());
        let mut connections = Vec::new();
        for late in LATE {
            let times = [first, at(late)];
            let (id, bytes) = next_put();
            connections.push(vec![LateCall::with_split_head(&id, &bytes, times)]);
            let (id, bytes) = next_put();
            connections.push(vec![before(), LateCall::with_split_head(&id, &bytes, times)]);
            let (id, bytes) = next_put();
            connections.push(vec![LateCall::with_late_body(&id, &bytes, times)]);
            connections.push(vec![LateCall::with_split_head("read", &read, times)]);
            for (id, method, path) in [
                ("drain", "POST", "/-/evacuations/hall"),
                ("restore", "DELETE", "/-/evacuations/hall"),
                ("retire", "POST", "/-/retire/unknown-machine"),
                ("retiring", "GET", "/-/retire/unknown-machine"),
            ] {
                let bytes = request(method, path, "");
                connections.push(vec![LateCall::with_split_head(id, &bytes, times)]);
            }
            let (id, bytes) = next_put();
            let (next_id, next_bytes) = next_put();
            connections.push(vec![
                LateCall::with_late_body(&id, &bytes, times),
                LateCall::whole(&next_id, at(late), next_bytes),
                LateCall::whole("read-behind", at(late + 1), read.clone()),
            ]);
        }
        for (id, sent_at) in [("put-before-stop", first), ("put-at-stop", stop)] {
            version += 1;
            connections.push(vec![LateCall::whole(
                &format!("{id}-{version}"),
                sent_at,
                put(version),
            )]);
        }
        version += 1;
        connections.push(vec![LateCall::large(
            &format!("large-{version}"),
            version,
            [first, at(16)],
        )]);
        version += 1;
        connections.push(vec![LateCall::large(
            &format!("large-{version}"),
            version,
            [first, at(19)],
        )]);
        connections
    }
}

/// Returns the highest version whose change was acknowledged.
fn acknowledged_version(reports: &[CallReport]) -> u64 {
    let acknowledged = reports.iter().filter(|report| report.report.status == 200);
    let versions =
        acknowledged.filter_map(|report| report.report.id.rsplit('-').next()?.parse().ok());
    versions.max().unwrap_or_default()
}

fn sleep_until(moment: Instant) {
    std::thread::sleep(moment.saturating_duration_since(Instant::now()));
}
