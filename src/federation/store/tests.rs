//! Tests that a store keeps all acknowledged updates: when it is reopened, when its disk fails, its process
//! is killed or its power is lost in any call that changes the disk, and when its bytes are altered.

use super::faulty_disk::{DiskCall, Fault, FaultyDisk, EIO, ENOSPC};
use super::*;
use crate::federation::records::SnapshotRecord;
use crate::federation::tests::{entry, state};
use crate::federation::{LogIndex, Term};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Draws an update that is valid after `saved`.
fn random_update(random: &mut ChaCha8Rng, saved: &StoredLog) -> LogUpdate {
    let HardState { term, commit, .. } = saved.hard_state;
    let last = saved.last_index();
    let next_term = Term(term.0 + random.random_range(0..2));
    match random.random_range(0..4) {
        0 => {
            let vote = MemberId(random.random_range(0..4));
            LogUpdate {
                hard_state: Some(HardState { term: next_term, vote, commit }),
                ..LogUpdate::default()
            }
        }
        1 if last > commit => {
            let commit = LogIndex(random.random_range(commit.0..=last.0));
            LogUpdate { hard_state: Some(HardState { commit, ..saved.hard_state }), ..LogUpdate::default() }
        }
        2 if commit > saved.snapshot.index => {
            let term = saved.entries[(commit.0 - saved.snapshot.index.0) as usize - 1].term;
            let (voters, learners) = ([1, 2].map(MemberId).to_vec(), vec![MemberId(3)]);
            let snapshot = SnapshotRecord { index: commit, term, voters, learners, data: vec![9; 40] };
            LogUpdate { snapshot: Some(snapshot), ..LogUpdate::default() }
        }
        3 if random.random_range(0..10) == 0 => {
            let (index, term) = (LogIndex(last.0 + 5), next_term);
            let voters = vec![MemberId(1)];
            let snapshot = SnapshotRecord { index, term, voters, ..SnapshotRecord::default() };
            let hard = Some(HardState { term, vote: MemberId::NONE, commit: index });
            LogUpdate {
                hard_state: hard,
                snapshot: Some(snapshot),
                replaces_log: true,
                ..LogUpdate::default()
            }
        }
        _ => {
            // Entries that are not committed may be overwritten.
            let first = random.random_range(commit.0 + 1..=last.0 + 1);
            let entries = (first..first + random.random_range(1..4)).map(|index| entry(index, term.0));
            LogUpdate { entries: entries.collect(), ..LogUpdate::default() }
        }
    }
}

#[test]
fn reopened_store_equals_in_memory_log() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    for seed in 0..6 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let path = folder.path().join(format!("{seed}.redb"));
        let mut copy = founding_log(&state(&[(1, true), (2, true), (3, false)]));
        Store::create(&path, &Owner::new("c", MemberId(1), 77), &copy).expect("the store is created");
        assert!(matches!(
            Store::create(&path, &Owner::new("c", MemberId(1), 78), &copy),
            Err(StoreError::AlreadyExists)
        ));
        for _ in 0..8 {
            let (mut store, saved) = Store::open(&path, "c", MemberId(1)).expect("the store opens");
            assert_eq!((&saved, store.owner().incarnation), (&copy, 77), "seed {seed}");
            for _ in 0..random.random_range(0..6) {
                let save = random_update(&mut random, &copy);
                copy.apply(&save);
                assert_eq!(copy.check(), Ok(()), "seed {seed}: {save:?}");
                store.save(&save).expect("the update is saved");
            }
            assert!(
                matches!(Store::open(&path, "c", MemberId(1)), Err(StoreError::Locked)),
                "only one process can open the store"
            );
        }
        assert!(matches!(Store::open(&path, "c", MemberId(2)), Err(StoreError::OtherOwner(MemberId(1), _))));
        assert!(matches!(Store::open(&path, "d", MemberId(1)), Err(StoreError::OtherOwner(MemberId(1), _))));
    }
    assert!(matches!(Store::open(&folder.path().join("none"), "c", MemberId(1)), Err(StoreError::NotFound)));
}

