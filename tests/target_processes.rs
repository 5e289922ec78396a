//! Order of the announcements of a target's processes.

use jackdawpulley::membership::target::{Process, Processes, Recency};
use jackdawpulley::units::StartTime;
use proptest::prelude::*;

/// Time of departures, in Unix milliseconds; later than all start times.
const NOW: StartTime = StartTime(1_000);

fn process(start_time: u64) -> Process {
    Process::new("a", Some(StartTime(start_time)))
}

/// A daemon that starts beside a target learns its instance name from its health check, but not its start time.
/// The first heartbeat, whatever its sequence number, is of that process.
#[test]
fn start_time_is_learnt() {
    let mut processes = Processes::default();
    processes.confirm(&"a".into());
    assert_eq!(processes.observe(&process(5), 1), Recency::Current);
    assert_eq!(processes.observe(&process(4), 9), Recency::Ended);
    assert_eq!(
        processes.observe(&Process::new("a", None), 9),
        Recency::Stale
    );
}

/// A target that reported no start time deregisters; the next process of its name reports one.
#[test]
fn process_without_start_time_ends() {
    let mut processes = Processes::default();
    let unknown_start = Process::new("a", None);
    assert_eq!(processes.observe(&unknown_start, 7), Recency::New);
    assert!(processes.depart(&unknown_start, NOW));
    assert_eq!(processes.observe(&Process::new("b", None), 1), Recency::New);
    assert_eq!(processes.observe(&unknown_start, 8), Recency::Ended);
    assert!(processes.may_replace_another(&process(5)));
    assert_eq!(processes.observe(&process(5), 1), Recency::New);
}

/// A process whose deregistration arrives before any heartbeat of it is not accepted later.
#[test]
fn deregistration_may_come_first() {
    let mut processes = Processes::default();
    assert_eq!(processes.observe(&process(5), 3), Recency::New);
    assert!(
        processes.depart(&process(6), NOW),
        "the process that was current has ended as well"
    );
    assert_eq!(processes.observe(&process(6), 1), Recency::Ended);
    assert_eq!(processes.observe(&process(5), 4), Recency::Ended);
    assert_eq!(processes.observe(&process(7), 1), Recency::New);
}

proptest! {
    /// In whatever order heartbeats and deregistrations of the processes of one name arrive, an earlier process
    /// never becomes current again, and one that has deregistered accepts no calls again.
    #[test]
    fn ended_process_never_returns(announcements in prop::collection::vec((0_u64..6, 1_u64..5, any::<bool>()), 1..60)) {
        let mut processes = Processes::default();
        let (mut newest, mut ended) = (None, None);
        for (start_time, sequence, deregisters) in announcements {
            if deregisters {
                processes.depart(&process(start_time), NOW);
                ended = ended.max(Some(start_time));
                newest = newest.max(Some(start_time));
                continue;
            }
            let recency = processes.observe(&process(start_time), sequence);
            let accepted = matches!(recency, Recency::New | Recency::Current);
            prop_assert!(!accepted || newest.is_none_or(|newest| start_time >= newest));
            prop_assert!(!accepted || ended < Some(start_time) || processes.is_leaving());
            if accepted {
                newest = newest.max(Some(start_time));
            }
        }
    }
}
