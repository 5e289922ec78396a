//! Applies the [`Controller`] of dependent routes to the requests and nested calls of one target.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slog::info;

use crate::calls::dependency::{Arrival, CallEnd, CallId, Change, Controller, Limited, RunEnd};
use crate::calls::metadata::Metadata;
use crate::calls::outcome::Reason;
use crate::shared_state::SharedState;
use crate::units::Priority;

/// Admission of dependent routes at one sidecar.
#[derive(Debug)]
pub struct Dependents {
    shared: Arc<SharedState>,
    /// Locked for a few instructions at a time, and never across an await.
    controller: Mutex<Controller>,
}

/// A request that waits or runs; released on drop.
#[derive(Debug)]
pub struct Admission {
    dependents: Arc<Dependents>,
    route: String,
    priority: Priority,
    slots: u32,
}

/// A call that the target makes; counts as abandoned if it is dropped before its end.
#[derive(Debug)]
pub struct NestedCall {
    dependents: Arc<Dependents>,
    id: CallId,
    end: CallEnd,
}

impl Dependents {
    /// Creates a control that admits all requests.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            controller: Mutex::default(),
        }
    }

    /// Admits a request to a target with `slots` slots.
    ///
    /// # Errors
    ///
    /// [`Reason::Overloaded`] if the calls that its run would make are likely to be refused, or
    /// slow.
    pub fn admit(self: &Arc<Self>, metadata: &Metadata, slots: u32) -> Result<Admission, Reason> {
        let arrival = Arrival {
            route: &metadata.route,
            priority: metadata.priority,
            slots,
        };
        let admitted = self.controller().admit(Instant::now(), arrival);
        self.log_changes();
        if !admitted {
            metrics::counter!("jackdaw_dependency_refusals_total").increment(1);
            return Err(Reason::Overloaded);
        }
        Ok(Admission {
            dependents: Arc::clone(self),
            route: metadata.route.clone(),
            priority: metadata.priority,
            slots,
        })
    }

    /// Records that the target makes a call.
    pub fn begin_call(self: &Arc<Self>) -> NestedCall {
        NestedCall {
            dependents: Arc::clone(self),
            id: self.controller().begin_call(Instant::now()),
            end: CallEnd::Abandoned,
        }
    }

    /// The routes that are limited.
    #[must_use]
    pub fn limited(&self) -> Vec<Limited> {
        self.controller().limited().collect()
    }

    fn log_changes(&self) {
        let changes = self.controller().take_changes();
        for Change { route, limit } in changes {
            if self.shared.log_limiter.admit(Instant::now()) {
                info!(self.shared.logger, "route limited by its nested calls"; "route" => route,
                    "in_flight" => limit);
            }
        }
    }

    fn controller(&self) -> MutexGuard<'_, Controller> {
        self.controller
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Admission {
    /// Records that no slot was free for the request.
    pub fn record_refusal(&self) {
        self.dependents
            .controller()
            .record_refusal(Instant::now(), self.arrival());
    }

    /// Records the end of the run that began at `began`.
    pub fn end_run(&self, began: Instant, end: RunEnd) {
        let now = Instant::now();
        let wasted = self
            .dependents
            .controller()
            .end_run(now, &self.route, began, end);
        if wasted {
            metrics::counter!("jackdaw_wasted_runs_total").increment(1);
        }
        self.dependents.log_changes();
    }

    fn arrival(&self) -> Arrival<'_> {
        Arrival {
            route: &self.route,
            priority: self.priority,
            slots: self.slots,
        }
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        self.dependents.controller().release(&self.route);
    }
}

impl NestedCall {
    /// Records how long the answered call waited for a slot, or why it was not answered.
    pub fn finish(mut self, result: Result<Duration, Reason>) {
        self.end = match result {
            Ok(waited) => CallEnd::Answered { waited },
            Err(Reason::Overloaded | Reason::Shed | Reason::Expired | Reason::TimedOut) => {
                CallEnd::Refused
            }
            Err(_) => CallEnd::Abandoned,
        };
    }
}

impl Drop for NestedCall {
    fn drop(&mut self) {
        let now = Instant::now();
        self.dependents
            .controller()
            .end_call(now, self.id, self.end);
    }
}
