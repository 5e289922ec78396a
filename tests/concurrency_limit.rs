//! Concurrency limit, checked against a reference model.

mod common;

use common::deterministic_config;
use jackdawpulley::calls::limit::{Decision, Limit, Ticket};
use jackdawpulley::configuration::document::Class;
use proptest::prelude::*;

const SLOTS: u32 = 3;
const QUEUE: u32 = 4;

#[derive(Debug, Clone)]
enum Step {
    Acquire(Class),
    Release,
    Cancel(usize),
}

fn step() -> impl Strategy<Value = Step> {
    let class = prop_oneof![
        Just(Class::Interactive),
        Just(Class::Deferrable),
        Just(Class::Background),
    ];
    prop_oneof![
        4 => class.prop_map(Step::Acquire),
        3 => Just(Step::Release),
        1 => (0_usize..8).prop_map(Step::Cancel),
    ]
}

/// Reference model: a sorted list of waiting requests.
#[derive(Debug, Default)]
struct Model {
    running: u32,
    waiting: Vec<(Class, Ticket)>,
}

impl Model {
    fn acquire(&mut self, ticket: Ticket, class: Class) -> Decision {
        if self.running < SLOTS && self.waiting.is_empty() {
            self.running += 1;
            return Decision::Run;
        }
        self.waiting.push((class, ticket));
        self.waiting.sort_unstable();
        if self.waiting.len() <= QUEUE as usize {
            return Decision::Wait { shed: None };
        }
        let (_, shed) = self.waiting.pop().expect("the list is not empty");
        if shed == ticket {
            Decision::Shed
        } else {
            Decision::Wait { shed: Some(shed) }
        }
    }

    fn release(&mut self) -> Option<Ticket> {
        self.running = self.running.saturating_sub(1);
        if self.running >= SLOTS || self.waiting.is_empty() {
            return None;
        }
        self.running += 1;
        Some(self.waiting.remove(0).1)
    }
}

proptest! {
    #![proptest_config(deterministic_config(300))]

    #[test]
    fn agrees_with_reference_model(steps in prop::collection::vec(step(), 1..80)) {
        let mut limit = Limit::new(SLOTS, QUEUE);
        let mut model = Model::default();
        for (ticket, step) in (1..).zip(steps) {
            match step {
                Step::Acquire(class) => {
                    prop_assert_eq!(limit.acquire(ticket, class), model.acquire(ticket, class));
                }
                Step::Release => prop_assert_eq!(limit.release(), model.release()),
                Step::Cancel(place) => {
                    let waiting = model.waiting.get(place).copied();
                    let ticket = waiting.map_or(0, |waiting| waiting.1);
                    prop_assert_eq!(limit.cancel(ticket), waiting.is_some());
                    model.waiting.retain(|waiting| waiting.1 != ticket);
                }
            }
            prop_assert!(limit.running() <= SLOTS);
            prop_assert_eq!(limit.waiting(), model.waiting.len());
        }
    }
}

#[test]
fn more_slots_admit_waiting_requests() {
    let mut limit = Limit::new(1, 4);
    for ticket in 1..=4 {
        limit.acquire(ticket, Class::Interactive);
    }
    assert_eq!(limit.resize(3, 4), [2, 3]);
}