/// Alters single bytes of a small store (every 37th), and truncates it. An altered store must fail to open or
/// hold the same data as before.
#[test]
fn altered_or_truncated_store_never_opens_with_other_data() {
    let folder = tempfile::tempdir().expect("a temporary folder");
    let (path, broken) = (folder.path().join("good"), folder.path().join("broken"));
    let kept = founding_log(&state(&[(1, true), (2, true), (3, true)]));
    Store::create(&path, &Owner::new("c", MemberId(1), 77), &kept).expect("the store is created");
    let good = std::fs::read(&path).expect("read");
    let hook = std::panic::take_hook();
    std::panic::set_hook(Box::new(|_| {}));
    let mut errors = 0;
    for at in (0..good.len().min(40_000)).step_by(37) {
        let mut bytes = good.clone();
        bytes[at] ^= 0x55;
        std::fs::write(&broken, &bytes).expect("written");
        match Store::open(&broken, "c", MemberId(1)) {
            Ok((store, saved)) => {
                assert_eq!((saved, store.owner().incarnation), (kept.clone(), 77), "byte {at}")
            }
            Err(_) => errors += 1,
        }
    }
    for part in 0..8 {
        std::fs::write(&broken, &good[..good.len() * part / 8]).expect("written");
        let opened = Store::open(&broken, "c", MemberId(1));
        assert!(matches!(opened, Err(StoreError::Damaged(_))), "{part} eighths");
    }
    std::panic::set_hook(hook);
    assert!(errors > 10, "{errors}");
}

/// Number of updates in one run of a scenario.
const UPDATES_PER_RUN: usize = 10;
/// Maximum number of attempts to open a store whose disk works again after some failures.
const MAX_OPEN_ATTEMPTS: usize = 100;
/// Length of an entry that is so large that the file has to grow, in bytes.
const LARGE_ENTRY_BYTES: usize = 300_000;
/// Length of the file's header (format, which of the two transaction slots is newer, file size), in bytes.
const HEADER_BYTES: usize = 64;
/// Byte and bit that select the newer of the two transaction slots: the only bit that no checksum covers.
const PRIMARY_SLOT_BIT: (usize, u8) = (9, 1);

/// A member that saves updates as the runtime does: after a failure it opens the store again until this
/// succeeds.
struct Scenario {
    disk: FaultyDisk,
    random: ChaCha8Rng,
    /// The logs that the disk may hold: the acknowledged one, and the one with the update whose save failed
    /// or was interrupted.
    possible: Vec<StoredLog>,
    /// Number of times that the store was opened after a failure.
    recoveries: usize,
    /// Number of extra bytes in each entry, beyond the few that distinguish it from others.
    padding: usize,
}

impl Scenario {
    fn new(seed: u64, padding: usize) -> Self {
        let disk = FaultyDisk::default();
        let founded = founding_log(&state(&[(1, true), (2, true), (3, false)]));
        disk.create_store(&Owner::new("c", MemberId(1), 77), &founded);
        Scenario {
            disk,
            random: ChaCha8Rng::seed_from_u64(seed),
            possible: vec![founded],
            recoveries: 0,
            padding,
        }
    }

    /// Opens the store. Returns `None` if the process was killed.
    fn open(&mut self) -> Option<Store> {
        for _ in 0..MAX_OPEN_ATTEMPTS {
            match self.disk.open_store("c", MemberId(1)) {
                Ok((store, saved)) => {
                    assert!(self.possible.contains(&saved), "{saved:?} instead of {:?}", self.possible);
                    self.possible = vec![saved];
                    return Some(store);
                }
                Err(_) if self.disk.killed() => return None,
                Err(error) => assert!(
                    matches!(error, StoreError::Database(_)),
                    "{error}: a failing disk must not count as damage"
                ),
            }
        }
        panic!("the store did not open in {MAX_OPEN_ATTEMPTS} attempts");
    }

    /// Saves updates and returns the open store, or `None` if the process was killed.
    fn run(&mut self) -> Option<Store> {
        let mut store = self.open()?;
        for _ in 0..UPDATES_PER_RUN {
            let before = self.possible[0].clone();
            let mut save = random_update(&mut self.random, &before);
            save.entries.iter_mut().for_each(|entry| entry.data.resize(3 + self.padding, 7));
            let mut after = before.clone();
            after.apply(&save);
            match store.save(&save) {
                Ok(()) => self.possible = vec![after],
                Err(error) => {
                    assert!(matches!(error, StoreError::Database(_)), "{error}");
                    assert!(
                        matches!(store.save(&save), Err(StoreError::Poisoned)),
                        "nothing is acknowledged after a failure"
                    );
                    self.possible = vec![before, after];
                    drop(store);
                    store = self.open()?;
                    self.recoveries += 1;
                    // From now on the member relies on what it read after the failure, so it must be durable.
                    self.check_after_power_loss();
                }
            }
        }
        Some(store)
    }

