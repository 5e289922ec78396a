//! Requests for missing entries, their filters and responses.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::deterministic_config;
use jackdawpulley::membership::anti_entropy::{Allowance, Due, Filter, Page, Schedule};
use jackdawpulley::membership::datagram::Message;
use jackdawpulley::membership::member::{Health, Member, Stage};
use jackdawpulley::membership::timing::Timing;
use jackdawpulley::membership::view::{Send, View};
use jackdawpulley::units::{DataCentre, Incarnation};
use jackdawpulley::wire;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn member(index: u16) -> Member {
    Member {
        peer: SocketAddr::from(([10, 0, 0, 1], 1_000 + index)),
        operator: SocketAddr::from(([10, 0, 0, 1], 9_000)),
        data_centre: DataCentre::from("eros"),
        incarnation: Incarnation(1_796_000_000_000 + u64::from(index) * 7_919),
        health: Health::Alive,
        stage: Stage::Serving,
        offer: None,
        departures: Vec::new(),
    }
}

fn view(index: u16) -> View {
    View::new(member(index), Timing::default())
}

/// Requests that a view sends at `now`.
fn requests(view: &mut View, now: Instant) -> Vec<Send> {
    let sends = view.tick(now, &mut SmallRng::seed_from_u64(1)).sends;
    let requests = sends.into_iter();
    let is_request = |send: &Send| matches!(send.datagram.message, Message::Missing(_));
    requests.filter(is_request).collect()
}

proptest! {
    #![proptest_config(deterministic_config(100))]

    /// Guards against entries that are sent although they are known, and against many that are not sent
    /// although they are missing.
    #[test]
    fn filter_separates_entries(
        known in prop::collection::vec(any::<u64>(), 1..2_500),
        unknown in prop::collection::vec(any::<u64>(), 500),
        salt: u64,
    ) {
        let filters = Filter::divide(&known, salt, None);
        let contains = |fingerprint: &u64| {
            let filter = filters.iter().find(|filter| filter.covers(*fingerprint));
            filter.is_some_and(|filter| filter.contains(*fingerprint))
        };
        prop_assert!(known.iter().all(contains));
        let mistaken = unknown.iter().filter(|fingerprint| contains(fingerprint)).count();
        prop_assert!(mistaken <= 30, "{mistaken} of 500");
        for filter in &filters {
            prop_assert!(filter.is_valid());
            prop_assert!(wire::encode(filter).len() < 1_150);
        }
    }

    /// Guards against a daemon that fails on, or reserves memory for, whatever a peer claims.
    #[test]
    fn malformed_messages_are_dropped(bytes in prop::collection::vec(any::<u8>(), 0..200)) {
        let mut receiver = view(1);
        receiver.merge(Instant::now(), &member(2));
        let body = wire::encode(&bytes);
        let page = wire::decode::<Page>(&body).map(Message::Entries);
        let filter = wire::decode::<Filter>(&bytes).map(Message::Missing);
        for message in [page, filter].into_iter().flatten() {
            let mut sender = view(2);
            sender.merge(Instant::now(), &member(1));
            let mut sends = sender.tick(Instant::now(), &mut SmallRng::seed_from_u64(1)).sends;
            let mut datagram = sends.remove(0).datagram;
            datagram.message = message;
            receiver.receive(Instant::now(), &datagram);
        }
        prop_assert!(receiver.live().count() <= 2);
    }
}

/// Guards against a page that claims to be gigabytes when decompressed.
#[test]
fn large_claims_are_rejected() {
    let mut bytes = u32::MAX.to_le_bytes().to_vec();
    bytes.extend([0; 16]);
    let page: Page = wire::decode(&wire::encode(&bytes)).expect("bytes are a page");
    let error = page.members().expect_err("it is too large");
    assert!(error.to_string().contains("size limit"), "{error}");
}

