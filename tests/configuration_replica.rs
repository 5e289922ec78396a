//! Replicas of the log, checked against a compare-and-set register.

mod common;

use std::sync::Arc;

use common::{deterministic_config, invalid_document, numbered_document};
use jackdawpulley::configuration::delta::Delta;
use jackdawpulley::configuration::document::Document;
use jackdawpulley::configuration::replica::{
    Base, Checkpoint, Content, Edit, Record, Replica, Verdict,
};
use jackdawpulley::units::{EditId, Offset, Version};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const REPLICAS: usize = 3;

/// State that an edit is based on.
#[derive(Debug, Clone, Copy)]
enum Basis {
    Current,
    Older,
    Head,
}

#[derive(Debug, Clone)]
enum Step {
    Append {
        number: u64,
        basis: Basis,
        valid: bool,
    },
    /// The publisher lost the response and appends its edit again.
    Repeat {
        age: usize,
    },
    Checkpoint {
        by: usize,
    },
    Expire {
        count: u64,
    },
    Read {
        by: usize,
        count: u64,
    },
    Restart {
        by: usize,
    },
    /// One daemon adopts the active version of another.
    Adopt {
        by: usize,
        from: usize,
    },
}

/// State of the reference machine: the number of steps, from which edits get their identifiers.
#[derive(Debug, Clone, Default)]
struct Register {
    steps: u64,
}

impl ReferenceStateMachine for Register {
    type State = Self;
    type Transition = Step;

    fn init_state() -> BoxedStrategy<Self> {
        Just(Self::default()).boxed()
    }

    fn transitions(_: &Self) -> BoxedStrategy<Step> {
        let basis =
            prop_oneof![5 => Just(Basis::Current), 2 => Just(Basis::Older), 1 => Just(Basis::Head)];
        prop_oneof![
            6 => (1_u64..1_000, basis, prop::bool::weighted(0.9))
                .prop_map(|(number, basis, valid)| Step::Append { number, basis, valid }),
            2 => (0_usize..8).prop_map(|age| Step::Repeat { age }),
            2 => (0..REPLICAS).prop_map(|by| Step::Checkpoint { by }),
            1 => (1_u64..6).prop_map(|count| Step::Expire { count }),
            8 => (0..REPLICAS, 1_u64..5).prop_map(|(by, count)| Step::Read { by, count }),
            1 => (0..REPLICAS).prop_map(|by| Step::Restart { by }),
            1 => (0..REPLICAS, 0..REPLICAS).prop_map(|(by, from)| Step::Adopt { by, from }),
        ]
        .boxed()
    }

    fn apply(mut state: Self, _: &Step) -> Self {
        state.steps += 1;
        state
    }
}

/// A log whose records expire, several replicas of it, and the register that they must agree with.
struct Log {
    first: u64,
    records: Vec<Record>,
    replicas: Vec<Replica>,
    /// Value of the register after each record, by offset.
    expected: Vec<(Version, Arc<Document>)>,
}

impl Log {
    fn head(&self) -> u64 {
        self.records.len() as u64
    }

    fn current(&self) -> (Version, Arc<Document>) {
        self.expected.last().cloned().unwrap_or_default()
    }

    fn append(&mut self, record: Record) {
        let offset = Offset(self.head());
        let mut next = self.current();
        if let Record::Edit(edit) = &record {
            let is_current = match edit.base {
                Base::Version(base) => base == next.0,
                Base::Head(head) => next.0.end() <= head,
            };
            let seen = self
                .records
                .iter()
                .any(|r| matches!(r, Record::Edit(e) if e.id == edit.id));
            let document = match &edit.content {
                Content::Whole(document) => document.clone(),
                Content::Delta(delta) => {
                    delta.apply(&next.1).unwrap_or_else(|_| invalid_document())
                }
            };
            if is_current && !seen && !document.groups.is_empty() {
                next = (Version::of(offset), Arc::new(document));
            }
        }
        self.expected.push(next);
        self.records.push(record);
    }

