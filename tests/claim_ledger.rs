//! Claims on the log: a key has one holder at a time, the first claim in log order.

mod common;

use common::fixed;
use jackdawpulley::idempotency::keys::Holder;
use jackdawpulley::idempotency::ledger::{Claim, Entry, Ledger};
use jackdawpulley::units::{IdempotencyKey, Offset};
use proptest::prelude::*;

fn claim(key: u8, gate: u16, number: u64) -> Claim {
    let gate = ([127, 0, 0, 1], gate).into();
    Claim {
        key: IdempotencyKey(format!("till/{key}")),
        holder: Holder {
            sidecar: gate,
            run_id: 1,
        },
        number,
    }
}

fn entry() -> impl Strategy<Value = Entry> {
    (any::<bool>(), 0_u8..4, 1_u16..4, 0_u64..3).prop_map(|(claims, key, gate, number)| {
        let claim = claim(key, gate, number);
        if claims {
            Entry::Claim(claim)
        } else {
            Entry::Release(claim)
        }
    })
}

proptest! {
    #![proptest_config(fixed(400))]

    /// Guards against a key that two sidecars run since their ledgers name different holders, although they
    /// applied the same records, some of them twice.
    #[test]
    fn all_ledgers_name_the_same_holder(
        records in prop::collection::vec(prop::collection::vec(entry(), 1..4), 1..40),
        repeats in prop::collection::vec(0_usize..40, 0..20),
    ) {
        let mut one = Ledger::new(Offset(0));
        let mut other = Ledger::new(Offset(0));
        // The reference: the first claim holds until its own release.
        let mut holders: Vec<Option<Claim>> = vec![None; 4];
        for (offset, entries) in records.iter().enumerate() {
            one.apply(Offset(offset as u64), 0, entries);
            for entry in entries {
                let (Entry::Claim(claim) | Entry::Release(claim)) = entry;
                let key: usize = claim.key.as_str()[5..].parse().expect("a number");
                match entry {
                    Entry::Claim(claim) if holders[key].is_none() => holders[key] = Some(claim.clone()),
                    Entry::Release(claim) if holders[key].as_ref() == Some(claim) => holders[key] = None,
                    _ => {}
                }
            }
        }
        for (offset, entries) in records.iter().enumerate() {
            other.apply(Offset(offset as u64), 0, entries);
            for repeat in repeats.iter().filter(|repeat| **repeat <= offset) {
                other.apply(Offset(*repeat as u64), 0, &records[*repeat]);
            }
        }
        for (key, holder) in (0_u8..).zip(&holders) {
            let name = claim(key, 1, 0).key;
            prop_assert_eq!(one.holder(&name), holder.as_ref());
            prop_assert_eq!(other.holder(&name), holder.as_ref());
        }
    }
}

/// Guards against a late release of a claim that lost. If it freed the key, a third sidecar would run it
/// while the winner does.
#[test]
fn losing_claim_cannot_free_the_key() {
    let mut ledger = Ledger::new(Offset(0));
    let (winner, loser) = (claim(1, 1, 0), claim(1, 2, 0));
    ledger.apply(
        Offset(0),
        0,
        &[Entry::Claim(winner.clone()), Entry::Claim(loser.clone())],
    );
    ledger.apply(Offset(1), 0, &[Entry::Release(loser)]);
    assert_eq!(ledger.holder(&winner.key), Some(&winner));
}

#[test]
fn old_claims_are_forgotten() {
    let mut ledger = Ledger::new(Offset(5));
    ledger.apply(Offset(5), 1_000, &[Entry::Claim(claim(1, 1, 0))]);
    ledger.apply(Offset(6), 2_000, &[Entry::Claim(claim(2, 1, 0))]);
    ledger.forget_before(1_500);
    assert_eq!(ledger.len(), 1);
    assert!(ledger.holder(&claim(1, 1, 0).key).is_none());
}
