//! What targets say of themselves in their responses.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use http::{HeaderMap, HeaderValue};
use jackdawpulley::calls::dialect::Dialect;
use jackdawpulley::calls::metadata::{Metadata, read_metadata, write_metadata};
use jackdawpulley::calls::notice::{
    Fault, Memory, NamedLimit, Notice, Tag, read_limit, says_leaving,
};
use jackdawpulley::configuration::document::Guard;
use jackdawpulley::quarantine::fingerprint::Fingerprint;
use jackdawpulley::units::{Instance, Millis, ParseRateError, Priority, Rate, Service, StartTime};

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("finite and not negative")
}

fn notice(instance: &str, start_time: Option<u64>, limit: f64) -> Notice {
    let start_time = start_time.map(StartTime);
    Notice {
        process: Tag::new(Some(&Instance::from(instance)), start_time),
        limit: Some(rate(limit)),
        leaving: false,
    }
}

/// Response headers that name each of these limits.
fn headers(limits: &[&[u8]]) -> HeaderMap {
    let mut headers = HeaderMap::new();
    for limit in limits {
        let value = HeaderValue::from_bytes(limit).expect("a header value");
        headers.append(Dialect::default().limit, value);
    }
    headers
}

fn read(limits: &[&[u8]]) -> Result<Option<Rate>, Fault> {
    read_limit(&headers(limits), &Dialect::default())
}

#[test]
fn decimals_are_read() {
    for (text, expected) in [
        ("27.4", 27.4),
        ("0", 0.0),
        (" 5 ", 5.0),
        ("0.5", 0.5),
        ("007", 7.0),
    ] {
        assert_eq!(read(&[text.as_bytes()]), Ok(Some(rate(expected))), "{text}");
    }
    assert_eq!(read(&[]), Ok(None));
}

#[test]
fn faults_are_typed() {
    let cases = [
        ("", ParseRateError::Empty),
        ("-1", ParseRateError::NotDecimal),
        ("nan", ParseRateError::NotDecimal),
        ("inf", ParseRateError::NotDecimal),
        ("1e999", ParseRateError::NotDecimal),
        ("5, 9", ParseRateError::NotDecimal),
        ("1.2.3", ParseRateError::NotDecimal),
        (".", ParseRateError::NotDecimal),
    ];
    for (text, expected) in cases {
        let fault = read(&[text.as_bytes()]).expect_err(text);
        assert!(
            matches!(&fault, Fault::Value { source, .. } if *source == expected),
            "{fault:?}"
        );
    }
    let digits = "9".repeat(400);
    let fault = read(&[digits.as_bytes()]).expect_err("too large");
    let source = ParseRateError::TooLarge;
    assert!(
        matches!(&fault, Fault::Value { source: found, .. } if *found == source),
        "{fault:?}"
    );
    assert_eq!(read(&[b"\xff"]), Err(Fault::Encoding));
    assert_eq!(read(&[b"5", b"9"]), Err(Fault::Repeated { count: 2 }));
}

#[test]
fn leaving_is_read() {
    let dialect = Dialect::default();
    for (value, expected) in [
        ("1", true),
        (" 1", true),
        ("0", false),
        ("yes", false),
        ("", false),
    ] {
        let mut headers = HeaderMap::new();
        headers.insert(&dialect.leaving, HeaderValue::from_static(value));
        assert_eq!(says_leaving(&headers, &dialect), expected, "{value:?}");
    }
    assert!(!says_leaving(&HeaderMap::new(), &dialect));
}

/// Guards against log lines as long as the value that a target sends.
#[test]
fn long_values_are_cut() {
    let fault = read(&["x".repeat(60_000).as_bytes()]).expect_err("not a number");
    assert!(fault.to_string().len() < 200, "{fault}");
}

