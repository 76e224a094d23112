//! HTTP/1.1 messages.

use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::TcpStream;

/// Head of a request or a response.
#[derive(Clone, Debug, Default)]
pub struct Head {
    /// Request line or status line.
    pub first_line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the word of the first line at `position`.
    pub fn word(&self, position: usize) -> &str {
        self.first_line.split(' ').nth(position).unwrap_or_default()
    }
}

/// Reads a head; `None` at the end of the connection.
///
/// # Errors
/// When the connection fails.
pub fn read_head(input: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        match (head.first_line.is_empty(), line.is_empty()) {
            (true, true) => {}
            (true, false) => line.clone_into(&mut head.first_line),
            (false, true) => return Ok(Some(head)),
            (false, false) => {
                let (name, value) = line.split_once(':').unwrap_or((line, ""));
                head.headers.push((name.to_ascii_lowercase(), value.trim().to_owned()));
            }
        }
    }
}

/// Reads the body of a message with a length or in chunks.
///
/// # Errors
/// When the connection ends before the body is whole.
pub fn read_body(input: &mut BufReader<TcpStream>, head: &Head) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head.get("transfer-encoding").is_none() {
        let length = head.get("content-length").and_then(|text| text.parse().ok()).unwrap_or(0);
        body.resize(length, 0);
        input.read_exact(&mut body)?;
        return Ok(body);
    }
    loop {
        let mut line = String::new();
        if input.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size = usize::from_str_radix(line.trim(), 16).map_err(io::Error::other)?;
        let before = body.len();
        body.resize(before + size, 0);
        input.read_exact(&mut body[before..])?;
        let mut end = [0; 2];
        input.read_exact(&mut end)?;
        if size == 0 {
            return Ok(body);
        }
    }
}

/// Writes a response with a length.
///
/// # Errors
/// When the connection fails.
pub fn write_response(
    mut output: &TcpStream,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut message = format!("HTTP/1.1 {status} -\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        message.push_str(&format!("{name}: {value}\r\n"));
    }
    message.push_str("\r\n");
    output.write_all(&[message.as_bytes(), body].concat())
}
