//! Decoders on malformed and malicious input.

mod common;

use common::{deterministic_config, numbered_document, route};
use jackdawpulley::calls::metadata::Metadata;
use jackdawpulley::configuration::delta::Delta;
use jackdawpulley::configuration::exchange::{Body, CompressedUpdate, Pull, Reply, Update};
use jackdawpulley::idempotency::keys::Intent;
use jackdawpulley::membership::datagram::{Datagram, Join};
use jackdawpulley::units::Version;
use jackdawpulley::wire;
use proptest::prelude::*;

/// Decodes `bytes` as each message type: every decoder must return a message or an error, without panic.
fn decode_all(bytes: &[u8]) {
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
    #![proptest_config(deterministic_config(500))]

    #[test]
    fn arbitrary_bytes_do_not_panic(bytes in prop::collection::vec(any::<u8>(), 0..600)) {
        decode_all(&bytes);
    }

    #[test]
    fn corrupted_messages_do_not_panic(cut in 0_usize..400, place in 0_usize..400, value: u8) {
        let document = numbered_document(3);
        let delta = Delta::between(&numbered_document(2), &document);
        let update = |body| Update { version: Version(2), body, accepted: Vec::new() };
        let changes = update(Body::Delta { base: Version(1), delta });
        let whole = update(Body::Whole(document));
        let packed = |update| wire::encode(&Reply::Update(CompressedUpdate::new(update)));
        let plain = [wire::encode(&changes), wire::encode(&whole)];
        for frame in plain.into_iter().chain([packed(&changes), packed(&whole)]) {
            let mut bytes = frame.to_vec();
            let place = place % bytes.len();
            bytes[place] = value;
            decode_all(&bytes);
            bytes.truncate(cut % frame.len());
            decode_all(&bytes);
        }
    }

    #[test]
    fn arbitrary_header_text_does_not_panic(text in ".{0,80}") {
        let _ = wire::from_header::<Metadata>(&text);
    }
}

/// Guards against a message whose length prefix announces a list of 2^60 elements: a decoder that
/// trusted it would allocate until the host kills the daemon and its calls in flight.
#[test]
fn malicious_length_does_not_allocate() {
    let mut bytes = vec![253];
    bytes.extend((1_u64 << 60).to_le_bytes());
    assert!(wire::decode::<Vec<u64>>(&bytes).is_err());
}

/// Guards against a compressed update that declares a size of 4 GB: it is rejected before allocation.
#[test]
fn malicious_size_is_rejected() {
    let mut bytes = u32::MAX.to_le_bytes().to_vec();
    bytes.extend([0; 20]);
    let packed: CompressedUpdate = wire::decode(&wire::encode(&bytes)).expect("it has the shape");
    assert!(packed.decompress().is_err());
}

/// Guards against slow relaying of large versions: with 1,400 routes, relayed to four daemons at each
/// level over links of 5 Mbit/s, the last daemons kept the old routes for three seconds. Routes are
/// similar to each other, so compression must save more than half of the bytes.
#[test]
fn similar_routes_compress_well() {
    let mut document = numbered_document(1);
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
fn trailing_bytes_are_rejected() {
    let mut bytes = wire::encode(&Pull { have: Version(1) }).to_vec();
    bytes.push(0);
    let error = wire::decode::<Pull>(&bytes).unwrap_err();
    assert!(error.to_string().contains("follow the message"), "{error}");
}
