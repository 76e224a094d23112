//! Replies that are queued when a connection or its server ends.

use std::io::BufReader;
use std::net::{Ipv4Addr, Shutdown, TcpListener, TcpStream};
use std::sync::mpsc::channel;
use std::time::Duration;

use calicohoist_wire::frame::{read_frame, write_frame};
use calicohoist_wire::{FrameServer, ReplySender};

const FRAMES: u32 = 1_000;
const CALLER_TIMEOUT: Duration = Duration::from_secs(5);

fn listener() -> TcpListener {
    TcpListener::bind((Ipv4Addr::LOCALHOST, 0)).expect("bound")
}

fn connect(server: &FrameServer) -> TcpStream {
    let stream = TcpStream::connect(server.address()).expect("connected");
    stream.set_read_timeout(Some(CALLER_TIMEOUT)).expect("configured");
    stream
}

fn count_replies(stream: &TcpStream) -> usize {
    let mut input = BufReader::new(stream);
    std::iter::from_fn(|| read_frame::<u32>(&mut input).ok()).take(FRAMES as usize).count()
}

#[test]
fn peer_that_shuts_its_sending_side_gets_all_replies() {
    let echo = |frame: u32, replies: &ReplySender<u32>| {
        replies.send(frame);
    };
    let server = FrameServer::start(listener(), echo).expect("started");
    let mut stream = connect(&server);
    for frame in 0..FRAMES {
        write_frame(&mut stream, &frame).expect("sent");
    }
    stream.shutdown(Shutdown::Write).expect("shut down");
    assert_eq!(count_replies(&stream), FRAMES as usize);
}

#[test]
fn replies_that_are_queued_when_a_server_stops_are_sent() {
    let (queued, all_queued) = channel();
    let reply_often = move |frame: u32, replies: &ReplySender<u32>| {
        for _ in 0..FRAMES {
            replies.send(frame);
        }
        let _ = queued.send(());
    };
    let server = FrameServer::start(listener(), reply_often).expect("started");
    let mut stream = connect(&server);
    write_frame(&mut stream, &0_u32).expect("sent");
    all_queued.recv_timeout(CALLER_TIMEOUT).expect("replies are queued");
    drop(server);
    assert_eq!(count_replies(&stream), FRAMES as usize);
}
