//! A small HTTP/1.1 reader and writer on plain sockets.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Largest head that is read, in bytes.
const MAX_HEAD: usize = 64 << 10;

/// A request or a response.
#[derive(Debug, Clone, Default)]
pub struct Message {
    /// First line, without its end.
    pub start: String,
    /// Headers in the order of arrival, names in lower case.
    pub headers: Vec<(String, String)>,
    /// Body.
    pub body: Vec<u8>,
}

impl Message {
    /// The first value of a header; `name` in lower case.
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(known, _)| known == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The second word of the first line: the path of a request, the status of a response.
    pub fn second_word(&self) -> &str {
        self.start.split(' ').nth(1).unwrap_or_default()
    }

    /// Status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        self.second_word().parse().unwrap_or(0)
    }

    /// Whether the sender closes the connection after this message.
    pub fn closes(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.eq_ignore_ascii_case("close"))
    }
}

/// Why no complete message was read.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Failure {
    /// The connection ended before the first byte of a message.
    Ended,
    /// The connection ended within a message, after this many bytes of its body, of `expected` ones.
    Truncated { received: usize, expected: usize },
    /// The socket failed; the text says how, and how many bytes of the body had arrived.
    Broken(String),
}

/// Reads messages from a source of bytes.
pub struct Reader<R> {
    source: R,
    buffer: Vec<u8>,
}

impl<R: Read> Reader<R> {
    pub fn new(source: R) -> Self {
        Self {
            source,
            buffer: Vec::new(),
        }
    }

    /// Reads one message. The body of a response without a length ends with the connection.
    pub fn message(&mut self, is_response: bool) -> Result<Message, Failure> {
        self.message_noticing(is_response, |_| {})
    }

    /// As [`Reader::message`], and passes the message to `on_head` when its head has been read.
    pub fn message_noticing(
        &mut self,
        is_response: bool,
        on_head: impl FnOnce(&Message),
    ) -> Result<Message, Failure> {
        let head_end = loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                break end + 4;
            }
            if self.buffer.len() > MAX_HEAD {
                return Err(Failure::Broken("the head is too large".to_owned()));
            }
            match self.fill() {
                Ok(0) if self.buffer.is_empty() => return Err(Failure::Ended),
                Ok(0) => {
                    return Err(Failure::Truncated {
                        received: 0,
                        expected: 0,
                    });
                }
                Ok(_) => {}
                Err(error) if self.buffer.is_empty() => {
                    return Err(Failure::Broken(format!("{error} before any byte")));
                }
                Err(error) => return Err(Failure::Broken(format!("{error} within the head"))),
            }
        };
        let head: Vec<u8> = self.buffer.drain(..head_end).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.trim_end().split("\r\n");
        let mut message = Message {
            start: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            let (name, value) = line.split_once(':').unwrap_or((line, ""));
            message
                .headers
                .push((name.trim().to_ascii_lowercase(), value.trim().to_owned()));
        }
        on_head(&message);
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        let length = message
            .header("content-length")
            .and_then(|value| value.parse::<usize>().ok());
        let has_no_body = is_response && matches!(message.status(), 100..=199 | 204 | 304);
        message.body = match length {
            _ if has_no_body => Vec::new(),
            _ if is_chunked => self.chunks()?,
            Some(length) => self.take(length)?,
            None if is_response => self.rest()?,
            None => Vec::new(),
        };
        Ok(message)
    }

    fn take(&mut self, length: usize) -> Result<Vec<u8>, Failure> {
        while self.buffer.len() < length {
            let received = self.buffer.len();
            match self.fill() {
                Ok(0) => {
                    return Err(Failure::Truncated {
                        received,
                        expected: length,
                    });
                }
                Ok(_) => {}
                Err(error) => {
                    return Err(Failure::Broken(format!(
                        "{error} after {received} of {length} bytes"
                    )));
                }
            }
        }
        Ok(self.buffer.drain(..length).collect())
    }

    fn chunks(&mut self) -> Result<Vec<u8>, Failure> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                if let Some(end) = find(&self.buffer, b"\r\n") {
                    break end;
                }
                match self.fill() {
                    Ok(0) => {
                        return Err(Failure::Truncated {
                            received: body.len(),
                            expected: 0,
                        });
                    }
                    Ok(_) => {}
                    Err(error) => {
                        return Err(Failure::Broken(format!(
                            "{error} after {} bytes",
                            body.len()
                        )));
                    }
                }
            };
            let line: Vec<u8> = self.buffer.drain(..end + 2).collect();
            let text = String::from_utf8_lossy(&line).trim().to_owned();
            let Ok(size) = usize::from_str_radix(&text, 16) else {
                return Err(Failure::Broken(format!(
                    "{text:?} is not the size of a chunk"
                )));
            };
            body.extend(self.take(size)?);
            self.take(2)?;
            if size == 0 {
                return Ok(body);
            }
        }
    }

    fn rest(&mut self) -> Result<Vec<u8>, Failure> {
        loop {
            match self.fill() {
                Ok(0) => return Ok(std::mem::take(&mut self.buffer)),
                Ok(_) => {}
                Err(error) => {
                    return Err(Failure::Broken(format!(
                        "{error} after {} bytes",
                        self.buffer.len()
                    )));
                }
            }
        }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut part = [0; 16 << 10];
        loop {
            match self.source.read(&mut part) {
                Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
                read => {
                    let read = read?;
                    self.buffer.extend_from_slice(&part[..read]);
                    return Ok(read);
                }
            }
        }
    }
}

/// Writes a message without a body.
pub fn write_without_body(
    stream: &mut TcpStream,
    start: &str,
    headers: &[(&str, &str)],
) -> io::Result<()> {
    let lines: String = headers
        .iter()
        .map(|(name, value)| format!("{name}: {value}\r\n"))
        .collect();
    stream.write_all(format!("{start}\r\n{lines}\r\n").as_bytes())
}

/// Writes a message with the length of its body.
pub fn write(
    stream: &mut TcpStream,
    start: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("{start}\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str(&format!("Content-Length: {}\r\n\r\n", body.len()));
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// The part of a path before its query.
pub fn path_of(target: &str) -> &str {
    target.split('?').next().unwrap_or_default()
}

/// A parameter of a query.
pub fn parameter<'a>(target: &'a str, name: &str) -> Option<&'a str> {
    let query = target.split_once('?')?.1;
    let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
    pairs
        .find(|(known, _)| *known == name)
        .map(|(_, value)| value)
}

fn find(bytes: &[u8], wanted: &[u8]) -> Option<usize> {
    bytes
        .windows(wanted.len())
        .position(|window| window == wanted)
}
