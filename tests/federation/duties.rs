//! Tests of duties: one member at a time holds a duty, whichever process ends, stalls or is isolated, and
//! each holder's token is higher than all earlier ones.

use crate::relay::Mode;
use crate::rig::{voters, Rig};
use serde_json::Value;

/// Returns the holder of the duty `publish` in this view, and its token.
fn lease(view: &Value) -> Option<(u64, u64)> {
    let duty = view["duties"].as_array()?.iter().find(|duty| duty["duty"] == "publish")?;
    Some((duty["holder"].as_u64()?, duty["token"].as_u64()?))
}

/// Returns whether a member may act now, by its own clock.
fn may_act(view: &Value) -> bool {
    view["duties"].as_array().is_some_and(|duties| duties.iter().any(|duty| duty["held"] == true))
}

fn rig(name: &str) -> Rig {
    Rig::with_files(name, voters(1..=3), |text| {
        text.replace("tick_ms", "lease_ms = 800\n guard_ms = 100\n tick_ms")
    })
}

/// Waits until one of these members may act; returns that member and its token.
fn holder(rig: &Rig, among: &[u64]) -> (u64, u64) {
    let view = rig
        .wait_for_view(among[0], "a holder", |view| lease(view).is_some_and(|(id, _)| among.contains(&id)));
    let (id, _) = lease(&view).expect("a holder");
    let view = rig.wait_for_view(id, "it may act", may_act);
    lease(&view).expect("its own lease")
}

/// Applies `fault` to the holder and waits until another member holds the duty; returns the old and new
/// holder with their tokens.
fn take_over(rig: &mut Rig, fault: impl Fn(&mut Rig, u64)) -> [(u64, u64); 2] {
    let before = holder(rig, &[1, 2, 3]);
    fault(rig, before.0);
    let others: Vec<u64> = (1..=3).filter(|id| *id != before.0).collect();
    let after = holder(rig, &others);
    assert!(after.1 > before.1, "{after:?} after {before:?}");
    [before, after]
}

#[test]
fn killed_holder_is_replaced_under_a_higher_token() {
    let mut rig = rig("duty-killed");
    let [before, after] = take_over(&mut rig, |rig, id| rig.kill(id));
    rig.start(before.0);
    (1..=3).for_each(|id| rig.kill(id));
    (1..=3).for_each(|id| rig.start(id));
    rig.wait_for_agreement(&[1, 2, 3]);
    // The holder's next process may find and renew the lease; any other holder has a higher token.
    let now = holder(&rig, &[1, 2, 3]);
    assert!(now.1 > after.1 || now == after, "{now:?} after {after:?}");
}

#[test]
fn resumed_holder_does_not_act_after_its_lease() {
    let mut rig = rig("duty-stopped");
    let [before, after] = take_over(&mut rig, |rig, id| rig.signal(id, "-STOP"));
    rig.signal(before.0, "-CONT");
    // From its first view on: the state published before the stop must not show the duty as held now.
    let view = rig.wait_for_view(before.0, "the new holder", |view| lease(view) == Some(after));
    assert!(!may_act(&view), "{view}");
    assert_eq!(holder(&rig, &[after.0]).0, after.0);
}

#[test]
fn isolated_holder_stops_by_its_own_clock() {
    for mode in [Mode::Cut, Mode::Hold] {
        let mut rig = rig(&format!("duty-cut-{mode:?}"));
        let [before, after] = take_over(&mut rig, |rig, id| {
            rig.set_relay_modes(id, mode, (true, true));
            rig.wait_for_view(id, "it may no longer act", |view| !may_act(view));
            rig.assert_serves(id);
        });
        let view = rig.view(before.0);
        assert!(
            !may_act(&view) && lease(&view) == Some(before),
            "its view still shows its own lease, and it must not act: {view}"
        );
        rig.set_relay_modes(before.0, Mode::Pass, (true, true));
        rig.wait_for_view(before.0, "the new holder", |view| {
            lease(view).is_some_and(|lease| lease.1 >= after.1)
        });
    }
}

/// The holder receives messages but its own do not arrive, so its renewals reach no other member.
#[test]
fn holder_that_cannot_send_loses_its_duty() {
    let mut rig = rig("duty-unheard");
    let (id, token) = holder(&rig, &[1, 2, 3]);
    rig.set_relay_modes(id, Mode::Hold, (true, false));
    let others: Vec<u64> = (1..=3).filter(|other| *other != id).collect();
    let after = holder(&rig, &others);
    assert!(after.1 > token);
    rig.wait_for_view(id, "it may no longer act", |view| !may_act(view));
    rig.set_relay_modes(id, Mode::Pass, (true, false));
    rig.wait_for_view(id, "the new holder", |view| lease(view).is_some_and(|lease| lease.1 >= after.1));
}

#[test]
fn holder_releases_its_duty_on_sigterm() {
    let mut rig = rig("duty-term");
    let since = std::time::Instant::now();
    let [before, _] = take_over(&mut rig, |rig, id| rig.signal(id, "-TERM"));
    // Without the release another member would have to wait until the lease, which was just renewed, expires.
    println!("{before:?} followed after {:?}", since.elapsed());
    rig.kill(before.0);
}
