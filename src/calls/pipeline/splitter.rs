//! Splitting of a connection's bytes into requests.
//!
//! A [`Splitter`] decides which of the received bytes hyper gets: those of the request in front, as
//! they arrive. It keeps those of the requests behind, and reads their heads. It is a state machine
//! without I/O.
//!
//! ```
//! use jackdawpulley::calls::pipeline::splitter::Splitter;
//!
//! let mut splitter = Splitter::new(16_384);
//! assert_eq!(splitter.receive(b"GET /a HTTP/1.1\r\n\r\nGET /b HTTP/1.1\r\n\r\n"), 19);
//! let ahead = splitter.next_ahead()?.expect("the second request is complete");
//! assert_eq!((ahead.number, ahead.request.uri().path()), (2, "/b"));
//! splitter.release();
//! assert_eq!(splitter.pass(1_000).len(), 19);
//! # Ok::<(), jackdawpulley::calls::pipeline::Stop>(())
//! ```

use bytes::{Buf, Bytes, BytesMut};
use http::Request;

use crate::calls::pipeline::chunks::Position;
use crate::calls::pipeline::head::{self, Length, Scan};
use crate::calls::pipeline::{MAX_KEPT_BYTES, Stop};

/// Bytes of a connection, split into requests.
#[derive(Debug)]
pub struct Splitter {
    /// Largest head that hyper accepts: a call started for a larger one would get no response.
    max_head: usize,
    front: Front,
    /// Number of the request in front, from 1.
    number: u64,
    /// Whether requests behind the one in front may be read ahead.
    is_plain: bool,
    /// Received bytes that are kept: an incomplete head in front, or the requests behind.
    bytes: BytesMut,
    /// Leading bytes that hyper has got: those of an incomplete head.
    passed: usize,
    /// Bytes after those that hyper is to get.
    approved: usize,
    /// Where the next request to be read ahead begins.
    ahead: usize,
    /// Its number.
    ahead_number: u64,
    /// Number of kept bytes with which its head was incomplete.
    incomplete: usize,
    /// Whether it may not be read ahead.
    is_stopped: bool,
}

/// The request in front.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Front {
    /// Its head is not complete.
    Head,
    /// This many bytes of its body are missing.
    Body(u64),
    /// Its chunked body is not complete.
    Chunks(Position),
    /// All of it has been received.
    Whole,
    /// It is not clear where it ends, so that all bytes are passed on.
    Unclear,
}

/// A complete request without a body, behind the one in front.
#[derive(Debug)]
pub struct Ahead {
    /// Its number on the connection, from 1.
    pub number: u64,
    /// Length of its head, in bytes.
    pub length: usize,
    /// The request.
    pub request: Request<()>,
}

impl Splitter {
    /// A splitter for a connection on which hyper accepts heads of up to `max_head` bytes.
    #[must_use]
    pub fn new(max_head: usize) -> Self {
        Self {
            max_head,
            front: Front::Head,
            number: 1,
            is_plain: false,
            bytes: BytesMut::new(),
            passed: 0,
            approved: 0,
            ahead: 0,
            ahead_number: 2,
            incomplete: 0,
            is_stopped: false,
        }
    }

    /// A splitter that passes on all bytes.
    #[must_use]
    pub fn passing_all() -> Self {
        Self {
            front: Front::Unclear,
            ..Self::new(0)
        }
    }

    /// Number of the request in front, from 1.
    #[must_use]
    pub const fn number(&self) -> u64 {
        self.number
    }

    /// Whether hyper has got the whole request in front, and none behind it.
    #[must_use]
    pub fn is_passed(&self) -> bool {
        self.front == Front::Whole && self.approved == 0
    }

    /// Number of kept bytes.
    #[must_use]
    pub fn kept(&self) -> usize {
        self.bytes.len()
    }

    /// Whether kept bytes have not been read ahead.
    #[must_use]
    pub fn has_unread(&self) -> bool {
        self.ahead < self.bytes.len()
    }

    /// Takes bytes from the socket; returns how many of them hyper gets now. The others are kept.
    ///
    /// Must not be called while [`pass`](Self::pass) has bytes.
    pub fn receive(&mut self, data: &[u8]) -> usize {
        debug_assert_eq!(self.approved, 0);
        let earlier = self.bytes.len();
        if earlier == 0 {
            let passed = self.measure(data);
            if self.front == Front::Head {
                self.bytes.extend_from_slice(data);
                self.passed = passed;
            } else {
                self.bytes.extend_from_slice(&data[passed..]);
            }
            return passed;
        }
        self.bytes.extend_from_slice(data);
        if self.front != Front::Head {
            return 0;
        }
        let is_full = self.bytes.len() >= MAX_KEPT_BYTES;
        if !is_full && !head::may_be_complete(&self.bytes, earlier) {
            self.passed = self.bytes.len();
            return data.len();
        }
        let bytes = std::mem::take(&mut self.bytes);
        let length = self.measure(&bytes);
        self.bytes = bytes;
        if self.front == Front::Head {
            self.passed = length;
        } else {
            self.passed = 0;
            self.discard(length);
        }
        length - earlier
    }

