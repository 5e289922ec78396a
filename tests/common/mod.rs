//! Helpers shared by several tests.
#![allow(dead_code, reason = "each test file uses a part of it")]

use jackdawpulley::configuration::document::{
    Bounds, Class, Document, Ejection, Group, Guard, Retry, Route,
};
use jackdawpulley::units::{Millis, Percent, Service};
use proptest::test_runner::{Config, RngSeed};

/// Configuration of property tests that run the same cases each time.
pub fn deterministic_config(cases: u32) -> Config {
    Config {
        cases,
        rng_seed: RngSeed::Fixed(0x6a61_636b),
        failure_persistence: None,
        ..Config::default()
    }
}

/// A valid document that differs from others in `number`.
pub fn numbered_document(number: u64) -> Document {
    Document {
        routes: vec![route("all", "/", "shelf")],
        groups: vec![group("shelf")],
        retries: vec![Retry {
            name: "once".into(),
            attempts: 1,
            budget: Percent(0),
            backoff_ms: Millis(number),
        }],
        teams: Vec::new(),
        bounds: Bounds::default(),
    }
}

/// A document whose route refers to a missing group.
pub fn invalid_document() -> Document {
    Document {
        groups: Vec::new(),
        ..numbered_document(0)
    }
}

pub fn route(name: &str, path: &str, group: &str) -> Route {
    Route {
        name: name.into(),
        host: None,
        method: None,
        path: path.into(),
        group: group.into(),
        below: false,
        split: Vec::new(),
        retry: "once".into(),
        timeout_ms: Millis(1_000),
        class: Class::Interactive,
        priority: None,
        latency_ms: None,
        repeatable: false,
        guard: Guard::Memory,
        public: false,
    }
}

pub fn group(name: &str) -> Group {
    Group {
        name: name.into(),
        service: Service::from(name),
        slots: None,
        connections: None,
        health_path: None,
        queue: 4,
        slow_start_ms: Millis(0),
        ejection: Ejection::default(),
    }
}