/// Guards against entries that do not fit into a datagram and are lost.
#[test]
fn pages_hold_all_entries() {
    let members: Vec<Member> = (0..500).map(member).collect();
    let pages = Page::divide(&members);
    assert!(pages.iter().all(|page| page.size() <= 1_150));
    let received = pages.iter().flat_map(|page| page.members().expect("valid"));
    assert_eq!(received.collect::<Vec<_>>(), members);
    assert!(pages.len() <= 25, "{} pages of 500 entries", pages.len());
}

/// Guards against a daemon that lacks what many others know: the updates on a probe carry a dozen entries.
#[test]
fn request_brings_what_is_missing() {
    let now = Instant::now();
    let (mut behind, mut ahead) = (view(0), view(1));
    behind.merge(now, &member(1));
    for index in 2..80 {
        ahead.merge(now, &member(index));
    }
    for index in 70..78 {
        behind.merge(now, &member(index));
    }
    requests(&mut behind, now);
    let later = now + Duration::from_millis(200);
    let request = requests(&mut behind, later);
    assert!(!request.is_empty(), "eight new entries are worth a request");
    let responses = ahead.receive(later, &request[0].datagram).sends;
    for response in &responses {
        assert!(wire::encode(&response.datagram).len() <= wire::MAX_DATAGRAM);
        behind.receive(later, &response.datagram);
    }
    // A filter takes a few missing entries for known ones.
    let known = behind.live().count();
    assert!(known >= 72, "{known} of 79 after one request");
    let again = requests(&mut behind, later + Duration::from_millis(200));
    let responses = ahead.receive(later, &again[0].datagram).sends;
    let entries = responses.iter().map(|send| match &send.datagram.message {
        Message::Entries(page) => page.members().expect("valid").len(),
        other => panic!("{other:?}"),
    });
    assert!(
        entries.sum::<usize>() <= 79 - known,
        "what is known is not sent again"
    );
}

/// Guards against members that are gone for good and come back from a daemon that forgets them last.
#[test]
fn old_departures_are_not_offered() {
    let now = Instant::now();
    let (mut fresh, mut old) = (view(0), view(1));
    fresh.merge(now, &member(1));
    let departed = Member {
        health: Health::Gone,
        ..member(2)
    };
    old.merge(now, &departed);
    let later = now + Duration::from_mins(2);
    requests(&mut fresh, later);
    let request = requests(&mut fresh, later + Duration::from_secs(11));
    let responses = old.receive(later, &request[0].datagram).sends;
    assert!(responses.is_empty());
}

/// Guards against requests that go on while there is nothing to learn.
#[test]
fn requests_become_rare() {
    let now = Instant::now();
    let mut schedule = Schedule::default();
    let mut sent = Vec::new();
    for step in 0..300 {
        if step < 25 {
            (0..8).for_each(|_| schedule.record_news());
        }
        let due = schedule.take_due(now + Duration::from_millis(200) * step);
        sent.extend(due.map(|due| (step, due)));
    }
    let busy = sent.iter().filter(|(_, due)| *due == Due::Part).count();
    assert!((20..=25).contains(&busy), "{busy} while there is news");
    let rest = sent.len() - busy;
    assert!((6..=12).contains(&rest), "{rest} in 55 s without news");
    assert_eq!(sent.last().map(|(_, due)| *due), Some(Due::All));
}

/// Guards against a daemon that spends its link on responses when all others request them at once.
#[test]
fn responses_are_bounded() {
    let now = Instant::now();
    let members: Vec<Member> = (0..200).map(member).collect();
    let pages = Page::divide(&members);
    let mut allowance = Allowance::default();
    let mut bytes = 0;
    for ms in 0..1_000 {
        let at = now + Duration::from_millis(ms);
        let sent = allowance.take(at, pages.clone());
        bytes += sent.iter().map(Page::size).sum::<usize>();
    }
    assert!((10_000..=16_000).contains(&bytes), "{bytes} bytes");
}