    /// Proceeds to the next request, after the response to the one in front.
    pub fn release(&mut self) {
        debug_assert!(self.is_passed());
        self.front = Front::Head;
        self.number += 1;
        if self.ahead == 0 {
            self.ahead_number = self.number + 1;
            self.is_stopped = false;
        }
        if !self.bytes.is_empty() {
            let bytes = std::mem::take(&mut self.bytes);
            self.approved = self.measure(&bytes);
            self.bytes = bytes;
        }
    }

    /// Returns kept bytes that hyper is to get, at most `room`.
    pub fn pass(&mut self, room: usize) -> Bytes {
        let length = self.approved.min(room);
        self.approved -= length;
        if self.front == Front::Head {
            let begin = self.passed;
            self.passed += length;
            Bytes::copy_from_slice(&self.bytes[begin..self.passed])
        } else {
            let passed = Bytes::copy_from_slice(&self.bytes[..length]);
            self.discard(length);
            passed
        }
    }

    /// Passes on all bytes from here on.
    pub fn pass_all(&mut self) {
        self.front = Front::Unclear;
        self.approved = self.bytes.len() - self.passed;
    }

    /// Reads the next request behind the one in front, which hyper must have got; `None` if no
    /// further one is complete.
    ///
    /// # Errors
    ///
    /// Why the next request may not be read ahead, once; after that, there is `None` until it has
    /// been served.
    pub fn next_ahead(&mut self) -> Result<Option<Ahead>, Stop> {
        if !self.is_passed() || !self.is_plain || self.is_stopped {
            return Ok(None);
        }
        let rest = &self.bytes[self.ahead..];
        let earlier = self.incomplete.saturating_sub(self.ahead);
        if rest.is_empty() || (earlier > 0 && !head::may_be_complete(rest, earlier)) {
            self.incomplete = self.bytes.len();
            return Ok(None);
        }
        let extent = match head::scan(rest) {
            Scan::Partial => {
                self.incomplete = self.bytes.len();
                return Ok(None);
            }
            Scan::Complete(extent) if extent.is_plain && extent.head <= self.max_head => extent,
            Scan::Complete(_) => return Err(self.stop(Stop::Unusual)),
            Scan::Unclear => return Err(self.stop(Stop::Unclear)),
        };
        let Some(request) = head::build(&rest[..extent.head]) else {
            return Err(self.stop(Stop::Unclear));
        };
        let number = self.ahead_number;
        self.ahead += extent.head;
        self.ahead_number += 1;
        Ok(Some(Ahead {
            number,
            length: extent.head,
            request,
        }))
    }

    const fn stop(&mut self, reason: Stop) -> Stop {
        self.is_stopped = true;
        reason
    }

    /// Returns how many of `data`, from where the request in front stands, belong to it.
    fn measure(&mut self, data: &[u8]) -> usize {
        match self.front {
            Front::Head => match head::scan(data) {
                Scan::Partial if data.len() < MAX_KEPT_BYTES => data.len(),
                Scan::Partial | Scan::Unclear => self.measure_as(Front::Unclear, data),
                Scan::Complete(extent) => {
                    self.is_plain = extent.is_plain;
                    let body = match extent.body {
                        Length::Known(length) => Front::Body(length),
                        Length::Chunked => Front::Chunks(Position::BEGIN),
                    };
                    extent.head + self.measure_as(body, &data[extent.head..])
                }
            },
            Front::Body(missing) => {
                let present = missing.min(data.len() as u64);
                self.front = match missing - present {
                    0 => Front::Whole,
                    missing => Front::Body(missing),
                };
                usize::try_from(present).unwrap_or(data.len())
            }
            Front::Chunks(position) => {
                let Some((length, position)) = position.proceed(data) else {
                    return self.measure_as(Front::Unclear, data);
                };
                self.front = match position {
                    Position::Ended => Front::Whole,
                    position => Front::Chunks(position),
                };
                length
            }
            Front::Whole => 0,
            Front::Unclear => data.len(),
        }
    }

    fn measure_as(&mut self, front: Front, data: &[u8]) -> usize {
        self.front = front;
        self.measure(data)
    }

    fn discard(&mut self, length: usize) {
        self.bytes.advance(length);
        self.ahead = self.ahead.saturating_sub(length);
        self.incomplete = self.incomplete.saturating_sub(length);
        if self.bytes.is_empty() {
            // An idle connection holds no buffer.
            self.bytes = BytesMut::new();
        }
    }
}
