//! A discovery service whose answer to each call is scripted.

use std::collections::HashMap;
use std::net::SocketAddr;
use std::sync::Arc;

use calicohoist_discovery::{MalformedPage, Page, PageParser};
use parking_lot::Mutex;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Parses a page that arrives at once.
pub struct ShortPageParser<F> {
    parse: F,
    is_complete: bool,
}

impl<F: Fn(&[u8]) -> Option<Page> + Send + 'static> ShortPageParser<F> {
    pub fn boxed(parse: F) -> Box<dyn PageParser> {
        Box::new(Self { parse, is_complete: false })
    }
}

impl<F: Fn(&[u8]) -> Option<Page> + Send> PageParser for ShortPageParser<F> {
    fn parse(&mut self, bytes: &[u8], page: &mut Page) -> Result<(), MalformedPage> {
        *page = (self.parse)(bytes).filter(|_| !self.is_complete).ok_or(MalformedPage)?;
        self.is_complete = true;
        Ok(())
    }

    fn is_complete(&self) -> bool {
        self.is_complete
    }
}

/// How the service answers a call.
#[derive(Clone, Copy)]
pub enum Reply {
    Page,
    Status(u16),
    CloseConnection,
}

/// Calls by path.
pub type Calls = Arc<Mutex<HashMap<String, usize>>>;

/// Starts a service that answers the n-th call of a path with `reply(path, n)`.
pub async fn start(
    reply: impl Fn(&str, usize) -> Reply + Send + Sync + 'static,
) -> (SocketAddr, Calls) {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("local address");
    let calls = Calls::default();
    let (counted, reply) = (Arc::clone(&calls), Arc::new(reply));
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            let (counted, reply) = (Arc::clone(&counted), Arc::clone(&reply));
            tokio::spawn(async move { serve(stream, &counted, reply.as_ref()).await });
        }
    });
    (address, calls)
}

/// Serves the requests of one connection.
async fn serve(
    mut stream: TcpStream,
    calls: &Calls,
    reply: &(impl Fn(&str, usize) -> Reply + Send + Sync),
) {
    let mut buffer = Vec::new();
    loop {
        while !buffer.ends_with(b"\r\n\r\n") {
            match stream.read_buf(&mut buffer).await {
                Ok(0) | Err(_) => return,
                Ok(_) => {}
            }
        }
        let head = String::from_utf8(std::mem::take(&mut buffer)).expect("request head");
        let path = head.split(' ').nth(1).expect("path").to_owned();
        let call = {
            let mut calls = calls.lock();
            let call = calls.entry(path.clone()).or_default();
            *call += 1;
            *call
        };
        let (status, body) = match reply(&path, call) {
            Reply::Page => (200, path.trim_start_matches('/')),
            Reply::Status(status) => (status, ""),
            Reply::CloseConnection => return,
        };
        let response =
            format!("HTTP/1.1 {status} X\r\ncontent-length: {}\r\n\r\n{body}", body.len());
        if stream.write_all(response.as_bytes()).await.is_err() {
            return;
        }
    }
}