    fn read(&mut self, by: usize, count: u64) {
        for _ in 0..count {
            let replica = &mut self.replicas[by];
            replica.expire(Offset(self.first));
            let next = replica.next();
            if next.0 >= self.records.len() as u64 {
                return;
            }
            let before = replica.version();
            let record = &self.records[usize::try_from(next.0).expect("small")];
            let _ = replica.apply(next, record);
            assert!(replica.version() >= before, "a replica never goes back");
        }
    }
}

struct Replicas;

impl StateMachineTest for Replicas {
    type SystemUnderTest = Log;
    type Reference = Register;

    fn init_test(_: &Register) -> Log {
        Log {
            first: 0,
            records: Vec::new(),
            replicas: vec![Replica::new(); REPLICAS],
            expected: Vec::new(),
        }
    }

    fn apply(mut log: Log, state: &Register, step: Step) -> Log {
        match step {
            Step::Append {
                number,
                basis,
                valid,
            } => {
                let current = log.current().0;
                let base = match basis {
                    Basis::Current => Base::Version(current),
                    Basis::Older => Base::Version(Version(current.0.saturating_sub(1))),
                    Basis::Head => Base::Head(Offset(log.head())),
                };
                let document = if valid {
                    numbered_document(number)
                } else {
                    invalid_document()
                };
                let content = if number % 2 == 0 {
                    Content::Whole(document)
                } else {
                    Content::Delta(Box::new(Delta::between(&log.current().1, &document)))
                };
                let id = EditId(format!("edit-{}", state.steps));
                log.append(Record::Edit(Edit { id, base, content }));
            }
            Step::Repeat { age } => {
                let edits = log
                    .records
                    .iter()
                    .rev()
                    .filter(|r| matches!(r, Record::Edit(_)));
                if let Some(record) = edits.clone().nth(age).cloned() {
                    log.append(record);
                }
            }
            Step::Checkpoint { by } => {
                let replica = &log.replicas[by];
                if !replica.has_gap() {
                    let checkpoint = Record::Checkpoint(replica.checkpoint().clone());
                    log.append(checkpoint);
                }
            }
            Step::Expire { count } => log.first = (log.first + count).min(log.head()),
            Step::Read { by, count } => log.read(by, count),
            Step::Restart { by } => log.replicas[by] = Replica::new(),
            Step::Adopt { by, from } => {
                let source = &log.replicas[from];
                let (version, document) = (source.version(), Arc::clone(source.document()));
                let accepted = source.accepted_since(log.replicas[by].version());
                log.replicas[by].adopt(version, document, accepted);
            }
        }
        log
    }

    fn check_invariants(log: &Log, _: &Register) {
        for replica in log
            .replicas
            .iter()
            .filter(|replica| !replica.has_gap() && replica.next().0 > 0)
        {
            let expected = &log.expected[usize::try_from(replica.next().0 - 1).expect("small")];
            assert_eq!(
                (replica.version(), replica.document()),
                (expected.0, &expected.1)
            );
        }
    }
}

prop_state_machine! {
    #![proptest_config(deterministic_config(400))]

    #[test]
    fn all_replicas_agree_with_the_register(sequential 1..60 => Replicas);
}

fn edit(id: &str, base: u64, number: u64) -> Record {
    Record::Edit(Edit {
        id: id.into(),
        base: Base::Version(Version(base)),
        content: Content::Whole(numbered_document(number)),
    })
}

#[test]
fn racing_edits_have_one_winner() {
    let mut replica = Replica::new();
    let first = replica.apply(Offset(0), &edit("a", 0, 1));
    let second = replica.apply(Offset(1), &edit("b", 0, 2));
    assert_eq!(
        first,
        Verdict::Accepted {
            version: Version(1)
        }
    );
    assert_eq!(
        second,
        Verdict::Conflict {
            current: Version(1)
        }
    );
}

