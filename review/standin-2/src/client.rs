//! A client that reads answers as RFC 9112 says.

use std::io::{self, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

use crate::http::{self, Head};

/// An answer, whole.
#[derive(Debug, Clone)]
pub struct Answer {
    pub status: u16,
    pub head: Head,
    pub body: Vec<u8>,
    pub took: Duration,
}

impl Answer {
    /// Identifier of the request that it answers.
    pub fn id(&self) -> &str {
        self.head.get("x-jackdawpulley-request-id").unwrap_or("")
    }

    /// Signature of the upstream.
    pub fn signature(&self) -> Option<&str> {
        self.head.get("x-jackdawpulley-response-signature")
    }
}

/// A connection that is kept for several requests.
pub struct Connection {
    stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Connection {
    /// Opens a connection.
    pub fn open(address: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        let reader = BufReader::new(stream.try_clone()?);
        Ok(Self { stream, reader })
    }

    /// Sends a request.
    pub fn send(&mut self, request: &[u8]) -> io::Result<()> {
        self.stream.write_all(request)
    }

    /// The stream, of which nothing has been read.
    pub fn into_stream(self) -> TcpStream {
        self.stream
    }

    /// Reads an answer.
    pub fn read(&mut self, timeout: Duration) -> io::Result<Answer> {
        let began = Instant::now();
        self.stream.set_read_timeout(Some(timeout))?;
        let head = http::read_head(&mut self.reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
        let status = head.status();
        if status == 0 {
            let text = format!("not an answer: {:?}", head.first);
            return Err(io::Error::new(io::ErrorKind::InvalidData, text));
        }
        let body = http::read_body(&mut self.reader, &head, true)?;
        Ok(Answer {
            status,
            head,
            body,
            took: began.elapsed(),
        })
    }

    /// Bytes that arrive within a time although no request is waiting.
    pub fn surplus(&mut self, wait: Duration) -> Vec<u8> {
        let _ = self.stream.set_read_timeout(Some(wait));
        let mut bytes = vec![0; 4_096];
        let length = self.reader.read(&mut bytes).unwrap_or(0);
        bytes.truncate(length);
        bytes
    }
}

/// Sends one request on a new connection and reads its answer.
pub fn exchange(address: SocketAddr, request: &[u8], timeout: Duration) -> io::Result<Answer> {
    let mut connection = Connection::open(address)?;
    connection.send(request)?;
    connection.read(timeout)
}

/// A request without a body.
pub fn request(method: &str, path: &str, id: &str, deadline_ms: u64, more: &str) -> Vec<u8> {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {}\r\nX-Jackdawpulley-Request-Id: {id}\r\n\
         X-Jackdawpulley-Deadline-Ms: {deadline_ms}\r\n{more}\r\n",
        crate::HOST
    )
    .into_bytes()
}
