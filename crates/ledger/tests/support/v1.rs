//! Emulated processes that use protocol version 1.
//!
//! The gateway and the leader use stored samples of messages; the follower encodes its replies
//! itself. Leader and follower close the connection on a message that they cannot decode.

use std::net::SocketAddr;

use calicohoist_replication::{GroupMessage, Message, ReplicaId};
use calicohoist_transport::{FrameReader, encode_frame, frame_payload};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;

use super::{TEST_TIMEOUT, reply_to};

const SAMPLES: &str = include_str!("../data/protocol-1.txt");
const HEADER_BYTES: usize = 8;
/// Encoded length of the request id in the sample `ask.find_leader`, in bytes. It is 1 in the
/// other samples.
const FIND_LEADER_ID_BYTES: usize = 3;

/// Returns the encoding of the message sample `name`.
pub fn sample(name: &str) -> Vec<u8> {
    let line = SAMPLES.lines().find_map(|line| line.strip_prefix(name)?.strip_prefix(' '));
    let hex = line.unwrap_or_else(|| panic!("sample {name} not found"));
    let digits = hex.as_bytes().chunks(2);
    let byte = |pair| u8::from_str_radix(std::str::from_utf8(pair).expect("ASCII text"), 16);
    digits.map(|pair| byte(pair).expect("hex digits")).collect()
}

/// Returns the names of all samples.
pub fn sample_names() -> impl Iterator<Item = &'static str> {
    SAMPLES.lines().filter_map(|line| line.split(' ').next())
}

/// Reads the payload of the next frame; returns `None` if the connection is closed.
async fn read_payload(stream: &mut TcpStream) -> Option<Vec<u8>> {
    let mut header = [0; HEADER_BYTES];
    stream.read_exact(&mut header).await.ok()?;
    let [a, b, c, d, ..] = header;
    let mut payload = vec![0; u32::from_le_bytes([a, b, c, d]) as usize];
    stream.read_exact(&mut payload).await.ok()?;
    Some(payload)
}

/// A gateway that uses protocol version 1.
pub struct V1Gateway(TcpStream);

impl V1Gateway {
    pub async fn connect(address: SocketAddr) -> Self {
        Self(TcpStream::connect(address).await.expect("connect"))
    }

    /// Sends an encoded request and returns the encoded response, or `None` if the connection is
    /// closed.
    pub async fn request(&mut self, request: &[u8]) -> Option<Vec<u8>> {
        self.0.write_all(&frame_payload(request)).await.ok()?;
        tokio::time::timeout(TEST_TIMEOUT, read_payload(&mut self.0)).await.expect("timed out")
    }
}

/// A leader that uses protocol version 1. It responds to the registered requests, whatever their
/// request id, and closes the connection on any other.
pub struct V1Leader {
    listener: TcpListener,
    responses: Vec<(Vec<u8>, Vec<u8>)>,
}

impl V1Leader {
    pub async fn bind() -> Self {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await.expect("bind listener");
        let find_leader = sample("ask.find_leader")[FIND_LEADER_ID_BYTES..].to_vec();
        let responses = vec![(find_leader, sample("reply.leads")[1..].to_vec())];
        Self { listener, responses }
    }

    pub fn address(&self) -> SocketAddr {
        self.listener.local_addr().expect("local address")
    }

    /// Registers sample `response` as the response to sample `request`. The request ids of both
    /// samples must be encoded as one byte.
    pub fn respond_to(&mut self, request: &str, response: &str) {
        self.responses.push((sample(request)[1..].to_vec(), sample(response)[1..].to_vec()));
    }

    pub async fn serve(self) {
        loop {
            let (mut stream, _) = self.listener.accept().await.expect("accept");
            let responses = self.responses.clone();
            tokio::spawn(async move {
                while let Some(message) = read_payload(&mut stream).await {
                    let [request_id, request @ ..] = message.as_slice() else { return };
                    let registered = responses.iter().find(|(known, _)| known == request);
                    let Some((_, response)) = registered else { return };
                    let reply = [&[*request_id], response.as_slice()].concat();
                    if stream.write_all(&frame_payload(&reply)).await.is_err() {
                        return;
                    }
                }
            });
        }
    }
}

/// A follower that uses protocol version 1. Its leader is the machine under test.
pub struct V1Follower {
    messages: mpsc::Receiver<Vec<GroupMessage>>,
    connection: TcpStream,
    recipient: ReplicaId,
}

impl V1Follower {
    /// Accepts connections on `listener` and connects to the leader.
    pub async fn start(listener: TcpListener, leader: SocketAddr, leader_id: ReplicaId) -> Self {
        let (sender, messages) = mpsc::channel(1_024);
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(read_messages(stream, sender.clone()));
            }
        });
        let mut connection = TcpStream::connect(leader).await.expect("connect");
        connection
            .write_all(&frame_payload(&sample("peer.greeting")))
            .await
            .expect("send greeting");
        Self { messages, connection, recipient: leader_id }
    }

    /// Votes for the leader and acknowledges its entries until disconnected.
    pub async fn run(mut self) {
        while let Some(messages) = self.messages.recv().await {
            for GroupMessage { group, message } in messages {
                let reply = match &message {
                    Message::Vote { term, pre, .. } => {
                        Some(Message::VoteReply { term: *term, granted: true, pre: *pre })
                    }
                    other => reply_to(other),
                };
                let Some(message) = reply else { continue };
                let frame = (self.recipient, vec![GroupMessage { group, message }]);
                let frame = encode_frame(&frame).expect("encode reply");
                if self.connection.write_all(&frame).await.is_err() {
                    return;
                }
            }
        }
    }
}

async fn read_messages(stream: TcpStream, messages: mpsc::Sender<Vec<GroupMessage>>) {
    let mut frames = FrameReader::new(stream);
    if frames.next::<(ReplicaId, String)>().await.is_err() {
        return;
    }
    while let Ok((_, frame_messages)) = frames.next::<(ReplicaId, Vec<GroupMessage>)>().await {
        if messages.send(frame_messages).await.is_err() {
            return;
        }
    }
}