#[test]
fn notice_round_trip() {
    for text in [notice("a", Some(7), 0.25), notice("b", None, 1e6)] {
        assert_eq!(text.to_string().parse(), Ok(text));
    }
    let leaving = Notice {
        limit: None,
        leaving: true,
        ..notice("c", Some(1), 1.0)
    };
    assert_eq!(leaving.to_string().parse(), Ok(leaving));
    for text in ["", "1,2,0", "1,2,0,x", "z,1,0,2", "1,2,0,3,4", "1,2,0,-3"] {
        assert!(text.parse::<Notice>().is_err(), "{text}");
    }
}

#[test]
fn notice_travels_with_call() {
    let metadata = Metadata {
        id: "id".into(),
        service: Service::from("shelf"),
        group: "shelf".into(),
        route: "all".into(),
        caller_service: Service::default(),
        fingerprint: Fingerprint(1),
        priority: Priority(0),
        sent_ms: 0,
        remaining: Millis(1),
        max_wait: Millis(1),
        repeatable: false,
        key: None,
        guard: Guard::Memory,
        team: String::new(),
        draining: Vec::new(),
        notice: Some(notice("a", None, 7.9)),
        repeat: false,
    };
    let mut headers = HeaderMap::new();
    write_metadata(&mut headers, metadata.clone());
    assert_eq!(read_metadata(&mut headers).expect("valid"), metadata);
    assert!(headers.is_empty(), "the target must not get them");
    // A caller's own header is not taken for a notice.
    let without = Metadata {
        notice: None,
        ..metadata
    };
    headers.insert("x-jackdaw-notice", HeaderValue::from_static("1,2,0,3"));
    write_metadata(&mut headers, without.clone());
    assert_eq!(read_metadata(&mut headers).expect("valid"), without);
}

/// Guards against a response without a limit, sent before the limit was named, that ends it.
#[test]
fn overtaken_response_ends_nothing() {
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut limit = NamedLimit::default();
    limit.record(Some(rate(5.0)), at(100), at(300));
    limit.record(None, at(200), at(400));
    assert_eq!(limit.rate(), Some(rate(5.0)));
    limit.record(None, at(301), at(500));
    assert_eq!(limit.rate(), None);
}

#[test]
fn limit_follows_responses() {
    let now = Instant::now();
    let mut limit = NamedLimit::adopted(rate(5.0));
    limit.record(Some(rate(2.0)), now, now);
    assert_eq!(limit.rate(), Some(rate(2.0)));
    limit.record(Some(rate(9.0)), now, now);
    assert_eq!(limit.rate(), Some(rate(9.0)));
    let mut adopted = NamedLimit::adopted(rate(5.0));
    adopted.record(None, now, now);
    assert_eq!(adopted.rate(), None);
}

/// Guards against a limit of an ended process that is taken for that of the next one.
#[test]
fn processes_are_told_apart() {
    let tag = |instance: &str, start_time: Option<u64>| notice(instance, start_time, 1.0).process;
    assert!(tag("a", Some(10)).may_be(tag("a", None)));
    assert!(!tag("a", Some(10)).may_be(tag("a", Some(20))));
    assert!(!tag("a", Some(10)).may_be(tag("b", Some(10))));
    assert!(Tag::default().is_anonymous());
}

#[test]
fn memory_holds_latest_notice() {
    let peer: SocketAddr = "127.0.0.1:7000".parse().expect("an address");
    let start = Instant::now();
    let at = |ms| start + Duration::from_millis(ms);
    let mut memory = Memory::default();
    memory.record(peer, Some(notice("a", None, 5.0)), at(0), at(10));
    memory.record(peer, None, at(5), at(20));
    assert_eq!(
        memory.get(peer),
        Some(notice("a", None, 5.0)),
        "it was sent before"
    );
    memory.record(peer, Some(notice("a", None, 3.0)), at(15), at(30));
    assert_eq!(memory.get(peer), Some(notice("a", None, 3.0)));
    memory.record(peer, None, at(31), at(40));
    assert_eq!(memory.get(peer), None);
    let anonymous = Notice {
        process: Tag::default(),
        limit: Some(rate(1.0)),
        leaving: true,
    };
    memory.record(peer, Some(anonymous), at(50), at(60));
    assert_eq!(memory.get(peer), None);
}
