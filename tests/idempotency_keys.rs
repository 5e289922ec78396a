//! The guard of idempotency keys, against a count of what ran.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::fixed;
use jackdawpulley::idempotency::keys::IntentAck;
use jackdawpulley::idempotency::keys::{
    HandoffKey, Holder, Liveness, LocalSidecar, Memory, Ownership, Peer, State, ownership,
    proves_first_run, rank,
};
use jackdawpulley::units::{IdempotencyKey, Millis};
use proptest::prelude::*;

const SPAN: Duration = Duration::from_mins(2);
const GATES: usize = 5;

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(index).expect("small")))
}

/// One gate of the model: its memory, its birth, and whether its address lived before.
struct Gate {
    memory: Memory,
    born: Instant,
    life: u64,
    lived: bool,
    lost: Option<Instant>,
    draining: bool,
    /// Left as planned, with its keys handed over.
    left: bool,
}

/// Gates whose views lag: `seen` is what they know of each other's loss.
struct Mesh {
    start: Instant,
    now: Instant,
    gates: Vec<Gate>,
    /// Runs of each key.
    runs: Vec<usize>,
}

#[derive(Debug, Clone)]
enum Step {
    /// A caller, or its repeat, reaches a gate with a key; the holder may die while it runs.
    Call {
        gate: usize,
        key: usize,
        dies: bool,
    },
    Lose(usize),
    /// A planned stop: the gate stops taking calls, hands its keys over, and goes.
    Drain(usize),
    Depart(usize),
    Return(usize),
    Wait(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        12 => (0..GATES, 0_usize..6, prop::bool::weighted(0.1))
            .prop_map(|(gate, key, dies)| Step::Call { gate, key, dies }),
        1 => (0..GATES).prop_map(Step::Lose),
        2 => (0..GATES).prop_map(Step::Drain),
        2 => (0..GATES).prop_map(Step::Depart),
        2 => (0..GATES).prop_map(Step::Return),
        2 => (1_u64..30).prop_map(Step::Wait),
    ]
}

impl Mesh {
    /// Gates of which the first `old` have remembered keys for long, and the last `absent` are
    /// still to come.
    fn new(old: usize, absent: usize) -> Self {
        let birth = Instant::now();
        let start = birth + 2 * SPAN;
        let gate = |index| Gate {
            memory: Memory::new(SPAN),
            born: if index < old { birth } else { start },
            life: 0,
            lived: false,
            lost: (index + absent >= GATES).then_some(birth),
            draining: false,
            left: false,
        };
        Self {
            start,
            now: start,
            gates: (0..GATES).map(gate).collect(),
            runs: vec![0; 6],
        }
    }

    fn call(&mut self, gate: usize, number: usize, dies: bool) {
        let key = IdempotencyKey(format!("key-{number}"));
        if self.gates[gate].lost.is_some()
            || self.gates[gate].draining
            || self.gates[gate].memory.get(self.now, &key).is_some()
        {
            return;
        }
        if !self.may_run(gate, &key) {
            return;
        }
        self.gates[gate]
            .memory
            .insert(self.now, &key, State::InDoubt);
        self.runs[number] += 1;
        if dies {
            self.lose(gate);
        }
    }

    fn may_run(&mut self, gate: usize, key: &IdempotencyKey) -> bool {
        let me = &self.gates[gate];
        let age = self.now - me.born;
        let own = LocalSidecar {
            address: address(gate),
            age,
            predecessor_lost: me.lived,
        };
        let peers: Vec<Peer> = (0..GATES)
            .filter(|&index| index != gate && !self.gates[index].left)
            .map(|index| Peer {
                address: address(index),
                liveness: self.standing(index),
            })
            .collect();
        match ownership(key, own, &peers, SPAN) {
            Ownership::Run(witnesses) => witnesses
                .first()
                .is_none_or(|w| !self.note(*w, key, gate).may_have_run),
            Ownership::Query { survivors, losses } => {
                let answers: Vec<IntentAck> = survivors
                    .iter()
                    .map(|peer| self.note(*peer, key, gate))
                    .collect();
                proves_first_run(own, losses, &answers, SPAN)
            }
            Ownership::Moved | Ownership::InDoubt | Ownership::Isolated => false,
        }
    }

    fn standing(&self, index: usize) -> Liveness {
        let gate = &self.gates[index];
        match gate.lost {
            Some(lost) => Liveness::Lost(self.now - lost),
            None if gate.draining => Liveness::Leaving,
            None => Liveness::Serving,
        }
    }

    fn depart(&mut self, index: usize) {
        if !self.gates[index].draining || self.gates[index].lost.is_some() {
            return;
        }
        let me = Holder {
            sidecar: address(index),
            run_id: self.gates[index].life,
        };
        let handed: Vec<HandoffKey> = self.gates[index].memory.export(self.now, me);
        let mut taken = false;
        for other in 0..GATES {
            if other != index && self.standing(other) == Liveness::Serving {
                taken = true;
                for key in &handed {
                    let memory = &mut self.gates[other].memory;
                    memory.record_intent(self.now, &key.key, key.holder);
                }
            }
        }
        self.lose(index);
        self.gates[index].left = taken || handed.is_empty();
    }

