//! Calls: the path of a request from its caller to a target and back.
//!
//! The ingress is the daemon that receives a caller's request. It finds the request's [`route`],
//! [`pick`]s an upstream by its [`latency`] and [`pace`], and forwards the request with its
//! [`metadata`] to the sidecar, the daemon beside the target. The sidecar's concurrency [`limit`]
//! bounds the requests at the target, and a [`pacer`] the rate at which they start if the target
//! names one in a [`notice`]; [`wait`] bounds how long a request may wait for that. An [`overrun`] bounds
//! what follows of a response after the deadline. While a daemon stops, it takes late requests by the [`tail`] of
//! their route. Only the ingress may [`retry`]. The response names
//! the [`outcome`]. Header names and conventions are those of a [`dialect`]. The number of callers'
//! [`connections`] is limited where they are accepted. Requests that follow each other on a
//! connection pass through its [`pipeline`].

pub mod admission;
pub(crate) mod attempt;
pub(crate) mod balancer;
pub(crate) mod call;
pub(crate) mod callers;
pub mod connections;
pub mod dialect;
pub(crate) mod dispatch;
pub mod executor;
pub(crate) mod head_limit;
pub(crate) mod http_server;
pub(crate) mod ingress;
pub mod latency;
pub mod limit;
pub mod log_rate;
pub mod metadata;
pub mod nesting;
pub mod notice;
pub(crate) mod observed;
pub mod outcome;
pub mod overrun;
pub mod pace;
pub mod pacer;
pub mod pick;
pub mod pipeline;
pub(crate) mod recorder;
pub mod retry;
pub mod route;
pub(crate) mod sidecar;
pub(crate) mod statistics;
pub(crate) mod stream;
pub mod tail;
pub(crate) mod throttle;
pub mod transit_delay;
pub(crate) mod validator;
pub mod wait;
