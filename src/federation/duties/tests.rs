//! Tests of lease timing and fencing tokens.

use super::*;
use crate::federation::state::{Command, State};
use crate::federation::MemberId;
use crate::interface::Instant;

const TIMING: LeaseTiming =
    LeaseTiming { duration: Span::from_micros(3000), guard: Span::from_micros(200), drift: 0.05 };

fn at(micros: i64) -> Instant {
    Instant::from_micros(micros)
}

fn set_duties(holder: &mut LeaseHolder, duties: &[&str]) -> Vec<Command> {
    holder.set_candidacies(&duties.iter().map(|duty| (*duty).to_owned()).collect())
}

#[test]
fn lease_runs_from_its_request_and_ends_a_guard_time_early() {
    let (mut state, mut one, mut two) = (
        State::default(),
        LeaseHolder::new(MemberId(1), TIMING, 10),
        LeaseHolder::new(MemberId(2), TIMING, 10),
    );
    assert_eq!(set_duties(&mut one, &["d"]), []);
    set_duties(&mut two, &["d"]);
    let asked = one.due_requests(at(100), &state);
    assert_eq!(asked, [Command::Acquire { duty: "d".into(), id: MemberId(1), request: 11 }]);
    let other = two.due_requests(at(100), &state);
    // Both members request the lease; it is granted to the first request in the log.
    asked.iter().chain(&other).for_each(|command| state.apply(command));
    one.observe(&state);
    two.observe(&state);
    assert_eq!((one.token(at(100), "d"), two.token(at(100), "d")), (Some(1), None));
    assert_eq!((one.token(at(2899), "d"), one.token(at(2900), "d")), (Some(1), None), "100 + 3000 - 200");
    assert!(two.due_requests(at(101), &state).is_empty(), "the lease is held by another member");
    // The lease is renewed in its last third; the renewed lease runs from the renewal's request.
    assert!(one.due_requests(at(1899), &state).is_empty());
    let renewal = one.due_requests(at(1900), &state);
    assert_eq!(renewal, [Command::Renew { duty: "d".into(), id: MemberId(1), token: 1, request: 12 }]);
    state.apply(&renewal[0]);
    one.observe(&state);
    assert_eq!((one.token(at(4699), "d"), one.token(at(4700), "d")), (Some(1), None));
    // After the release the next member gets the lease at once, with a new token.
    state.apply(&set_duties(&mut one, &[])[0]);
    let next = two.due_requests(at(2000), &state);
    state.apply(&next[0]);
    two.observe(&state);
    assert_eq!((one.token(at(2000), "d"), two.token(at(2000), "d")), (None, Some(2)));
    // Late commands about the earlier lease have no effect.
    for late in [
        Command::Renew { duty: "d".into(), id: MemberId(1), token: 1, request: 13 },
        Command::Release { duty: "d".into(), id: MemberId(1), token: 1 },
        Command::Expire { duty: "d".into(), token: 1, request: 12 },
    ] {
        let before = state.clone();
        state.apply(&late);
        assert_eq!(state, before, "{late:?}");
    }
}

#[test]
fn lease_runs_from_the_granted_request_of_this_process() {
    let (mut state, mut one) = (State::default(), LeaseHolder::new(MemberId(1), TIMING, 10));
    set_duties(&mut one, &["d"]);
    let first = one.due_requests(at(0), &state);
    let second = one.due_requests(at(150), &state);
    assert_eq!(second.len(), 1, "the request is repeated");
    state.apply(&first[0]);
    one.observe(&state);
    assert_eq!(one.token(at(2799), "d").zip(one.token(at(2800), "d")), None);
    assert_eq!(one.token(at(2799), "d"), Some(1));
    // A later process finds the lease in the log, granted to a request that it did not make.
    let mut after = LeaseHolder::new(MemberId(1), TIMING, 500);
    set_duties(&mut after, &["d"]);
    after.observe(&state);
    assert_eq!(after.token(at(0), "d"), None);
    let renewal = after.due_requests(at(1000), &state);
    assert_eq!(renewal, [Command::Renew { duty: "d".into(), id: MemberId(1), token: 1, request: 501 }]);
    state.apply(&renewal[0]);
    after.observe(&state);
    assert_eq!(after.token(at(1000), "d"), Some(1));
}

#[test]
fn leader_expires_leases_after_drift_since_last_renewal() {
    let (mut state, mut grantor) = (State::default(), LeaseGrantor::new(TIMING));
    assert_eq!(TIMING.expiry_timeout(), Span::from_micros(3316));
    state.apply(&Command::Acquire { duty: "d".into(), id: MemberId(1), request: 1 });
    assert!(grantor.due_expiries(at(1000), &state, true).is_empty());
    assert!(grantor.due_expiries(at(4315), &state, true).is_empty());
    state.apply(&Command::Renew { duty: "d".into(), id: MemberId(1), token: 1, request: 2 });
    assert!(grantor.due_expiries(at(4316), &state, true).is_empty(), "renewed in the meantime");
    let expiry = Command::Expire { duty: "d".into(), token: 1, request: 2 };
    assert_eq!(grantor.due_expiries(at(4316 + 3316), &state, true), std::slice::from_ref(&expiry));
    assert!(
        grantor.due_expiries(at(4316 + 3317), &state, true).is_empty(),
        "not proposed again before the retry interval"
    );
    assert!(grantor.due_expiries(at(9000), &state, false).is_empty());
    assert!(grantor.due_expiries(at(9001), &state, true).is_empty(), "a new leader measures leases anew");
    // A renewal before the expiry in the log keeps the lease.
    state.apply(&Command::Renew { duty: "d".into(), id: MemberId(1), token: 1, request: 3 });
    state.apply(&expiry);
    assert!(state.duties.contains_key("d"));
    state.apply(&Command::Expire { duty: "d".into(), token: 1, request: 3 });
    state.apply(&Command::Acquire { duty: "d".into(), id: MemberId(1), request: 4 });
    assert_eq!(state.duties["d"].token, 2, "a token is never issued twice");
}

#[test]
fn fence_rejects_acts_under_old_tokens() {
    let (mut state, mut fence) = (State::default(), TokenFence::default());
    assert!(fence.admits(&state, "d", MemberId(1), 5), "an act may arrive before its lease is applied here");
    assert!(!fence.admits(&state, "d", MemberId(2), 4));
    assert!(fence.admits(&state, "d", MemberId(1), 5) && fence.admits(&state, "e", MemberId(2), 4));
    state.apply(&Command::Acquire { duty: "f".into(), id: MemberId(1), request: 1 });
    assert!(
        fence.admits(&state, "f", MemberId(1), 1) && !fence.admits(&state, "f", MemberId(2), 1),
        "the token belongs to another member"
    );
}
