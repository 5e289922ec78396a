//! Tests for finding the requests that were running when a target crashed.

use std::time::{Duration, Instant};

use jackdawpulley::quarantine::fingerprint::{Content, Fingerprint};
use jackdawpulley::quarantine::running::{Completion, Run, Running};
use jackdawpulley::units::Service;

fn run(path: &str, began: Instant) -> Run {
    Run {
        fingerprint: Fingerprint::of("GET", "shop", path, Content::Whole(b"")),
        route: "titles".to_owned(),
        from: Service::from("desk"),
        began,
    }
}

/// Records that the target crashed at `now`; returns the runs that may have crashed it.
fn crash(running: &mut Running, now: Instant) -> Vec<Run> {
    assert!(running.begin_check());
    running.finish_check(now, Some(now))
}

#[test]
fn running_requests_are_reported() {
    let (mut running, now) = (Running::default(), Instant::now());
    let broken = running.begin(run("/broken", now));
    running.begin(run("/running", now));
    let refused = running.begin(run("/refused", now));
    running.finish(now, refused, Completion::Resolved);
    running.finish(now, broken, Completion::Unresolved);
    assert_eq!(
        crash(&mut running, now),
        [run("/broken", now), run("/running", now)]
    );
}

/// A response is lost and its connection closes, but the target still listens: it has not crashed.
#[test]
fn listening_target_has_not_crashed() {
    let (mut running, now) = (Running::default(), Instant::now());
    let broken = running.begin(run("/broken", now));
    running.finish(now, broken, Completion::Unresolved);
    assert!(running.begin_check());
    assert!(!running.begin_check(), "once at a time");
    assert!(running.finish_check(now, None).is_empty());
    assert!(running.begin_check());
}

/// A target announces its stop and stops while a slow request is running. The request is not the cause.
#[test]
fn planned_stop_implicates_no_request() {
    let (mut running, now) = (Running::default(), Instant::now());
    running.begin(run("/slow", now));
    running.mark_draining();
    assert!(crash(&mut running, now).is_empty());
    running.mark_ready(true);
    assert_eq!(crash(&mut running, now), [run("/slow", now)]);
}

/// A request that many callers send is running at every crash. The target process has answered it before, so
/// something else crashed it.
#[test]
fn answered_request_is_not_implicated() {
    let (mut running, now) = (Running::default(), Instant::now());
    let first = running.begin(run("/popular", now));
    running.finish(now, first, Completion::Answered);
    running.begin(run("/popular", now));
    assert!(crash(&mut running, now).is_empty());
    running.mark_ready(true);
    let later = now + Duration::from_millis(1);
    running.begin(run("/popular", later));
    assert_eq!(
        crash(&mut running, later),
        [run("/popular", later)],
        "another process"
    );
}

/// A caller gives up on a request shortly before it crashes its target.
#[test]
fn abandoned_request_counts_briefly() {
    let (mut running, now) = (Running::default(), Instant::now());
    let given_up = running.begin(run("/given-up", now));
    running.finish(now, given_up, Completion::Unresolved);
    let soon = now + Duration::from_millis(100);
    assert_eq!(crash(&mut running, soon).len(), 1);
    let later = soon + Duration::from_millis(1);
    let given_up = running.begin(run("/given-up", later));
    running.finish(later, given_up, Completion::Unresolved);
    assert!(crash(&mut running, later + Duration::from_secs(2)).is_empty());
}

/// Guards against missing a crash because the target is restarted before its sidecar has checked it.
#[test]
fn quick_restart() {
    let (mut running, now) = (Running::default(), Instant::now());
    let broken = running.begin(run("/broken", now));
    running.finish(now, broken, Completion::Unresolved);
    assert!(running.begin_check());
    assert!(
        running.finish_check(now, None).is_empty(),
        "the new process listens"
    );
    running.begin(run("/under-way", now));
    let later = now + Duration::from_secs(2);
    running.begin(run("/new", later));
    let age = Some(Duration::from_secs(1));
    assert_eq!(
        running.restarted(later, age),
        [run("/broken", now), run("/under-way", now)]
    );
}

