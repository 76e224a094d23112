//! Log of a gateway that a test has started.

use std::io::{BufRead, BufReader, Read};
use std::net::SocketAddr;
use std::process::Child;
use std::sync::mpsc::channel;
use std::thread;
use std::time::Duration;

/// Returns the address in the log line of the start, and reads the rest of the log.
pub fn read_address(child: &mut Child, timeout: Duration) -> SocketAddr {
    let (sender, receiver) = channel();
    let stdout = child.stdout.take().expect("piped");
    let stderr = child.stderr.take().expect("piped");
    let outputs: [Box<dyn Read + Send>; 2] = [Box::new(stdout), Box::new(stderr)];
    for output in outputs {
        let sender = sender.clone();
        thread::spawn(move || {
            for line in BufReader::new(output).lines().map_while(Result::ok) {
                eprintln!("{line}");
                let mut words = line.split_whitespace();
                if let Some(address) = words.find_map(|word| word.strip_prefix("http=")) {
                    let _ = sender.send(address.to_owned());
                }
            }
        });
    }
    let address = receiver.recv_timeout(timeout).expect("the gateway starts");
    address.parse().expect("an address")
}
