//! Concurrent operators, whose history has to be that of a compare-and-set register.

mod common;

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use common::{document, fleet, places};
use jackdaw_trial::rig::fleet::{Fleet, get_json};
use jackdaw_trial::stand_in::log::{Faults, Mode};
use jackdawpulley::configuration::replica::{Base, Proposal};
use jackdawpulley::units::{EditId, Version};
use serde_json::Value;
use todc_utils::linearizability::WGLChecker;
use todc_utils::{Action, History, Specification};

const OPERATOR_COUNT: usize = 4;
const EDITS_PER_OPERATOR: usize = 8;

/// Edit of an operator and its result.
#[derive(Debug, Clone, PartialEq, Eq)]
enum Operation {
    /// No result yet, or an unknown one.
    Pending,
    Accepted {
        base: u64,
        version: u64,
    },
    Conflict {
        base: u64,
        current: u64,
    },
}

/// Register whose state is the active version.
struct Register;

impl Specification for Register {
    type State = u64;
    type Operation = Operation;

    fn init() -> u64 {
        0
    }

    fn apply(operation: &Operation, state: &u64) -> (bool, u64) {
        match *operation {
            Operation::Pending => (false, *state),
            Operation::Accepted { base, version } => (base == *state && version > base, version),
            Operation::Conflict { base, current } => (current == *state && base != current, *state),
        }
    }
}

type Actions = Arc<Mutex<Vec<(usize, Action<Operation>)>>>;

/// Runs one operator that repeatedly reads the active version from a daemon and publishes an edit
/// based on it. Returns the edits with an unknown outcome.
async fn run_operator(
    fleet: &Fleet,
    operator_index: usize,
    actions: &Actions,
) -> Vec<(EditId, u64)> {
    let mut undecided = Vec::new();
    let record = |action| {
        actions
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .push((operator_index, action));
    };
    for round in 0..EDITS_PER_OPERATOR {
        let daemon = (operator_index + round) % fleet.hosts.len();
        let base = fleet.version(daemon).await.unwrap_or_default().0;
        let id = EditId(format!("operator-{operator_index}-edit-{round}"));
        let number = u64::try_from(operator_index * 100 + round).expect("small");
        let edit = Proposal {
            id: id.clone(),
            base: Base::Version(Version(base)),
            document: document(number),
        };
        record(Action::Call(Operation::Pending));
        let response = fleet.publish((daemon + 1) % fleet.hosts.len(), &edit).await;
        let (status, response) = response.unwrap_or((0, Value::Null));
        let field = |name: &str| response[name].as_u64().unwrap_or_default();
        match status {
            200 => record(Action::Response(Operation::Accepted {
                base,
                version: field("version"),
            })),
            409 => record(Action::Response(Operation::Conflict {
                base,
                current: field("current"),
            })),
            _ => {
                undecided.push((id, base));
                // The outcome is looked up at the end; a pending operation has to be the operator's last.
                break;
            }
        }
    }
    undecided
}

/// Looks up the result of an edit whose outcome was unknown.
async fn look_up(fleet: &Fleet, id: &EditId, base: u64) -> Operation {
    let response: Option<Value> = get_json(
        fleet.hosts[0].operator_address(),
        &format!("/config/edits/{id}"),
    )
    .await;
    let response = response.unwrap_or_default();
    let field = |name: &str| response[name].as_u64();
    match (field("version"), field("current")) {
        (Some(version), _) => Operation::Accepted { base, version },
        (None, Some(current)) => Operation::Conflict { base, current },
        (None, None) => Operation::Pending,
    }
}

/// Guards against lost and doubly applied edits: operators publish concurrently through different
/// daemons while the log loses responses, is slow and is unavailable. All results have to be
/// linearizable as operations on a compare-and-set register.
#[tokio::test(flavor = "multi_thread")]
async fn history_is_linearizable() {
    let mut fleet = fleet(&[]).await;
    fleet.add_hosts(&places(4, 2)).await;
    let fleet = Arc::new(fleet);
    let actions: Actions = Arc::default();
    let mut operators = Vec::new();
    for operator_index in 0..OPERATOR_COUNT {
        let (fleet, actions) = (Arc::clone(&fleet), Arc::clone(&actions));
        operators.push(tokio::spawn(async move {
            run_operator(&fleet, operator_index, &actions).await
        }));
    }
    let modes = [
        Mode::LoseAnswers,
        Mode::Well,
        Mode::Refuse,
        Mode::LoseAnswers,
        Mode::Well,
    ];
    for mode in modes {
        fleet
            .set_log_faults(Faults {
                mode,
                slow_ms: 5,
                ..Faults::default()
            })
            .await;
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    let mut undecided = Vec::new();
    for (operator_index, operator) in operators.into_iter().enumerate() {
        let left = operator.await.expect("an operator ends");
        undecided.extend(
            left.into_iter()
                .map(|(id, base)| (operator_index, id, base)),
        );
    }
    let last = fleet.publish_document(0, document(9_999)).await;
    let mut actions = actions
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    for (operator_index, id, base) in undecided {
        actions.push((
            operator_index,
            Action::Response(look_up(&fleet, &id, base).await),
        ));
    }
    let accepted = actions.iter().filter_map(|(_, action)| match action {
        Action::Response(Operation::Accepted { version, .. }) => Some(*version),
        _ => None,
    });
    let mut versions: Vec<u64> = accepted.collect();
    versions.sort_unstable();
    let count = versions.len();
    versions.dedup();
    assert_eq!(versions.len(), count, "a version belongs to one edit");
    assert!(count > 0 && versions.last().is_some_and(|version| *version < last.0));
    let history = History::from_actions(actions.clone());
    assert!(
        WGLChecker::<Register>::is_linearizable(history),
        "{actions:#?}"
    );
}