/// Guards against simultaneous crashes that seem to lie apart.
#[test]
fn restart_dates_the_crash() {
    let (mut running, now) = (Running::default(), Instant::now());
    let ms = Duration::from_millis;
    assert_eq!(running.crash_time(now, None), now);
    let broken = running.begin(run("/broken", now));
    running.finish(now + ms(10), broken, Completion::Unresolved);
    let announced = now + ms(700);
    assert_eq!(running.crash_time(announced, None), now + ms(10));
    assert_eq!(running.crash_time(announced, Some(ms(600))), now + ms(10));
    // A run that was given up after the new process started does not affect the time of the crash.
    let late = running.begin(run("/late", now));
    running.finish(now + ms(500), late, Completion::Unresolved);
    let end = running.crash_time(announced, Some(ms(600)));
    assert_eq!(end, now + ms(100));
}

/// Guards against reporting a crash twice: when it is detected and when the new process announces itself.
#[test]
fn detected_crash_is_reported_once() {
    let (mut running, now) = (Running::default(), Instant::now());
    let late = running.begin(run("/late", now));
    assert_eq!(crash(&mut running, now), [run("/late", now)]);
    running.finish(now, late, Completion::Unresolved);
    assert!(running.restarted(now, None).is_empty());
}

/// Guards against implicating requests in a planned restart.
#[test]
fn planned_restart() {
    let (mut running, now) = (Running::default(), Instant::now());
    let cut = running.begin(run("/cut", now));
    running.mark_draining();
    running.finish(now, cut, Completion::Unresolved);
    assert!(running.restarted(now, None).is_empty());
}

/// Guards against attributing a crash to a connection that was cut long before.
#[test]
fn old_broken_connection() {
    let (mut running, now) = (Running::default(), Instant::now());
    let cut = running.begin(run("/cut", now));
    running.finish(now, cut, Completion::Unresolved);
    let later = now + Duration::from_secs(6);
    assert!(running.restarted(later, None).is_empty());
}

/// Guards against missing the crash of a process because the check after the previous crash finished late.
#[test]
fn late_check() {
    let (mut running, now) = (Running::default(), Instant::now());
    let ms = Duration::from_millis;
    for process in 1..=3 {
        let began = now + process * ms(400);
        let broken = running.begin(run("/fatal", began));
        let refused_at = began + ms(345);
        let announced = refused_at + ms(5);
        running.finish(refused_at, broken, Completion::Unresolved);
        assert!(running.begin_check());
        assert_eq!(
            running.restarted(announced, Some(ms(2))),
            [run("/fatal", began)]
        );
        running.mark_ready(true);
        let late = announced + ms(5);
        assert!(
            running.finish_check(late, Some(refused_at)).is_empty(),
            "reported already"
        );
    }
}

/// Guards against missing a crash because the new process announced itself before the check finished.
#[test]
fn restart_before_check() {
    let (mut running, now) = (Running::default(), Instant::now());
    let broken = running.begin(run("/fatal", now));
    running.finish(now, broken, Completion::Unresolved);
    assert!(running.begin_check());
    running.mark_ready(true);
    let next = running.begin(run("/next", now + Duration::from_millis(5)));
    let late = now + Duration::from_millis(10);
    assert_eq!(running.finish_check(late, Some(now)), [run("/fatal", now)]);
    running.finish(late, next, Completion::Unresolved);
    assert_eq!(
        crash(&mut running, late),
        [run("/next", now + Duration::from_millis(5))]
    );
}

/// Guards against reporting a crash twice because some of its connections break late.
#[test]
fn late_broken_connection() {
    let (mut running, now) = (Running::default(), Instant::now());
    let late = running.begin(run("/late", now));
    let later = now + Duration::from_millis(400);
    let age = Some(Duration::from_millis(100));
    assert_eq!(running.restarted(later, age), [run("/late", now)]);
    running.mark_ready(true);
    running.finish(later, late, Completion::Unresolved);
    assert!(crash(&mut running, later).is_empty());
}

/// Guards against a crash that is not reported because the request that caused it began while the target was
/// being restarted, and was taken for one of the process before.
#[test]
fn run_belongs_to_connected_process() {
    let (mut running, start) = (Running::default(), Instant::now());
    let at = |ms| start + Duration::from_millis(ms);
    let cause = running.begin(run("/cause", at(0)));
    // The next process starts at 10 ms, gets the request at 20 ms and announces itself at 30 ms.
    running.mark_connected(at(20), cause);
    let age = Some(Duration::from_millis(20));
    assert!(running.restarted(at(30), age).is_empty(), "it never had it");
    assert_eq!(crash(&mut running, at(400)), [run("/cause", at(20))]);
}
