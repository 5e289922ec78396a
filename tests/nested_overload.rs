//! Order of nested calls in a target's queue.

mod common;

use common::deterministic_config;
use jackdawpulley::calls::limit::{Decision, Limit, Rank};
use jackdawpulley::units::Priority;
use proptest::prelude::*;

proptest! {
    #![proptest_config(deterministic_config(64))]

    /// Guards against new work that overtakes the calls of started runs at the same priority.
    #[test]
    fn calls_of_started_runs_go_first(arrivals in prop::collection::vec((0_u8..3, any::<bool>()), 1..40)) {
        let mut limit = Limit::new(1, 8);
        limit.acquire(0, Priority(0));
        let mut waiting = Vec::new();
        for (ticket, (priority, is_new)) in (1..).zip(arrivals) {
            let rank = Rank { priority: Priority(priority), is_new };
            match limit.acquire(ticket, rank) {
                Decision::Run => prop_assert!(false, "the slot is taken"),
                Decision::Shed => prop_assert!(waiting.iter().all(|(other, _)| *other <= rank)),
                Decision::Wait { shed } => {
                    waiting.push((rank, ticket));
                    waiting.retain(|(_, other)| Some(*other) != shed);
                }
            }
        }
        waiting.sort_unstable();
        let order: Vec<_> = std::iter::from_fn(|| limit.release()).collect();
        prop_assert_eq!(order, waiting.into_iter().map(|(_, ticket)| ticket).collect::<Vec<_>>());
    }
}
