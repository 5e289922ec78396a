//! Configuration delivery and call routing for a service mesh of long-lived sessions.
//!
//! One small daemon runs beside each target. Operators publish a [`document`](configuration::document) of routes, upstream
//! groups and retry rules to an append-only [`log`](configuration::log); the
//! [`replica`](configuration::replica) of the log decides, identically on every daemon, which edits are accepted. A few
//! daemons of each data centre read the log and relay versions to the other daemons as
//! [`delta`](configuration::delta)s. Daemons find each other by the [`membership`] protocol, a
//! [`view`](membership::view) of [`member`](membership::member)s, without a static list.
//!
//! A caller sends its request to any daemon, the *ingress*. It identifies the caller's team by its key
//! if there are [`teams`], admits the request by the team's [`quota`], [`route`](calls::route)s it,
//! [`pick`](calls::pick)s an upstream and forwards the request to the daemon beside that target, the
//! *sidecar*, which [`limit`](calls::limit)s concurrency, enforces idempotency [`keys`](idempotency::keys)
//! and dispatches the request. Only the ingress may [`retry`](calls::retry). The response tells the caller
//! the [`outcome`](calls::outcome): answered, provably not run, or unknown. A request that crashes targets
//! is put in [`quarantine`]; a [`rollout`] moves a service's requests to a new revision step by step. A response
//! is used only if its [head](response_head) is valid, and a daemon that stops keeps to a [schedule](drain).
//!
//! Decisions are made by state machines that get time, randomness and messages as arguments, so that
//! other programs can embed them:
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
//! // Two operators publish concurrently; both edits are based on version 0, and exactly one is accepted.
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
//! [`daemon`] and [`ctl`](operation::ctl) are the two programs; the files in `src/bin/` only call them.

pub mod authority;
pub mod backoff;
pub mod calls;
pub mod clock;
pub mod configuration;
pub mod daemon;
pub mod drain;
pub mod extension;
pub mod http_client;
pub mod idempotency;
pub mod linger;
pub mod membership;
pub mod operation;
pub mod quarantine;
pub mod quota;
pub mod response_head;
pub mod rollout;
pub mod settings;
pub mod shared_state;
pub mod teams;
pub mod telemetry;
pub mod units;
pub mod wire;

mod error;
mod peer;
mod scratch;
mod shutdown;

pub use configuration::document::Document;
pub use error::{Error, Result};