/// Guards against an operator who loses a conflict to its own edit: the append takes effect, its response
/// is lost, and the tool appends the edit again.
#[test]
fn repeated_append_keeps_its_verdict() {
    let mut replica = Replica::new();
    let first = replica.apply(Offset(0), &edit("a", 0, 1));
    let again = replica.apply(Offset(1), &edit("a", 0, 1));
    assert_eq!(first, again);
    assert_eq!(replica.version(), Version(1));
}

/// Guards against a reader that was cut off until records expired, among them an accepted edit. Evaluating
/// later edits against its old version would accept one that all other daemons reject, and two documents
/// would be active under two versions.
#[test]
fn edits_after_a_gap_are_not_decided() {
    let mut replica = Replica::new();
    replica.apply(Offset(0), &edit("a", 0, 1));
    replica.expire(Offset(5));
    assert_eq!(replica.apply(Offset(5), &edit("c", 1, 3)), Verdict::Gap);
    assert_eq!(replica.version(), Version(1));
}

/// Guards against a stale checkpoint: its writer is paused between reading and appending, while other edits
/// are accepted and then expire. A new daemon that used the checkpoint would miss those edits.
#[test]
fn stale_checkpoint_is_not_used() {
    let stale = Checkpoint {
        version: Version(1),
        next: Offset(1),
        document: Arc::new(numbered_document(1)),
        recent: Vec::new(),
    };
    let mut new_daemon = Replica::new();
    new_daemon.expire(Offset(4));
    assert_eq!(
        new_daemon.apply(Offset(4), &Record::Checkpoint(stale.clone())),
        Verdict::Skipped
    );
    assert!(new_daemon.has_gap());
    let fresh = Checkpoint {
        next: Offset(4),
        version: Version(3),
        ..stale
    };
    assert_eq!(
        new_daemon.apply(Offset(5), &Record::Checkpoint(fresh)),
        Verdict::Restored
    );
    assert_eq!(
        (new_daemon.version(), new_daemon.next()),
        (Version(3), Offset(4))
    );
}

/// Guards against an edit that reaches the publishing daemon through a peer before it has read the log.
/// Without the identifier it would not find the edit, append it again, and report to the operator that
/// another edit had won.
#[test]
fn adopted_edit_is_known() {
    let mut reader = Replica::new();
    reader.apply(Offset(0), &edit("mine", 0, 1));
    let mut publisher = Replica::new();
    let accepted = reader.accepted_since(publisher.version());
    publisher.adopt(reader.version(), Arc::clone(reader.document()), accepted);
    let again = publisher.apply(Offset(1), &edit("mine", 0, 1));
    assert_eq!(
        again,
        Verdict::Accepted {
            version: Version(1)
        }
    );
}

/// Guards against a forced edit that one daemon accepts twice: it adopted the version from a peer without
/// the edit's identifier, and the publisher, whose response was lost, appends the edit again. The condition
/// on the head rejects the repetition.
#[test]
fn repeated_forced_edit_is_rejected_without_its_id() {
    let forced = Edit {
        id: "f".into(),
        base: Base::Head(Offset(7)),
        content: Content::Whole(numbered_document(7)),
    };
    let mut replica = Replica::new();
    replica.adopt(Version(8), Arc::new(numbered_document(7)), Vec::new());
    let verdict = replica.apply(Offset(8), &Record::Edit(forced));
    assert_eq!(
        verdict,
        Verdict::Conflict {
            current: Version(8)
        }
    );
}

#[test]
fn forced_edit_closes_a_gap() {
    let mut replica = Replica::new();
    replica.expire(Offset(9));
    let forced = Edit {
        id: "f".into(),
        base: Base::Head(Offset(9)),
        content: Content::Whole(numbered_document(7)),
    };
    let verdict = replica.apply(Offset(9), &Record::Edit(forced));
    assert_eq!(
        verdict,
        Verdict::Accepted {
            version: Version(10)
        }
    );
    assert!(!replica.has_gap());
}
