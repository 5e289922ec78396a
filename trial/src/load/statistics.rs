//! Statistics of the calls of a run.

use std::fmt;

use hdrhistogram::Histogram;
use serde::Serialize;

use crate::measure::converge::as_f64;

use super::kind::{Kind, LATE_WORTH};

/// Result of a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// Answered after this many milliseconds.
    Answered(u64),
    /// Refused, also when it was retried.
    Refused,
    /// Failed because a nested call failed or the time-out had passed.
    Failed,
}

/// Statistics of one kind of call.
#[derive(Debug, Clone)]
pub struct Statistics {
    sent: u64,
    timely: u64,
    late: u64,
    refused: u64,
    failed: u64,
    times: Histogram<u64>,
}

/// Statistics of one kind of call, as reported.
#[derive(Debug, Clone, Serialize)]
pub struct Row {
    /// Name of the kind.
    pub kind: &'static str,
    /// Calls sent.
    pub sent: u64,
    /// Responses in time.
    pub timely: u64,
    /// Late responses.
    pub late: u64,
    /// Calls refused in the end.
    pub refused: u64,
    /// Calls that failed.
    pub failed: u64,
    /// Credit earned, as a share of the credit of all calls.
    pub credit: f64,
    /// Median time to a response, in milliseconds.
    pub p50_ms: u64,
    /// 99th percentile of the time to a response, in milliseconds.
    pub p99_ms: u64,
}

impl Statistics {
    /// Creates empty statistics.
    ///
    /// # Panics
    ///
    /// Never: the histogram's precision is fixed.
    #[must_use]
    pub fn new() -> Self {
        Self {
            sent: 0,
            timely: 0,
            late: 0,
            refused: 0,
            failed: 0,
            times: Histogram::new(3).expect("three digits are valid"),
        }
    }

    /// Counts a call and returns its credit, as a share of the full credit.
    pub fn count(&mut self, kind: &Kind, end: End) -> f64 {
        self.sent += 1;
        match end {
            End::Answered(ms) => {
                self.times.saturating_record(ms.max(1));
                if ms <= kind.aim.0 {
                    self.timely += 1;
                    return 1.0;
                }
                self.late += 1;
                LATE_WORTH
            }
            End::Refused => {
                self.refused += 1;
                0.0
            }
            End::Failed => {
                self.failed += 1;
                0.0
            }
        }
    }

    /// Numbers of answered calls and of late ones among them.
    #[must_use]
    pub const fn answered(&self) -> (u64, u64) {
        (self.timely + self.late, self.late)
    }

    /// Summarizes the statistics for a report.
    #[must_use]
    pub fn row(&self, kind: &Kind) -> Row {
        let earned = as_f64(self.timely) + LATE_WORTH * as_f64(self.late);
        Row {
            kind: kind.name,
            sent: self.sent,
            timely: self.timely,
            late: self.late,
            refused: self.refused,
            failed: self.failed,
            credit: earned / as_f64(self.sent.max(1)),
            p50_ms: self.times.value_at_quantile(0.50),
            p99_ms: self.times.value_at_quantile(0.99),
        }
    }
}

impl Default for Statistics {
    fn default() -> Self {
        Self::new()
    }
}

impl fmt::Display for Row {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            f,
            "{:<10} {:>6} {:>7} {:>6} {:>7} {:>7} {:>7.3} {:>7} {:>7}",
            self.kind,
            self.sent,
            self.timely,
            self.late,
            self.refused,
            self.failed,
            self.credit,
            self.p50_ms,
            self.p99_ms
        )
    }
}
