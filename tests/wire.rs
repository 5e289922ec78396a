//! Decoders against hostile bytes.

mod common;

use common::{fixed, numbered, route};
use jackdawpulley::calls::metadata::Metadata;
use jackdawpulley::configuration::delta::Delta;
use jackdawpulley::configuration::exchange::{Body, CompressedUpdate, Pull, Reply, Update};
use jackdawpulley::idempotency::keys::Intent;
use jackdawpulley::membership::datagram::{Datagram, Join};
use jackdawpulley::units::Version;
use jackdawpulley::wire;
use proptest::prelude::*;

/// Decoding has to end, bounded, with a message or a typed error.
fn survive(bytes: &[u8]) {
    let _ = wire::decode::<Datagram>(bytes);
    if let Ok(Reply::Update(packed)) = wire::decode::<Reply>(bytes) {
        let _ = packed.decompress();
    }
    let _ = wire::decode::<Update>(bytes);
    let _ = wire::decode::<Pull>(bytes);
    let _ = wire::decode::<Join>(bytes);
    let _ = wire::decode::<Intent>(bytes);
    let _ = wire::decode::<Metadata>(bytes);
}

proptest! {
    #![proptest_config(fixed(500))]

    #[test]
    fn any_bytes_are_survived(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        survive(&bytes);
    }

    #[test]
    fn damaged_frames_are_survived(cut in 0_usize..400, place in 0_usize..400, value: u8) {
        let document = numbered(3);
        let delta = Delta::between(&numbered(2), &document);
        let update = |body| Update { version: Version(2), body, accepted: Vec::new() };
        let changes = update(Body::Delta { base: Version(1), delta });
        let whole = update(Body::Whole(document));
        let packed = |update| wire::encode(&Reply::Update(CompressedUpdate::new(update)));
        let plain = [wire::encode(&changes), wire::encode(&whole)];
        for frame in plain.into_iter().chain([packed(&changes), packed(&whole)]) {
            let mut bytes = frame.to_vec();
            let place = place % bytes.len();
            bytes[place] = value;
            survive(&bytes);
            bytes.truncate(cut % frame.len());
            survive(&bytes);
        }
    }

    #[test]
    fn any_header_text_is_survived(text in ".{0,80}") {
        let _ = wire::from_header::<Metadata>(&text);
    }
}

/// A peer sends a frame whose first bytes announce a list of 2^60 members. A decoder that trusted
/// the length would allocate until the host kills the daemon, and with it the calls in flight.
#[test]
fn hostile_length_does_not_allocate() {
    let mut bytes = vec![253];
    bytes.extend((1_u64 << 60).to_le_bytes());
    assert!(wire::decode::<Vec<u64>>(&bytes).is_err());
}

/// A peer sends an update that is said to grow to 4 GB. It is refused before anything is allocated.
#[test]
fn hostile_size_is_refused() {
    let mut bytes = u32::MAX.to_le_bytes().to_vec();
    bytes.extend([0; 20]);
    let packed: CompressedUpdate = wire::decode(&wire::encode(&bytes)).expect("it has the shape");
    assert!(packed.decompress().is_err());
}

/// A version brings 1,400 routes, and every daemon of the tree sends it on four times, over links of
/// 5 Mbit/s: the last daemons kept the old routes for three seconds. Routes are alike, so a version
/// travels in less than half of its bytes.
#[test]
fn many_routes_travel_small() {
    let mut document = numbered(1);
    document.routes = (0..1_400_u32)
        .map(|number| {
            let tag = number.wrapping_mul(2_654_435_761);
            route(&format!("r-{tag:08x}"), &format!("/{tag:x}/"), "shelf")
        })
        .collect();
    let update = Update {
        version: Version(2),
        body: Body::Whole(document.sorted()),
        accepted: Vec::new(),
    };
    let (plain, packed) = (wire::encode(&update).len(), CompressedUpdate::new(&update));
    let small = wire::encode(&Reply::Update(packed.clone())).len();
    assert!(small * 2 < plain, "{small} of {plain}");
    assert_eq!(packed.decompress().expect("it is whole"), update);
}

#[test]
fn trailing_bytes_are_refused() {
    let mut bytes = wire::encode(&Pull { have: Version(1) }).to_vec();
    bytes.push(0);
    let error = wire::decode::<Pull>(&bytes).unwrap_err();
    assert!(error.to_string().contains("follow the message"), "{error}");
}
