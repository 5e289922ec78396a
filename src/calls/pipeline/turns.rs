//! Order of the responses on a connection.
//!
//! [`Turns`] holds the calls that were started early until it is their turn, and decides when a
//! response may close the connection. It is a state machine without I/O.

use std::collections::VecDeque;

use crate::calls::pipeline::MAX_STARTED;

/// Requests of a connection, in order.
#[derive(Debug)]
pub struct Turns<T> {
    /// Requests that hyper has read.
    taken: u64,
    /// Requests whose responses are written.
    answered: u64,
    /// Calls started early, with the numbers of their requests, in order.
    started: VecDeque<(u64, T)>,
    is_closing: bool,
}

/// What a response asks of its connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ending {
    /// Nothing.
    Stay,
    /// To be closed if no request stands behind it.
    CloseIfLast,
    /// To be closed.
    Close,
}

/// State of a request that hyper has got.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Progress {
    /// hyper has found another number of requests in what it has got.
    Differs,
    /// Its response is not yet written.
    InService,
    /// Its response is written.
    Answered,
}

impl<T> Default for Turns<T> {
    fn default() -> Self {
        Self {
            taken: 0,
            answered: 0,
            started: VecDeque::new(),
            is_closing: false,
        }
    }
}

impl<T> Turns<T> {
    /// Whether one more call may be started early.
    #[must_use]
    pub fn has_room(&self) -> bool {
        self.started.len() < MAX_STARTED
    }

    /// Whether the connection closes after the calls that have been started.
    #[must_use]
    pub const fn is_closing(&self) -> bool {
        self.is_closing
    }

    /// Whether calls started early wait for their turn.
    #[must_use]
    pub fn is_waiting(&self) -> bool {
        !self.started.is_empty()
    }

    /// Adds the call of a request that was started early.
    pub fn start(&mut self, number: u64, call: T) {
        self.started.push_back((number, call));
    }

    /// Records that hyper has read the next request; returns its call if it was started early.
    pub fn take(&mut self) -> Option<T> {
        self.taken += 1;
        let is_next = self.started.front().is_some_and(|(n, _)| *n == self.taken);
        let (_, call) = self.started.pop_front_if(|_| is_next)?;
        Some(call)
    }

    /// Records that a response has been written.
    pub const fn answer(&mut self) {
        self.answered += 1;
    }

    /// State of a request that hyper has got.
    #[must_use]
    pub const fn progress(&self, number: u64) -> Progress {
        if self.taken != number {
            Progress::Differs
        } else if self.answered == number {
            Progress::Answered
        } else {
            Progress::InService
        }
    }

    /// Starts no further calls and closes the connection after those that have been started.
    pub const fn close(&mut self) {
        self.is_closing = true;
    }

    /// Removes all calls that wait for their turn, and starts no further ones.
    pub fn clear(&mut self) -> VecDeque<(u64, T)> {
        std::mem::take(&mut self.started)
    }

    /// Whether the response that is written now closes the connection. `is_followed` tells whether
    /// bytes have been received behind its request.
    ///
    /// Callers send the requests behind such a response again. Calls that have been started are
    /// answered first, so that they are not run twice.
    pub fn closes(&mut self, ending: Ending, is_followed: bool) -> bool {
        let is_waiting = self.is_waiting();
        self.is_closing |= match ending {
            Ending::Stay => false,
            Ending::CloseIfLast => !is_waiting && !is_followed,
            Ending::Close => true,
        };
        self.is_closing && !is_waiting
    }
}
