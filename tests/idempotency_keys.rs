//! Ownership of idempotency keys, checked against a count of what ran.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::deterministic_config;
use jackdawpulley::idempotency::keys::{
    HandoffKey, Holder, IntentAck, Liveness, LocalSidecar, Memory, Ownership, Peer, State,
    ownership, proves_first_run, rank,
};
use jackdawpulley::units::{IdempotencyKey, Millis};
use proptest::prelude::*;

const RETENTION: Duration = Duration::from_mins(2);
const SIDECARS: usize = 5;

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(index).expect("small")))
}

/// One sidecar of the model.
struct Sidecar {
    memory: Memory,
    started_at: Instant,
    run_id: u64,
    predecessor_lost: bool,
    lost: Option<Instant>,
    draining: bool,
    /// Left as planned, with its keys handed off.
    left: bool,
}

/// The sidecars of one service and the runs of each key.
struct Model {
    start: Instant,
    now: Instant,
    sidecars: Vec<Sidecar>,
    /// Number of runs of each key.
    runs: Vec<usize>,
}

#[derive(Debug, Clone)]
enum Step {
    /// A request or its repeat reaches a sidecar with a key; the holder may die while the key runs.
    Call {
        sidecar: usize,
        key: usize,
        dies: bool,
    },
    Lose(usize),
    /// A planned stop: the sidecar stops accepting calls; with `Depart` it hands off its keys and leaves.
    Drain(usize),
    Depart(usize),
    Restart(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..SIDECARS, 0_usize..6, prop::bool::weighted(0.1))
            .prop_map(|(sidecar, key, dies)| Step::Call { sidecar, key, dies }),
        1 => (0..SIDECARS).prop_map(Step::Lose),
        2 => (0..SIDECARS).prop_map(Step::Drain),
        2 => (0..SIDECARS).prop_map(Step::Depart),
        2 => (0..SIDECARS).prop_map(Step::Restart),
        2 => (1_u64..30).prop_map(Step::Wait),
    ]
}

impl Model {
    /// Sidecars of which the first `old` have remembered keys for twice the retention, and the last `absent`
    /// have not started yet.
    fn new(old: usize, absent: usize) -> Self {
        let earlier = Instant::now();
        let start = earlier + 2 * RETENTION;
        let sidecar = |index| Sidecar {
            memory: Memory::new(RETENTION),
            started_at: if index < old { earlier } else { start },
            run_id: 0,
            predecessor_lost: false,
            lost: (index + absent >= SIDECARS).then_some(earlier),
            draining: false,
            left: false,
        };
        Self {
            start,
            now: start,
            sidecars: (0..SIDECARS).map(sidecar).collect(),
            runs: vec![0; 6],
        }
    }

    fn call(&mut self, sidecar: usize, number: usize, dies: bool) {
        let key = IdempotencyKey(format!("key-{number}"));
        if self.sidecars[sidecar].lost.is_some()
            || self.sidecars[sidecar].draining
            || self.sidecars[sidecar].memory.get(self.now, &key).is_some()
        {
            return;
        }
        if !self.may_run(sidecar, &key) {
            return;
        }
        self.sidecars[sidecar]
            .memory
            .insert(self.now, &key, State::InDoubt);
        self.runs[number] += 1;
        if dies {
            self.lose(sidecar);
        }
    }

    fn may_run(&mut self, sidecar: usize, key: &IdempotencyKey) -> bool {
        let me = &self.sidecars[sidecar];
        let age = self.now - me.started_at;
        let own = LocalSidecar {
            address: address(sidecar),
            age,
            predecessor_lost: me.predecessor_lost,
        };
        let peers: Vec<Peer> = (0..SIDECARS)
            .filter(|&index| index != sidecar && !self.sidecars[index].left)
            .map(|index| Peer {
                address: address(index),
                liveness: self.standing(index),
            })
            .collect();
        match ownership(key, own, &peers, RETENTION) {
            Ownership::Run(witnesses) => witnesses
                .first()
                .is_none_or(|w| !self.record_intent(*w, key, sidecar).may_have_run),
            Ownership::Query { survivors, losses } => {
                let answers: Vec<IntentAck> = survivors
                    .iter()
                    .map(|peer| self.record_intent(*peer, key, sidecar))
                    .collect();
                proves_first_run(own, losses, &answers, RETENTION)
            }
            Ownership::Moved | Ownership::InDoubt | Ownership::Isolated => false,
        }
    }

    fn standing(&self, index: usize) -> Liveness {
        let sidecar = &self.sidecars[index];
        match sidecar.lost {
            Some(lost) => Liveness::Lost(self.now - lost),
            None if sidecar.draining => Liveness::Leaving,
            None => Liveness::Serving,
        }
    }

    fn depart(&mut self, index: usize) {
        if !self.sidecars[index].draining || self.sidecars[index].lost.is_some() {
            return;
        }
        let me = Holder {
            sidecar: address(index),
            run_id: self.sidecars[index].run_id,
        };
        let handed_off: Vec<HandoffKey> = self.sidecars[index].memory.export(self.now, me);
        let mut accepted = false;
        for other in 0..SIDECARS {
            if other != index && self.standing(other) == Liveness::Serving {
                accepted = true;
                for key in &handed_off {
                    let memory = &mut self.sidecars[other].memory;
                    memory.record_intent(self.now, &key.key, key.holder);
                }
            }
        }
        self.lose(index);
        self.sidecars[index].left = accepted || handed_off.is_empty();
    }

