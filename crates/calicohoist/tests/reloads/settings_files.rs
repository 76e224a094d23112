//! Settings files that change while their machines run, with and without a signal.

use std::fs;
use std::path::Path;
use std::thread;
use std::time::{Duration, Instant};

use rustix::process::Signal;

use crate::caller::run_beside;
use crate::cluster::GATEWAY_IPS;
use crate::deployment::Deployment;
use crate::judge::{Accepted, assert_kept};
use crate::support::configuration;

const WARM_UP: Duration = Duration::from_millis(500);
const STEP: Duration = Duration::from_millis(60);
/// Time for which a file that is written in place is torn.
const TORN_TIME: Duration = Duration::from_millis(15);
/// Values that replace those of a settings file, each by itself.
const VALUES: [(&str, &str); 16] = [
    ("node_name", "\"another\""),
    ("ip", "\"127.0.0.77\""),
    ("zone", "\"elsewhere\""),
    ("serves", "[\"store\"]"),
    ("serves", "[]"),
    ("internal_ports", "[1,2]"),
    ("seeds", "[]"),
    ("seeds", "[\"127.0.0.77:1\"]"),
    ("bootstrap", "false"),
    ("front_http", "\"127.0.0.77:1\""),
    ("control", "\"127.0.0.77:1\""),
    ("machines", "2"),
    ("grace_s", "0.5"),
    ("grace_s", "-1"),
    ("memory_mb", "1"),
    ("address", "\"127.0.0.1:9\""),
];

/// Returns the text with the value of a field replaced.
fn with_value(text: &str, field: &str, value: &str) -> String {
    let line = |line: &str| {
        let is_field = line.split_once(" = ").is_some_and(|(known, _)| known == field);
        if is_field { format!("{field} = {value}\n") } else { format!("{line}\n") }
    };
    text.lines().map(line).collect()
}

/// Returns the contents that a settings file gets one after the other.
fn contents(text: &str) -> Vec<Vec<u8>> {
    let mut contents: Vec<Vec<u8>> =
        VALUES.iter().map(|(field, value)| with_value(text, field, value).into_bytes()).collect();
    contents.extend([
        format!("{text}drain_ms = 5\nunknown = 3\n").into_bytes(),
        text.as_bytes()[..text.len() / 2].to_vec(),
        Vec::new(),
        b"[[[".to_vec(),
        vec![0xff; 1 << 16],
        text.as_bytes().to_vec(),
    ]);
    contents
}

/// How a settings file is replaced.
#[derive(Clone, Copy, Debug)]
enum Replacement {
    /// In place, so that it is torn for a time.
    InPlace,
    /// By another file.
    Renamed,
    /// Removed before.
    Recreated,
}

/// Replaces a settings file; `meanwhile` runs while it is torn or missing.
fn replace(file: &Path, content: &[u8], replacement: Replacement, meanwhile: impl Fn()) {
    let write = |file: &Path, content: &[u8]| fs::write(file, content).expect("write the file");
    let pause = || {
        meanwhile();
        thread::sleep(TORN_TIME);
    };
    match replacement {
        Replacement::InPlace => {
            write(file, &content[..content.len() / 2]);
            pause();
            write(file, content);
        }
        Replacement::Renamed => {
            let other = file.with_extension("new");
            write(&other, content);
            fs::rename(&other, file).expect("rename the file");
        }
        Replacement::Recreated => {
            fs::remove_file(file).expect("remove the file");
            pause();
            write(file, content);
        }
    }
}

/// Replaces the settings files of all machines again and again. Every third time no signal follows.
fn change_files(deployment: &Deployment, texts: &[Vec<u8>]) {
    let replacements = [Replacement::InPlace, Replacement::Renamed, Replacement::Recreated];
    let kinds = replacements.into_iter().cycle();
    let reload = || deployment.machines().for_each(|machine| machine.signal(Signal::HUP));
    let contents: Vec<Vec<Vec<u8>>> =
        texts.iter().map(|text| contents(&String::from_utf8_lossy(text))).collect();
    for (number, replacement) in (0..contents[0].len()).zip(kinds) {
        let is_signalled = number % 3 != 2;
        let meanwhile = || {
            if is_signalled {
                reload()
            }
        };
        for (machine, contents) in deployment.machines().zip(&contents) {
            let file = deployment.settings_file(machine);
            replace(&file, &contents[number], replacement, meanwhile);
        }
        meanwhile();
        thread::sleep(STEP);
    }
}

#[test]
fn requests_are_answered_while_settings_files_change_around_stops() {
    let mut deployment = Deployment::start(&configuration(5));
    let texts: Vec<Vec<u8>> = deployment
        .machines()
        .map(|machine| fs::read(deployment.settings_file(machine)).expect("the file"))
        .collect();
    let address = deployment.cluster.http(GATEWAY_IPS[0]);
    let attempts = run_beside(address, &[], || {
        thread::sleep(WARM_UP);
        change_files(&deployment, &texts);
        deployment.configure(&configuration(6));
        let stopped_at = Instant::now();
        deployment.stop_gateway();
        change_files(&deployment, &texts);
        deployment.configure(&configuration(7));
        deployment.wait_until_stopped(stopped_at);
        deployment.restart_gateway();
        thread::sleep(WARM_UP);
        let stopped_at = Instant::now();
        deployment.stop_gateway();
        deployment.wait_until_stopped(stopped_at);
    });
    assert_kept("settings files", &attempts, &deployment.runs(), Accepted::default());
    for store in &mut deployment.stores {
        let status = store.child.try_wait().expect("the state of the process");
        assert!(status.is_none(), "a ledger machine ended: {status:?}");
    }
}
