//! The fold of the log against a compare-and-set register.

mod common;

use std::sync::Arc;

use common::{faulty, fixed, numbered};
use jackdawpulley::configuration::delta::Delta;
use jackdawpulley::configuration::document::Document;
use jackdawpulley::configuration::replica::{
    Base, Checkpoint, Content, Edit, Record, Replica, Verdict,
};
use jackdawpulley::units::{EditId, Offset, Version};
use proptest::prelude::*;
use proptest_state_machine::{ReferenceStateMachine, StateMachineTest, prop_state_machine};

const FOLDS: usize = 3;

/// What an edit is based on.
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
    /// The publisher lost the answer and appends its edit again.
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
    /// One daemon takes over what another has in force.
    Adopt {
        by: usize,
        from: usize,
    },
}

/// The register, and every edit that was ever appended.
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
            2 => (0..FOLDS).prop_map(|by| Step::Checkpoint { by }),
            1 => (1_u64..6).prop_map(|count| Step::Expire { count }),
            8 => (0..FOLDS, 1_u64..5).prop_map(|(by, count)| Step::Read { by, count }),
            1 => (0..FOLDS).prop_map(|by| Step::Restart { by }),
            1 => (0..FOLDS, 0..FOLDS).prop_map(|(by, from)| Step::Adopt { by, from }),
        ]
        .boxed()
    }

    fn apply(mut state: Self, _: &Step) -> Self {
        state.steps += 1;
        state
    }
}

/// A log that expires, several folds of it, and the register that they must agree with.
struct Log {
    first: u64,
    records: Vec<Record>,
    folds: Vec<Replica>,
    /// Register after each record, by offset.
    truth: Vec<(Version, Arc<Document>)>,
}

impl Log {
    fn head(&self) -> u64 {
        self.records.len() as u64
    }

    fn current(&self) -> (Version, Arc<Document>) {
        self.truth.last().cloned().unwrap_or_default()
    }

    fn append(&mut self, record: Record) {
        let offset = Offset(self.head());
        let mut next = self.current();
        if let Record::Edit(edit) = &record {
            let fits = match edit.base {
                Base::Version(base) => base == next.0,
                Base::Head(head) => next.0.end() <= head,
            };
            let seen = self
                .records
                .iter()
                .any(|r| matches!(r, Record::Edit(e) if e.id == edit.id));
            let document = match &edit.content {
                Content::Whole(document) => document.clone(),
                Content::Delta(delta) => delta.apply(&next.1).unwrap_or_else(|_| faulty()),
            };
            if fits && !seen && !document.groups.is_empty() {
                next = (Version::of(offset), Arc::new(document));
            }
        }
        self.truth.push(next);
        self.records.push(record);
    }

    fn read(&mut self, by: usize, count: u64) {
        for _ in 0..count {
            let fold = &mut self.folds[by];
            fold.expire(Offset(self.first));
            let next = fold.next();
            if next.0 >= self.records.len() as u64 {
                return;
            }
            let before = fold.version();
            let record = &self.records[usize::try_from(next.0).expect("small")];
            let _ = fold.apply(next, record);
            assert!(fold.version() >= before, "a fold never goes back");
        }
    }
}

struct Folds;

impl StateMachineTest for Folds {
    type SystemUnderTest = Log;
    type Reference = Register;

    fn init_test(_: &Register) -> Log {
        Log {
            first: 0,
            records: Vec::new(),
            folds: vec![Replica::new(); FOLDS],
            truth: Vec::new(),
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
                let document = if valid { numbered(number) } else { faulty() };
                let content = if number % 2 == 0 {
                    Content::Whole(document)
                } else {
                    Content::Delta(Delta::between(&log.current().1, &document))
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
                let fold = &log.folds[by];
                if !fold.has_gap() {
                    let checkpoint = Record::Checkpoint(fold.checkpoint().clone());
                    log.append(checkpoint);
                }
            }
            Step::Expire { count } => log.first = (log.first + count).min(log.head()),
            Step::Read { by, count } => log.read(by, count),
            Step::Restart { by } => log.folds[by] = Replica::new(),
            Step::Adopt { by, from } => {
                let source = &log.folds[from];
                let (version, document) = (source.version(), Arc::clone(source.document()));
                let accepted = source.accepted_since(log.folds[by].version());
                log.folds[by].adopt(version, document, accepted);
            }
        }
        log
    }

