//! Configuration delivery and call routing for a service mesh of long-lived sessions.
//!
//! One small daemon runs beside each target. Operators publish a [`document`] of routes, upstream
//! groups and retry rules to an append-only [`log`]; the [`fold`] of the log decides, alike on
//! every daemon, which edits are accepted. A few daemons of each data centre read the log and
//! relay versions to the others as [`delta`]s. Daemons find each other by the membership
//! protocol, a [`view`] of [`member`]s, without a list.
//!
//! A caller reaches any daemon, the *entry*. It [`route`]s the request, [`pick`]s an upstream and
//! hands the request to the daemon beside that target, the *gate*, which [`limit`]s the work,
//! guards idempotency [`keys`] and dispatches. Only the entry may [`retry`], and the caller is
//! told the [`outcome`]: answered, provably not run, or unknown.
//!
//! The decisions are plain state machines that get time, randomness and messages as arguments, so
//! that others can embed them:
//!
//! ```
//! use jackdawpulley::document::Document;
//! use jackdawpulley::fold::{Base, Content, Edit, Fold, Record, Verdict};
//! use jackdawpulley::units::{Offset, Version};
//!
//! let text = br#"{
//!     "routes": [{ "name": "titles", "path": "/titles", "group": "shelf", "retry": "reads" }],
//!     "groups": [{ "name": "shelf", "service": "shelf" }],
//!     "retries": [{ "name": "reads", "attempts": 3 }]
//! }"#;
//! let document = Document::parse(text)?;
//!
//! // Two operators race; both edits are based on version 0, and exactly one is accepted.
//! let edit = |id: &str| Record::Edit(Edit {
//!     id: id.into(),
//!     base: Base::Version(Version(0)),
//!     content: Content::Whole(document.clone()),
//! });
//! let mut fold = Fold::new();
//! assert_eq!(fold.apply(Offset(0), &edit("a")), Verdict::Accepted { version: Version(1) });
//! assert_eq!(fold.apply(Offset(1), &edit("b")), Verdict::Conflict { current: Version(1) });
//! # Ok::<(), jackdawpulley::Error>(())
//! ```
//!
//! [`daemon`] and [`ctl`] are the two programs; `src/bin/` only calls them.

pub mod backoff;
pub mod board;
pub mod calls;
pub mod clock;
pub mod configuration;
pub mod daemon;
pub mod extension;
pub mod http_client;
pub mod idempotency;
pub mod membership;
pub mod operation;
pub mod quarantine;
pub mod rollout;
pub mod settings;
pub mod telemetry;
pub mod units;
pub mod wire;

mod error;
mod peer;
mod stop;

pub use calls::{
    connections, dialect, handover, limit, lines, origins, outcome, pace, patience, pick, retry,
    route,
};
pub use configuration::{check, delta, document, exchange, fault, floor, fold, log, origin};
pub use document::Document;
pub use error::{Error, Result};
pub use idempotency::{keys, ledger};
pub use membership::{announce, census, datagram, entries, member, target, timing, view};
pub use operation::ctl;
pub use quarantine::{crash, evidence, fingerprint, note, running, shared};

use calls::{
    answer, attempt, call, callers, choice, dispatch, entry, experience, gate, http_server, line,
    stream, work,
};
use configuration::{config, publish, reader, relay};
use idempotency::{claim, gates, guard, replay};
use membership::{contacts, greeters, greeting, join, listing, probe, roster, rounds};
use operation::{command, operator, state, survey};
use quarantine::{archive, inspect, keeper};
