//! Outages by a clock that is passed in, and a member on a disk that fails and works again.

use super::outage::{HaltReason, Outage, Recovery};
use super::*;
use crate::config::hcl_document::HclDocument;
use crate::federation::node::founding_log;
use crate::federation::store::faulty_disk::{FaultyDisk, EIO, ENOSPC};
use crate::federation::store::{Damage, Owner};
use std::path::PathBuf;

/// How long a test waits for what must come.
const LONG: Duration = Duration::from_secs(60);
const SECOND: Span = Span::from_secs(1);

fn store_fails(source: StoreError) -> HaltReason {
    HaltReason::Store { path: PathBuf::from("store"), source }
}

fn disk_fails() -> HaltReason {
    store_fails(StoreError::File(std::io::Error::from_raw_os_error(ENOSPC)))
}

#[test]
fn an_outage_is_reported_once_for_each_kind_and_its_pauses_grow_until_it_is_over() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut outage = Outage::none();
    assert!(!outage.lasts() && outage.recovered(Instant::ZERO).is_none());
    let mut now = Instant::ZERO;
    let mut pauses = Vec::new();
    for attempt in 0..10 {
        let failure = outage.failed(now, &disk_fails(), &mut random);
        assert_eq!(failure.report, attempt == 0, "attempt {attempt}");
        pauses.push(failure.retry_at - now);
        now = failure.retry_at;
        // The store can be opened, and the first step fails.
        outage.started(now);
        assert_eq!(outage.recovered(now + SECOND), None, "a start alone ends no outage");
    }
    assert!(pauses[0] <= Span::from_millis(50) && pauses[9] >= SECOND, "{pauses:?}");
    let damage = store_fails(Damage::NotADatabase.into());
    assert!(outage.failed(now, &damage, &mut random).report, "another kind is news");
    assert!(!outage.failed(now, &damage, &mut random).report);
    outage.started(now);
    assert_eq!(outage.recovered(now + 4 * SECOND), None);
    assert_eq!(
        outage.recovered(now + 5 * SECOND),
        Some(Recovery { lasted: now - Instant::ZERO, failures: 12 })
    );
    let next = outage.failed(now, &disk_fails(), &mut random);
    assert!(next.report && next.retry_at - now <= Span::from_millis(50), "the next outage begins anew");
}

/// A federation of one voter, which commits by itself.
fn settings() -> FederationSettings {
    let text = "federation {\n cluster = \"c\"\n id = 1\n store = \"unused\"\n key_file = \"unused\"\n revision = 1\n \
                listen = \"127.0.0.1:0\"\n tick_ms = 5\n lease_ms = 200\n guard_ms = 20\n compact_after = 8\n \
                member \"1\" {\n  site = \"a\"\n  address = \"127.0.0.1:1\"\n  voter = true\n }\n}\n";
    FederationSettings::parse(HclDocument { file: "f.hcl", text }).expect("usable").0
}

fn until(handle: &Handle, what: &str, wanted: impl Fn(&View) -> bool) -> Arc<View> {
    let since = time::Instant::now();
    loop {
        let view = handle.view();
        if wanted(&view) {
            return view;
        }
        assert!(since.elapsed() < LONG, "it never came to: {what}; {view:?}");
        std::thread::yield_now();
    }
}

fn leads(view: &View) -> bool {
    view.role == "leader" && view.committed.get() > 3
}

#[test]
fn a_member_whose_disk_fails_is_halted_and_goes_on_with_all_it_acknowledged_once_the_disk_works() {
    for error in [ENOSPC, EIO] {
        let settings = settings();
        let disk = FaultyDisk::default();
        disk.create_store(&Owner::new("c", MemberId(1), 77), &founding_log(&settings.founding_state()));
        let opened = disk.clone();
        let open_store =
            move |settings: &FederationSettings| opened.open_store(&settings.cluster, settings.id);
        let mut handle = Handle::start_with(settings, 1, Box::new(open_store)).expect("a thread");
        let mut before = until(&handle, "it leads", leads);
        for round in 0..3 {
            disk.break_down(error);
            let halted = until(&handle, "it is halted", |view| view.halted.is_some());
            let why = halted.halted.as_deref().unwrap_or_default();
            assert!(why.contains(&std::io::Error::from_raw_os_error(error).to_string()), "{why}");
            assert_eq!((halted.leader, &halted.role[..]), (MemberId::NONE, ""));
            let failures = disk.failures();
            until(&handle, "it tries again", |_| disk.failures() > failures + 3);
            assert!(handle.view().halted.is_some(), "round {round}");
            disk.heal();
            let after = until(&handle, "it leads again", leads);
            assert!(after.term > before.term && after.committed >= before.committed, "{after:?} {before:?}");
            before = after;
        }
        handle.stop();
        let (_, saved) = disk.after_kill().open_store("c", MemberId(1)).expect("usable at any time");
        assert!(saved.last_index() >= before.committed && saved.hard_state.term >= before.term);
    }
}
