//! Tests outages with a simulated clock, and a member whose disk fails and works again.

use super::outage::{HaltReason, Outage, Recovery};
use super::*;
use crate::config::hcl_document::HclDocument;
use crate::federation::node::founding_log;
use crate::federation::store::faulty_disk::{FaultyDisk, EIO, ENOSPC};
use crate::federation::store::{Damage, Owner};
use std::path::PathBuf;

/// Maximum time that a test waits for an expected view.
const WAIT_TIMEOUT: Duration = Duration::from_secs(60);
const SECOND: Span = Span::from_secs(1);

fn store_fails(source: StoreError) -> HaltReason {
    HaltReason::Store { path: PathBuf::from("store"), source }
}

fn disk_fails() -> HaltReason {
    store_fails(StoreError::File(std::io::Error::from_raw_os_error(ENOSPC)))
}

#[test]
fn outage_reports_each_failure_kind_once_with_backoff() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut outage = Outage::none();
    assert!(!outage.is_ongoing() && outage.recovered(Instant::ZERO).is_none());
    let mut now = Instant::ZERO;
    let mut pauses = Vec::new();
    for attempt in 0..10 {
        let failure = outage.failed(now, &disk_fails(), &mut random);
        assert_eq!(failure.report, attempt == 0, "attempt {attempt}");
        pauses.push(failure.retry_at - now);
        now = failure.retry_at;
        // The store opens, and the first save fails.
        outage.started(now);
        assert_eq!(outage.recovered(now + SECOND), None, "a start alone does not end the outage");
    }
    assert!(pauses[0] <= Span::from_millis(50) && pauses[9] >= SECOND, "{pauses:?}");
    let damage = store_fails(Damage::NotADatabase.into());
    assert!(outage.failed(now, &damage, &mut random).report, "a failure of another kind is reported");
    assert!(!outage.failed(now, &damage, &mut random).report);
    outage.started(now);
    assert_eq!(outage.recovered(now + 4 * SECOND), None);
    assert_eq!(
        outage.recovered(now + 5 * SECOND),
        Some(Recovery { lasted: now - Instant::ZERO, failures: 12 })
    );
    let next = outage.failed(now, &disk_fails(), &mut random);
    assert!(
        next.report && next.retry_at - now <= Span::from_millis(50),
        "the next outage is reported, with the minimum backoff"
    );
}

/// Returns the settings of a federation with one voter, which commits without other members.
fn settings() -> FederationSettings {
    let text = "federation {\n cluster = \"c\"\n id = 1\n store = \"unused\"\n key_file = \"unused\"\n revision = 1\n \
                listen = \"127.0.0.1:0\"\n tick_ms = 5\n lease_ms = 200\n guard_ms = 20\n compact_after = 8\n \
                member \"1\" {\n  site = \"a\"\n  address = \"127.0.0.1:1\"\n  voter = true\n }\n}\n";
    FederationSettings::parse(HclDocument { file: "f.hcl", text }).expect("the settings are valid").0
}

fn wait_for(handle: &Handle, what: &str, wanted: impl Fn(&View) -> bool) -> Arc<View> {
    let since = time::Instant::now();
    loop {
        let view = handle.view();
        if wanted(&view) {
            return view;
        }
        assert!(since.elapsed() < WAIT_TIMEOUT, "timed out waiting until {what}; {view:?}");
        std::thread::yield_now();
    }
}

fn leads(view: &View) -> bool {
    view.role == "leader" && view.committed.get() > 3
}

#[test]
fn member_halts_on_disk_failure_and_recovers_without_loss() {
    for error in [ENOSPC, EIO] {
        let settings = settings();
        let disk = FaultyDisk::default();
        disk.create_store(&Owner::new("c", MemberId(1), 77), &founding_log(&settings.founding_state()));
        let opened = disk.clone();
        let open_store =
            move |settings: &FederationSettings| opened.open_store(&settings.cluster, settings.id);
        let mut handle =
            Handle::start_with(settings, 1, Box::new(open_store)).expect("the member's thread starts");
        let mut before = wait_for(&handle, "the member leads", leads);
        for round in 0..3 {
            disk.fail_all(error);
            let halted = wait_for(&handle, "the member is halted", |view| view.halted.is_some());
            let why = halted.halted.as_deref().unwrap_or_default();
            assert!(why.contains(&std::io::Error::from_raw_os_error(error).to_string()), "{why}");
            assert_eq!((halted.leader, &halted.role[..]), (MemberId::NONE, ""));
            let failures = disk.failures();
            wait_for(&handle, "the member retries", |_| disk.failures() > failures + 3);
            assert!(handle.view().halted.is_some(), "round {round}");
            disk.repair();
            let after = wait_for(&handle, "the member leads again", leads);
            assert!(after.term > before.term && after.committed >= before.committed, "{after:?} {before:?}");
            before = after;
        }
        handle.stop();
        let (_, saved) =
            disk.after_kill().open_store("c", MemberId(1)).expect("the store opens after a kill");
        assert!(saved.last_index() >= before.committed && saved.hard_state.term >= before.term);
    }
}