    fn check_invariants(log: &Log, _: &Register) {
        for fold in log
            .folds
            .iter()
            .filter(|fold| !fold.has_gap() && fold.next().0 > 0)
        {
            let truth = &log.truth[usize::try_from(fold.next().0 - 1).expect("small")];
            assert_eq!((fold.version(), fold.document()), (truth.0, &truth.1));
        }
    }
}

prop_state_machine! {
    #![proptest_config(fixed(400))]

    #[test]
    fn every_fold_agrees_with_the_register(sequential 1..60 => Folds);
}

fn edit(id: &str, base: u64, number: u64) -> Record {
    Record::Edit(Edit {
        id: id.into(),
        base: Base::Version(Version(base)),
        content: Content::Whole(numbered(number)),
    })
}

#[test]
fn racing_edits_have_one_winner() {
    let mut fold = Replica::new();
    let first = fold.apply(Offset(0), &edit("a", 0, 1));
    let second = fold.apply(Offset(1), &edit("b", 0, 2));
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

/// An operator's append takes effect and its answer is lost; the operator's tool appends the edit
/// again. Without the guard the second record would be judged anew and the operator told that
/// somebody else had won, against its own edit.
#[test]
fn repeated_append_keeps_its_verdict() {
    let mut fold = Replica::new();
    let first = fold.apply(Offset(0), &edit("a", 0, 1));
    let again = fold.apply(Offset(1), &edit("a", 0, 1));
    assert_eq!(first, again);
    assert_eq!(fold.version(), Version(1));
}

/// A reader is cut off until records expire, among them an accepted edit. Judging later edits by
/// its old version would accept one that every other daemon refuses, and the mesh would run two
/// documents under two versions.
#[test]
fn gapped_fold_judges_nothing() {
    let mut fold = Replica::new();
    fold.apply(Offset(0), &edit("a", 0, 1));
    fold.expire(Offset(5));
    assert_eq!(fold.apply(Offset(5), &edit("c", 1, 3)), Verdict::Gap);
    assert_eq!(fold.version(), Version(1));
}

/// A checkpoint's writer is paused between reading and appending, while other edits are accepted
/// and then expire. A newcomer that trusted the checkpoint would miss those edits.
#[test]
fn stale_checkpoint_is_not_trusted() {
    let stale = Checkpoint {
        version: Version(1),
        next: Offset(1),
        document: Arc::new(numbered(1)),
        recent: Vec::new(),
    };
    let mut newcomer = Replica::new();
    newcomer.expire(Offset(4));
    assert_eq!(
        newcomer.apply(Offset(4), &Record::Checkpoint(stale.clone())),
        Verdict::Skipped
    );
    assert!(newcomer.has_gap());
    let fresh = Checkpoint {
        next: Offset(4),
        version: Version(3),
        ..stale
    };
    assert_eq!(
        newcomer.apply(Offset(5), &Record::Checkpoint(fresh)),
        Verdict::Restored
    );
    assert_eq!(
        (newcomer.version(), newcomer.next()),
        (Version(3), Offset(4))
    );
}

/// An operator's edit comes to its daemon by a peer, before the daemon has read the log. Without
/// the identifier it would not find the edit, append it again, and tell the operator that somebody
/// else had won.
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

/// A daemon takes a version over from a peer, so it never sees the identifier of the edit that
/// made it. The publisher, whose answer was lost, appends that forced edit again. Without the
/// condition on the head this daemon alone would accept it a second time.
#[test]
fn repeated_forced_edit_is_refused_without_its_id() {
    let forced = Edit {
        id: "f".into(),
        base: Base::Head(Offset(7)),
        content: Content::Whole(numbered(7)),
    };
    let mut fold = Replica::new();
    fold.adopt(Version(8), Arc::new(numbered(7)), Vec::new());
    let verdict = fold.apply(Offset(8), &Record::Edit(forced));
    assert_eq!(
        verdict,
        Verdict::Conflict {
            current: Version(8)
        }
    );
}

#[test]
fn forced_edit_closes_a_gap() {
    let mut fold = Replica::new();
    fold.expire(Offset(9));
    let forced = Edit {
        id: "f".into(),
        base: Base::Head(Offset(9)),
        content: Content::Whole(numbered(7)),
    };
    let verdict = fold.apply(Offset(9), &Record::Edit(forced));
    assert_eq!(
        verdict,
        Verdict::Accepted {
            version: Version(10)
        }
    );
    assert!(!fold.has_gap());
}
