//! The faults of a run: cuts between members, stalls, crashes, failing disks, and new files.

use super::disk::DiskFault;
use super::world::{Event, World};
use super::{draw_instant, Planted, FAULTS, FIRST_FAULT, MS};
use crate::federation::log::StoredLog;
use crate::federation::state::WantedMember;
use crate::federation::MemberId;
use crate::interface::Instant;
use rand::Rng;

/// Disk faults in a run that has them.
const DISK_FAULTS: usize = 6;

impl World {
    pub(super) fn fault(&mut self) {
        let ids: Vec<MemberId> = self.members.keys().copied().collect();
        let any = ids[self.random.random_range(0..ids.len())];
        let until = self.now + self.random.random_range(1..=40_i64) * 100 * MS;
        match self.random.random_range(0..10) {
            0 | 1 => {
                let other = ids[self.random.random_range(0..ids.len())];
                self.cuts.insert((any, other), until);
                if self.random.random() {
                    self.cuts.insert((other, any), until);
                }
            }
            2 | 3 => {
                // Cut off, or not heard, or not hearing.
                let ways = self.random.random_range(1..=3);
                for other in ids.iter().filter(|id| **id != any) {
                    if ways & 1 == 1 {
                        self.cuts.insert((any, *other), until);
                    }
                    if ways & 2 == 2 {
                        self.cuts.insert((*other, any), until);
                    }
                }
            }
            4 => {
                // Whoever holds something, if anybody does.
                let holds =
                    |id: &&MemberId| self.members.get(id).is_some_and(|m| !m.holder.held().is_empty());
                let any = ids.iter().find(holds).copied().unwrap_or(any);
                if let Some(member) = self.members.get_mut(&any) {
                    member.stalled = until;
                }
            }
            5 => self.crash(any, until),
            6 => {
                if let Some(member) = self.members.get_mut(&any) {
                    (member.disk.fault, member.disk.heals_at_restart) = (Some(DiskFault::Full), true);
                }
                self.plan(until, Event::Restart(any));
            }
            7 => {
                // All at once: nothing but the stores is left.
                for id in ids {
                    let back = self.now + self.random.random_range(1..=10_i64) * 100 * MS;
                    self.crash(id, back);
                }
            }
            _ => self.new_file(),
        }
    }

    /// The disk of a member fails until then, while the member tries to go on.
    fn fail_disk(&mut self, id: MemberId) {
        let random = &mut self.disk_random;
        let until = self.now + random.random_range(1..=40_i64) * 100 * MS;
        let fault = if random.random() { DiskFault::Full } else { DiskFault::InDoubt };
        if let Some(member) = self.members.get_mut(&id) {
            (member.disk.fault, member.disk.heals_at_restart) = (Some(fault), false);
        }
        self.plan(until, Event::DiskHeals(id));
    }

    /// Plans failing disks that heal while their members try to go on. They are drawn apart from all else.
    pub(super) fn plan_disk_faults(&mut self) {
        for _ in 0..DISK_FAULTS {
            let at = draw_instant(&mut self.disk_random, FIRST_FAULT..FAULTS);
            self.plan(at, Event::DiskFails);
        }
    }

    /// Fails the disk of some member.
    pub(super) fn fail_any_disk(&mut self) {
        let ids: Vec<MemberId> = self.members.keys().copied().collect();
        let any = ids[self.disk_random.random_range(0..ids.len())];
        self.fail_disk(any);
    }

    pub(super) fn crash(&mut self, id: MemberId, back: Instant) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.node = None;
        if self.planted == Some(Planted::EmptyStore) {
            member.disk.kept = StoredLog::default();
        }
        self.plan(back, Event::Restart(id));
    }

    /// A new file: a member comes, goes, or gets or loses its vote. It reaches the members at different times.
    fn new_file(&mut self) {
        let mut file = self.files.last().cloned().unwrap_or_default();
        let ids: Vec<MemberId> = file.keys().copied().collect();
        let any = ids[self.random.random_range(0..ids.len())];
        let voters = file.values().filter(|member| member.voter).count();
        match self.random.random_range(0..3) {
            0 => {
                let last = self.members.keys().next_back().copied().unwrap_or_default();
                let id = MemberId(last.0 + 1);
                file.insert(id, WantedMember { site: "new".to_owned(), voter: voters < 5 });
                self.add(id, StoredLog::default());
            }
            1 if file.len() > 3 && (voters > 2 || !file[&any].voter) => drop(file.remove(&any)),
            _ => {
                if let Some(member) = file.get_mut(&any).filter(|member| !member.voter || voters > 2) {
                    member.voter = !member.voter;
                }
            }
        }
        self.files.push(file);
        let number = self.files.len() as u64 - 1;
        for id in self.members.keys().copied().collect::<Vec<_>>() {
            let at = self.now + self.random.random_range(0..1000_i64) * MS;
            self.plan(at, Event::File(id, number));
        }
    }
}
