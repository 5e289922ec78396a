//! The little of HTTP/1.1 that the stand-ins need.

use std::io::{self, BufRead, BufReader, Read};
use std::net::TcpStream;

/// Head of a message: its first line and its headers.
#[derive(Debug, Clone, Default)]
pub struct Head {
    pub first: String,
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// First value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Part of the first line.
    pub fn word(&self, index: usize) -> &str {
        self.first.split(' ').nth(index).unwrap_or("")
    }

    /// Status of a response; 0 if the line is not a status line.
    pub fn status(&self) -> u16 {
        if !self.first.starts_with("HTTP/1.1 ") {
            return 0;
        }
        self.word(1).parse().unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    head.first = line.trim_end().to_owned();
    loop {
        line.clear();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let text = line.trim_end();
        if text.is_empty() {
            return Ok(Some(head));
        }
        if let Some((name, value)) = text.split_once(':') {
            head.headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
}

/// Reads a body by its framing; `to_end` if one without framing ends with the connection.
pub fn read_body(
    reader: &mut BufReader<TcpStream>,
    head: &Head,
    to_end: bool,
) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    let is_chunked = head
        .get("transfer-encoding")
        .is_some_and(|v| v.eq_ignore_ascii_case("chunked"));
    if is_chunked {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or("");
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let mut chunk = vec![0; size + 2];
            if size == 0 {
                reader.read_exact(&mut chunk)?;
                return Ok(body);
            }
            reader.read_exact(&mut chunk)?;
            chunk.truncate(size);
            body.extend(chunk);
        }
    }
    match head.get("content-length").and_then(|v| v.parse().ok()) {
        Some(length) => {
            body = vec![0; length];
            reader.read_exact(&mut body)?;
        }
        None if to_end => _ = reader.read_to_end(&mut body)?,
        None => {}
    }
    Ok(body)
}