    /// Has a gate note the key.
    fn note(&mut self, peer: SocketAddr, key: &IdempotencyKey, holder: usize) -> IntentAck {
        let index = (0..GATES)
            .find(|&index| address(index) == peer)
            .expect("a gate");
        let holder = Holder {
            sidecar: address(holder),
            run_id: self.gates[holder].life,
        };
        let now = self.now;
        let gate = &mut self.gates[index];
        let known = gate.memory.record_intent(now, key, holder);
        IntentAck {
            may_have_run: known,
            age: Millis::from(now - gate.born),
            predecessor_lost: gate.lived,
        }
    }

    fn lose(&mut self, gate: usize) {
        self.gates[gate].lost = Some(self.now);
        self.gates[gate].memory = Memory::new(SPAN);
    }

    fn bring_back(&mut self, gate: usize) {
        if let Some(lost) = self.gates[gate].lost.take() {
            self.gates[gate].born = self.now;
            self.gates[gate].lived = lost >= self.start && !self.gates[gate].left;
            self.gates[gate].left = false;
            self.gates[gate].draining = false;
            self.gates[gate].life += 1;
        }
    }
}

proptest! {
    #![proptest_config(fixed(6_000))]

    /// A booking runs, its gate is killed before it answers, and the clerk repeats the key at
    /// another host. Whatever gates are lost and come back in between, the booking runs once.
    #[test]
    fn key_runs_at_most_once(
        old in 0..=GATES,
        absent in 0..GATES,
        steps in prop::collection::vec(step(), 1..60),
    ) {
        let mut mesh = Mesh::new(old, absent);
        for step in steps {
            match step {
                Step::Call { gate, key, dies } => mesh.call(gate, key, dies),
                Step::Lose(gate) if mesh.gates[gate].lost.is_none() => mesh.lose(gate),
                Step::Lose(_) => {}
                Step::Drain(gate) => mesh.gates[gate].draining |= mesh.gates[gate].lost.is_none(),
                Step::Depart(gate) => mesh.depart(gate),
                Step::Return(gate) => mesh.bring_back(gate),
                Step::Wait(seconds) => mesh.now += Duration::from_secs(seconds),
            }
            // A key may run again only once its outcome is no longer remembered; the model keeps
            // each judged history shorter than that.
            if mesh.now - mesh.start < SPAN {
                prop_assert!(mesh.runs.iter().all(|runs| *runs <= 1), "{:?}", mesh.runs);
            }
        }
    }
}

#[test]
fn highest_rank_holds_the_key() {
    let key = IdempotencyKey("k".into());
    let holder = (0..GATES)
        .max_by_key(|&g| rank(&key, address(g)))
        .expect("there are gates");
    for gate in 0..GATES {
        let own = LocalSidecar {
            address: address(gate),
            age: 2 * SPAN,
            predecessor_lost: false,
        };
        let peers: Vec<Peer> = (0..GATES)
            .filter(|&other| other != gate)
            .map(|other| Peer {
                address: address(other),
                liveness: Liveness::Serving,
            })
            .collect();
        let decision = ownership(&key, own, &peers, SPAN);
        assert_eq!(matches!(decision, Ownership::Run(_)), gate == holder);
    }
}

#[test]
fn two_losses_leave_doubt() {
    let key = IdempotencyKey("k".into());
    let mut gates: Vec<usize> = (0..GATES).collect();
    gates.sort_by_key(|&gate| std::cmp::Reverse(rank(&key, address(gate))));
    let own = LocalSidecar {
        address: address(gates[2]),
        age: 2 * SPAN,
        predecessor_lost: false,
    };
    let peer = |index: usize, standing| Peer {
        address: address(gates[index]),
        liveness: standing,
    };
    let lost = Liveness::Lost(Duration::from_secs(1));
    let both = [peer(0, lost), peer(1, lost), peer(3, Liveness::Serving)];
    assert_eq!(ownership(&key, own, &both, SPAN), Ownership::InDoubt);
    let one = [peer(0, lost), peer(3, Liveness::Serving)];
    assert_eq!(
        ownership(&key, own, &one, SPAN),
        Ownership::Query {
            survivors: vec![address(gates[3])],
            losses: 1
        }
    );
}

/// A gate is cut off from the others and sees them as gone, while they see it as gone. Callers
/// reach both sides with the same key. The lone gate refuses, since nobody could note the key.
#[test]
fn lone_gate_after_losses_refuses() {
    let key = IdempotencyKey("k".into());
    let own = LocalSidecar {
        address: address(0),
        age: 2 * SPAN,
        predecessor_lost: false,
    };
    let gone = |index, ago| Peer {
        address: address(index),
        liveness: Liveness::Lost(ago),
    };
    let lower = (1..GATES).find(|&g| rank(&key, address(g)) < rank(&key, address(0)));
    let lower = lower.expect("not the lowest of all");
    let recent = [gone(lower, Duration::from_secs(5))];
    assert_eq!(ownership(&key, own, &recent, SPAN), Ownership::Isolated);
    let old = [gone(lower, SPAN)];
    assert_eq!(ownership(&key, own, &old, SPAN), Ownership::Run(vec![]));
}
