//! Reading from sockets through a buffer that the connections of a thread share.
//!
//! Thousands of idle connections need no buffers of their own.

use std::cell::RefCell;
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};

use tokio::io::{AsyncRead, ReadBuf};
use tokio::net::TcpStream;

/// Largest number of bytes that are read at a time.
const BYTES: usize = 64 << 10;

thread_local! {
    static BUFFER: RefCell<Box<[u8]>> = RefCell::new(vec![0; BYTES].into_boxed_slice());
}

/// Reads up to `room` bytes from a socket and returns what `take` makes of them, 0 at its end.
pub fn poll_read(
    stream: &mut TcpStream,
    cx: &mut Context<'_>,
    room: usize,
    take: impl FnOnce(&[u8]) -> usize,
) -> Poll<io::Result<usize>> {
    BUFFER.with_borrow_mut(|buffer| {
        let room = room.min(buffer.len());
        let mut read = ReadBuf::new(&mut buffer[..room]);
        ready!(Pin::new(stream).poll_read(cx, &mut read))?;
        let data = read.filled();
        Poll::Ready(Ok(if data.is_empty() { 0 } else { take(data) }))
    })
}
