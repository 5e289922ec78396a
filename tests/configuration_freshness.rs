//! Watermarks: how they are merged and reported, and the timing of reads.

mod common;

use std::time::{Duration, Instant};

use common::fixed;
use jackdawpulley::configuration::control_plane::Position;
use jackdawpulley::configuration::freshness::{Freshness, Limits, Report};
use jackdawpulley::units::{Generation, Millis, Offset};
use proptest::prelude::*;

fn position(generation: u64, offset: u64) -> Position {
    Position {
        generation: Generation(generation),
        offset: Offset(offset),
    }
}

fn report(age: u64, offset: u64) -> Report {
    Report {
        age: Millis(age),
        next: position(0, offset),
    }
}

#[test]
fn most_recent_watermark_counts() {
    let freshness = Freshness::default();
    let now = Instant::now();
    assert_eq!(freshness.age(now), None);
    freshness.merge_report(&report(70, 4), true, now);
    freshness.merge_report(&report(90, 4), true, now);
    assert_eq!(freshness.age(now), Some(Millis(70)));
    freshness.record_read(position(0, 5), Some(now));
    assert_eq!(freshness.age(now), Some(Millis(0)));
    assert!(freshness.latest().own);
}

/// Guards against a page that ends before the newest record and is taken for the end of the records.
#[test]
fn partial_page_keeps_the_time() {
    let freshness = Freshness::default();
    let now = Instant::now();
    freshness.record_read(position(0, 5), Some(now));
    freshness.record_read(position(0, 9), None);
    let latest = freshness.latest();
    assert_eq!(latest.as_of, Some(now));
    assert_eq!(latest.next, Some(position(0, 9)));
}

/// Guards against a roll-out order that only one reader knows, and that all others would skip if they
/// adopted its position.
#[test]
fn incomplete_report_keeps_the_position() {
    let freshness = Freshness::default();
    let now = Instant::now();
    freshness.merge_report(&report(50, 4), true, now);
    freshness.merge_report(&report(20, 5), false, now);
    assert_eq!(freshness.age(now), Some(Millis(20)));
    assert_eq!(freshness.latest().next, Some(position(0, 4)));
}

/// Guards against an offset of an earlier generation from which reads continue in a later one.
#[test]
fn earlier_generation_is_ignored() {
    let freshness = Freshness::default();
    let now = Instant::now();
    freshness.record_read(position(1, 3), Some(now));
    freshness.merge_report(&report(0, 9), true, now + Duration::from_secs(1));
    assert_eq!(freshness.latest().next, Some(position(1, 3)));
}

#[test]
fn report_carries_the_age() {
    let freshness = Freshness::default();
    let now = Instant::now();
    freshness.record_read(position(0, 4), Some(now));
    let sent = freshness
        .latest()
        .report(now + Duration::from_millis(70))
        .expect("has a watermark");
    let (receiver, later) = (Freshness::default(), now + Duration::from_secs(5));
    receiver.merge_report(&sent, true, later);
    assert_eq!(receiver.age(later), Some(Millis(70)));
    assert!(!receiver.latest().own);
}

/// Guards against a report whose age overflows and makes the daemon panic.
#[test]
fn huge_age_is_ignored() {
    let freshness = Freshness::default();
    let now = Instant::now();
    freshness.merge_report(&report(u64::MAX, u64::MAX), false, now);
    freshness.merge_report(&report(10, 4), true, now);
    assert_eq!(freshness.age(now), Some(Millis(10)));
}

proptest! {
    #![proptest_config(fixed(256))]

    /// A reader's request ends before the watermark is stale, and two retries after that fit into the bound.
    #[test]
    fn retries_fit_into_the_bound(bound in 100_u64..60_000) {
        let limits = Limits::within(Millis(bound));
        let bound = Duration::from_millis(bound);
        prop_assert!(limits.wait.duration() < limits.stale);
        prop_assert!(limits.stale + limits.spread + 2 * limits.retry < bound);
    }

    /// In whatever order reports arrive, the most recent time and the highest position count.
    #[test]
    fn order_of_reports_does_not_matter(ages in proptest::collection::vec((0_u64..50, 0_u64..9), 1..20)) {
        let now = Instant::now();
        let freshness = Freshness::default();
        for (age, offset) in &ages {
            freshness.merge_report(&report(*age, *offset), true, now);
        }
        let youngest = ages.iter().map(|(age, _)| *age).min().map(Millis);
        let furthest = ages.iter().map(|(_, offset)| position(0, *offset)).max();
        prop_assert_eq!(freshness.age(now), youngest);
        prop_assert_eq!(freshness.latest().next, furthest);
    }
}
