//! Decoders against hostile bytes.

mod common;

use common::{fixed, numbered};
use jackdawpulley::datagram::{Datagram, Join};
use jackdawpulley::delta::Delta;
use jackdawpulley::exchange::{Body, Pull, Reply, Update};
use jackdawpulley::handover::Handover;
use jackdawpulley::keys::Note;
use jackdawpulley::units::Version;
use jackdawpulley::wire;
use proptest::prelude::*;

/// Decoding has to end, bounded, with a message or a typed error.
fn survive(bytes: &[u8]) {
    let _ = wire::decode::<Datagram>(bytes);
    let _ = wire::decode::<Reply>(bytes);
    let _ = wire::decode::<Pull>(bytes);
    let _ = wire::decode::<Join>(bytes);
    let _ = wire::decode::<Note>(bytes);
    let _ = wire::decode::<Handover>(bytes);
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
        let update = |body| Reply::Update(Box::new(Update { version: Version(2), body, accepted: Vec::new() }));
        let changes = update(Body::Delta { base: Version(1), delta });
        let whole = update(Body::Whole(document));
        for frame in [wire::encode(&changes), wire::encode(&whole)] {
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
        let _ = wire::from_header::<Handover>(&text);
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

#[test]
fn trailing_bytes_are_refused() {
    let mut bytes = wire::encode(&Pull { have: Version(1) }).to_vec();
    bytes.push(0);
    let error = wire::decode::<Pull>(&bytes).unwrap_err();
    assert!(error.to_string().contains("follow the message"), "{error}");
}
