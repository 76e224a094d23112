//! Processes of the build that named no protocol, played by the test: what they write is kept as
//! bytes that this build wrote, and what they cannot read they answer by closing the connection.

use std::net::SocketAddr;

use calicohoist_replication::{GroupMessage, Message, ReplicaId};
use calicohoist_transport::{FrameReader, encode_frame, frame_payload};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::{LONG, reply_to};

const CORPUS: &str = include_str!("../data/protocol-1.txt");
const HEADER_BYTES: usize = 8;
/// Bytes of the number in the sample of a search; those of the others are of one byte.
const NUMBER_OF_SEARCH: usize = 3;

/// What that build writes for one of its messages.
pub fn sample(name: &str) -> Vec<u8> {
    let line = CORPUS.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let hex = line.unwrap_or_else(|| panic!("no sample {name}"));
    let digits = hex.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).expect("text"), 16);
    digits.map(|pair| byte(pair).expect("hex")).collect()
}

/// Names of all samples.
pub fn names() -> impl Iterator<Item = &'static str> {
    CORPUS.lines().filter_map(|line| line.split(' ').next())
}

/// The next frame's payload; `None` once the other side has closed.
async fn payload(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await.ok()?;
    let [a, b, c, d, ..] = header;
    let mut payload = vec![0; u32::from_le_bytes([a, b, c, d]) as usize];
    stream.read_exact(&mut payload).await.ok()?;
    Some(payload)
}

/// A gateway of that build.
pub struct OlderGateway(TcpStream);

impl OlderGateway {
    pub async fn connect(address: SocketAddr) -> Self {
        Self(TcpStream::connect(address).await.expect("listens"))
    }

    /// Asks a question; the answer's bytes, or `None` when the connection was closed instead.
    pub async fn ask(&mut self, question: &[u8]) -> Option<Vec<u8>> {
        self.0.write_all(&frame_payload(question)).await.ok()?;
        tokio::time::timeout(LONG, payload(&mut self.0)).await.expect("in time")
    }
}

/// A ledger machine of that build which leads, for gateways. It answers each question that is
/// among its samples, whatever its number, and closes the connection at any other.
pub struct OlderLeader {
    listener: TcpListener,
    answers: Vec<(Vec<u8>, Vec<u8>)>,
}

impl OlderLeader {
    pub async fn bind() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("a port");
        let search = sample("ask.find_leader")[NUMBER_OF_SEARCH..].to_vec();
        let answers = vec![(search, sample("reply.leads")[1..].to_vec())];
        Self { listener, answers }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("bound")
    }

    /// Answers the question of one sample with the answer of another. Both have short numbers.
    pub fn answer(&mut self, question: &str, answer: &str) {
        self.answers.push((sample(question)[1..].to_vec(), sample(answer)[1..].to_vec()));
    }

    pub async fn serve(self) {
        loop {
            let (mut stream, _) = self.listener.accept().await.expect("accepts");
            let answers = self.answers.clone();
            tokio::spawn(async move {
                while let Some(asked) = payload(&mut stream).await {
                    let [number, question @ ..] = asked.as_slice() else { return };
                    let known = answers.iter().find(|(known, _)| known == question);
                    let Some((_, answer)) = known else { return };
                    let reply = [&[*number], answer.as_slice()].concat();
                    if stream.write_all(&frame_payload(&reply)).await.is_err() {
                        return;
                    }
                }
            });
        }
    }
}

/// A ledger machine of that build which follows.
pub struct OlderMachine {
    messages: mpsc::Receiver<Vec<GroupMessage>>,
    leader: TcpStream,
    leader_id: ReplicaId,
}

impl OlderMachine {
    /// Takes connections on `listener`, and opens one to the peer under test.
    pub async fn start(listener: TcpListener, peer: SocketAddr, peer_id: ReplicaId) -> Self {
        let (sender, messages) = mpsc::channel(1_024);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(read(stream, sender.clone()));
            }
        });
        let mut leader = TcpStream::connect(peer).await.expect("listens");
        leader.write_all(&frame_payload(&sample("peer.greeting"))).await.expect("written");
        Self { messages, leader, leader_id: peer_id }
    }

    /// Votes for the peer and takes its entries, for as long as it is polled.
    pub async fn follow(mut self) {
        while let Some(messages) = self.messages.recv().await {
            for GroupMessage { group, message } in messages {
                let reply = match &message {
                    Message::Vote { term, pre, .. } => {
                        Some(Message::VoteReply { term: *term, granted: true, pre: *pre })
                    }
                    other => reply_to(other),
                };
                let Some(message) = reply else { continue };
                let frame = (self.leader_id, vec![GroupMessage { group, message }]);
                let frame = encode_frame(&frame).expect("encodes");
                if self.leader.write_all(&frame).await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn read(stream: TcpStream, messages: mpsc::Sender<Vec<GroupMessage>>) {
    let mut frames = FrameReader::new(stream);
    if frames.next::<(ReplicaId, String)>().await.is_err() {
        return;
    }
    while let Ok((_, of_frame)) = frames.next::<(ReplicaId, Vec<GroupMessage>)>().await {
        if messages.send(of_frame).await.is_err() {
            return;
        }
    }
}