    /// Records the holder's intent at a sidecar.
    fn record_intent(
        &mut self,
        peer: SocketAddr,
        key: &IdempotencyKey,
        holder: usize,
    ) -> IntentAck {
        let index = (0..SIDECARS)
            .find(|&index| address(index) == peer)
            .expect("a sidecar");
        let holder = Holder {
            sidecar: address(holder),
            run_id: self.sidecars[holder].run_id,
        };
        let now = self.now;
        let sidecar = &mut self.sidecars[index];
        let known = sidecar.memory.record_intent(now, key, holder);
        IntentAck {
            may_have_run: known,
            age: Millis::from(now - sidecar.started_at),
            predecessor_lost: sidecar.predecessor_lost,
        }
    }

    fn lose(&mut self, sidecar: usize) {
        self.sidecars[sidecar].lost = Some(self.now);
        self.sidecars[sidecar].memory = Memory::new(RETENTION);
    }

    fn restart(&mut self, sidecar: usize) {
        if let Some(lost) = self.sidecars[sidecar].lost.take() {
            self.sidecars[sidecar].started_at = self.now;
            self.sidecars[sidecar].predecessor_lost =
                lost >= self.start && !self.sidecars[sidecar].left;
            self.sidecars[sidecar].left = false;
            self.sidecars[sidecar].draining = false;
            self.sidecars[sidecar].run_id += 1;
        }
    }
}

proptest! {
    #![proptest_config(deterministic_config(6_000))]

    /// Guards against a key that runs twice: its sidecar is killed before it responds, and the caller repeats
    /// the key at another host, whatever sidecars are lost and restarted in between.
    #[test]
    fn key_runs_at_most_once(
        old in 0..=SIDECARS,
        absent in 0..SIDECARS,
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut model = Model::new(old, absent);
        for step in steps {
            match step {
                Step::Call { sidecar, key, dies } => model.call(sidecar, key, dies),
                Step::Lose(sidecar) if model.sidecars[sidecar].lost.is_none() => model.lose(sidecar),
                Step::Lose(_) => {}
                Step::Drain(sidecar) => model.sidecars[sidecar].draining |= model.sidecars[sidecar].lost.is_none(),
                Step::Depart(sidecar) => model.depart(sidecar),
                Step::Restart(sidecar) => model.restart(sidecar),
                Step::Wait(seconds) => model.now += Duration::from_secs(seconds),
            }
            // A key may run again once its outcome is no longer remembered, so histories are checked only
            // within the retention.
            if model.now - model.start < RETENTION {
                prop_assert!(model.runs.iter().all(|runs| *runs <= 1), "{:?}", model.runs);
            }
        }
    }
}

#[test]
fn highest_rank_holds_the_key() {
    let key = IdempotencyKey("k".into());
    let holder = (0..SIDECARS)
        .max_by_key(|&g| rank(&key, address(g)))
        .expect("there are sidecars");
    for sidecar in 0..SIDECARS {
        let own = LocalSidecar {
            address: address(sidecar),
            age: 2 * RETENTION,
            predecessor_lost: false,
        };
        let peers: Vec<Peer> = (0..SIDECARS)
            .filter(|&other| other != sidecar)
            .map(|other| Peer {
                address: address(other),
                liveness: Liveness::Serving,
            })
            .collect();
        let decision = ownership(&key, own, &peers, RETENTION);
        assert_eq!(matches!(decision, Ownership::Run(_)), sidecar == holder);
    }
}

#[test]
fn two_losses_leave_the_key_in_doubt() {
    let key = IdempotencyKey("k".into());
    let mut sidecars: Vec<usize> = (0..SIDECARS).collect();
    sidecars.sort_by_key(|&sidecar| std::cmp::Reverse(rank(&key, address(sidecar))));
    let own = LocalSidecar {
        address: address(sidecars[2]),
        age: 2 * RETENTION,
        predecessor_lost: false,
    };
    let peer = |index: usize, standing| Peer {
        address: address(sidecars[index]),
        liveness: standing,
    };
    let lost = Liveness::Lost(Duration::from_secs(1));
    let both = [peer(0, lost), peer(1, lost), peer(3, Liveness::Serving)];
    assert_eq!(ownership(&key, own, &both, RETENTION), Ownership::InDoubt);
    let one = [peer(0, lost), peer(3, Liveness::Serving)];
    assert_eq!(
        ownership(&key, own, &one, RETENTION),
        Ownership::Query {
            survivors: vec![address(sidecars[3])],
            losses: 1
        }
    );
}

/// Guards against a key that runs on both sides of a network partition: a sidecar that is cut off sees the
/// others as lost, as they see it. It refuses, since there is no witness for its intent.
#[test]
fn isolated_sidecar_refuses() {
    let key = IdempotencyKey("k".into());
    let own = LocalSidecar {
        address: address(0),
        age: 2 * RETENTION,
        predecessor_lost: false,
    };
    let lost = |index, ago| Peer {
        address: address(index),
        liveness: Liveness::Lost(ago),
    };
    let lower = (1..SIDECARS).find(|&g| rank(&key, address(g)) < rank(&key, address(0)));
    let lower = lower.expect("not the lowest rank");
    let recent = [lost(lower, Duration::from_secs(5))];
    assert_eq!(
        ownership(&key, own, &recent, RETENTION),
        Ownership::Isolated
    );
    let old = [lost(lower, RETENTION)];
    assert_eq!(
        ownership(&key, own, &old, RETENTION),
        Ownership::Run(vec![])
    );
}
