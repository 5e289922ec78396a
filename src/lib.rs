//! Configuration delivery and call routing for a service mesh of long-lived sessions.
//!
//! One small daemon runs beside each target. Operators publish a [`document`](configuration::document) of routes, upstream
//! groups and retry rules to an append-only [`log`](configuration::log); the
//! [`replica`](configuration::replica) of the log decides, alike on every daemon, which edits are accepted. A few
//! daemons of each data centre read the log and relay versions to the others as
//! [`delta`](configuration::delta)s. Daemons find each other by the [`membership`] protocol, a
//! [`view`](membership::view) of [`member`](membership::member)s, without a list.
//!
//! A caller reaches any daemon, the *entry*. It [`route`](calls::route)s the request,
//! [`pick`](calls::pick)s an upstream and hands the request to the daemon beside that target, the *gate*,
//! which [`limit`](calls::limit)s the work, guards idempotency [`keys`](idempotency::keys) and dispatches.
//! Only the entry may [`retry`](calls::retry), and the caller is told the [`outcome`](calls::outcome):
//! answered, provably not run, or unknown. A request under which targets end goes into [`quarantine`]; a
//! new revision of a service's targets gets its share of the requests by a [`rollout`].
//!
//! The decisions are plain state machines that get time, randomness and messages as arguments, so
//! that others can embed them:
//!
//! ```
//! use jackdawpulley::configuration::document::Document;
//! use jackdawpulley::configuration::replica::{Base, Content, Edit, Record, Replica, Verdict};
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
//! let mut replica = Replica::new();
//! assert_eq!(replica.apply(Offset(0), &edit("a")), Verdict::Accepted { version: Version(1) });
//! assert_eq!(replica.apply(Offset(1), &edit("b")), Verdict::Conflict { current: Version(1) });
//! # Ok::<(), jackdawpulley::Error>(())
//! ```
//!
//! [`daemon`] and [`ctl`](operation::ctl) are the two programs; `src/bin/` only calls them.

pub mod authority;
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

pub use configuration::document::Document;
pub use error::{Error, Result};