    fn check(&self, disk: &FaultyDisk, what: &str) {
        let (_, saved) = disk.open_store("c", MemberId(1)).unwrap_or_else(|error| panic!("{what}: {error}"));
        assert!(self.possible.contains(&saved), "{what}: {saved:?} instead of {:?}", self.possible);
    }

    fn check_after_power_loss(&mut self) {
        for _ in 0..3 {
            let disk = self.disk.after_power_loss(&mut self.random);
            self.check(&disk, "after a power loss");
        }
    }
}

/// Runs `check` once for each call (of one kind, or of all) that changes the disk in a scenario, on a disk
/// that `set_up` prepares for that call. Returns the number of calls.
fn for_each_disk_call(
    (seed, padding): (u64, usize),
    only: Option<DiskCall>,
    set_up: impl Fn(&FaultyDisk, u64),
    mut check: impl FnMut(&mut Scenario),
) -> usize {
    let mut undisturbed = Scenario::new(seed, padding);
    let created = undisturbed.disk.calls();
    drop(undisturbed.run());
    let mut calls = undisturbed.disk.calls_of(only);
    calls.retain(|call| *call > created);
    for call in &calls {
        let mut scenario = Scenario::new(seed, padding);
        set_up(&scenario.disk, *call);
        check(&mut scenario);
    }
    calls.len()
}

#[test]
fn acknowledged_updates_survive_temporary_disk_failures() {
    for (seed, padding, only, error) in [
        (1, 0, None, ENOSPC),
        (2, 0, None, EIO),
        (3, 0, Some(DiskCall::Write), ENOSPC),
        (4, 0, Some(DiskCall::Sync), EIO),
        (5, LARGE_ENTRY_BYTES, Some(DiskCall::SetLen), ENOSPC),
    ] {
        let (mut recoveries, mut failures) = (0, 0);
        let fail =
            |disk: &FaultyDisk, call| disk.fail(Fault { calls: call..call + 1 + call % 20, only, error });
        let calls = for_each_disk_call((seed, padding), only, fail, |scenario| {
            let store = scenario.run().expect("the process is not killed");
            scenario.check(&scenario.disk.after_kill(), "after a kill");
            scenario.check_after_power_loss();
            drop(store); // closing may fail as well
            scenario.check(&scenario.disk.after_kill(), "after it was closed");
            recoveries += scenario.recoveries;
            failures += scenario.disk.failures();
        });
        assert!(
            calls > 1 && failures > 0 && recoveries > 0,
            "seed {seed}: {calls}, {failures}, {recoveries}"
        );
    }
}

#[test]
fn acknowledged_updates_survive_kill_and_power_loss() {
    for (seed, padding, only) in
        [(11, 0, None), (12, 0, None), (13, LARGE_ENTRY_BYTES, Some(DiskCall::SetLen))]
    {
        let calls = for_each_disk_call((seed, padding), only, FaultyDisk::kill_at, |scenario| {
            drop(scenario.run()); // the kill may happen while the store is closed
            assert!(scenario.disk.killed());
            scenario.check(&scenario.disk.after_kill(), "after a kill");
            scenario.check_after_power_loss();
        });
        assert!(calls > 1, "seed {seed}: {calls} calls");
    }
}

/// With commits in one phase, the library fell back to the state before the last vote when the newest pages
/// were altered.
#[test]
fn altered_store_never_reverts_to_older_state() {
    let mut scenario = Scenario::new(21, 0);
    let store = scenario.run().expect("the process is not killed");
    let good = scenario.disk.bytes();
    drop(store);
    let mut errors = 0;
    let header = (0..HEADER_BYTES).flat_map(|at| (0..8).map(move |bit| (at, 1 << bit)));
    let pages = (HEADER_BYTES..good.len()).step_by(19).map(|at| (at, 0x55));
    for (at, change) in header.chain(pages).filter(|altered| *altered != PRIMARY_SLOT_BIT) {
        let mut bytes = good.clone();
        bytes[at] ^= change;
        match FaultyDisk::with_contents(bytes).open_store("c", MemberId(1)) {
            Ok((_, saved)) => {
                assert!(scenario.possible.contains(&saved), "byte {at}, {change:#x}: {saved:?}")
            }
            Err(_) => errors += 1,
        }
    }
    assert!(errors > 10, "{errors}");
}
