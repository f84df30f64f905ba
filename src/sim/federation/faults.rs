//! Faults of a run: partitions between members, stalls, crashes, failing disks, and new files.

use super::disk::DiskFault;
use super::world::{FederationEvent, FederationWorld};
use super::{draw_instant, PlantedBug, FIRST_FAULT, LAST_FAULT, MS};
use crate::federation::log::StoredLog;
use crate::federation::state::WantedMember;
use crate::federation::MemberId;
use crate::interface::Instant;
use rand::Rng;

/// Number of healing disk faults in a run that has them.
const DISK_FAULTS: usize = 6;

impl FederationWorld {
    /// Draws a fault's kind, member and duration, and begins it.
    pub(super) fn begin_fault(&mut self) {
        let ids = self.ids();
        let any = self.draw_member(&ids);
        let until = self.now + self.random.random_range(1..=40_i64) * 100 * MS;
        match self.random.random_range(0..10) {
            0 | 1 => self.partition_pair(any, &ids, until),
            2 | 3 => self.isolate(any, &ids, until),
            4 => self.stall_lease_holder(any, &ids, until),
            5 => self.crash(any, until),
            6 => self.fill_disk(any, until),
            7 => self.crash_all(&ids),
            _ => self.new_file(),
        }
    }

    fn ids(&self) -> Vec<MemberId> {
        self.members.keys().copied().collect()
    }

    fn draw_member(&mut self, ids: &[MemberId]) -> MemberId {
        ids[self.random.random_range(0..ids.len())]
    }

    /// Partitions a member from another one, in one direction or both.
    fn partition_pair(&mut self, id: MemberId, ids: &[MemberId], until: Instant) {
        let other = self.draw_member(ids);
        self.partitions.insert((id, other), until);
        if self.random.random() {
            self.partitions.insert((other, id), until);
        }
    }

    /// Partitions a member from all others: messages that it sends are lost, or messages to it, or both.
    fn isolate(&mut self, id: MemberId, ids: &[MemberId], until: Instant) {
        const SENDING: u32 = 1;
        const RECEIVING: u32 = 2;
        let ways = self.random.random_range(1..=SENDING | RECEIVING);
        for other in ids.iter().filter(|other| **other != id) {
            if ways & SENDING != 0 {
                self.partitions.insert((id, *other), until);
            }
            if ways & RECEIVING != 0 {
                self.partitions.insert((*other, id), until);
            }
        }
    }

    /// Stalls the first member that holds a lease, or the given one if none does.
    fn stall_lease_holder(&mut self, id: MemberId, ids: &[MemberId], until: Instant) {
        let holds =
            |id: &&MemberId| self.members.get(id).is_some_and(|member| !member.holder.held().is_empty());
        let id = ids.iter().find(holds).copied().unwrap_or(id);
        if let Some(member) = self.members.get_mut(&id) {
            member.stalled_until = until;
        }
    }

    /// Fills a member's disk until the member is restarted at `until`.
    fn fill_disk(&mut self, id: MemberId, until: Instant) {
        if let Some(member) = self.members.get_mut(&id) {
            (member.disk.fault, member.disk.heals_at_restart) = (Some(DiskFault::Full), true);
        }
        self.schedule(until, FederationEvent::Restart(id));
    }

    /// Crashes all members at once, so that only their stores are left; each restarts within a second.
    fn crash_all(&mut self, ids: &[MemberId]) {
        for id in ids {
            let back = self.now + self.random.random_range(1..=10_i64) * 100 * MS;
            self.crash(*id, back);
        }
    }

    /// Lets a member's disk fail for a time that is drawn, while the member keeps trying.
    fn fail_disk(&mut self, id: MemberId) {
        let random = &mut self.disk_random;
        let until = self.now + random.random_range(1..=40_i64) * 100 * MS;
        let fault = if random.random() { DiskFault::Full } else { DiskFault::InDoubt };
        if let Some(member) = self.members.get_mut(&id) {
            (member.disk.fault, member.disk.heals_at_restart) = (Some(fault), false);
        }
        self.schedule(until, FederationEvent::DiskHeals(id));
    }

    /// Schedules disk faults that heal while their members keep trying. They are drawn from a separate random
    /// generator, so that the other draws stay the same.
    pub(super) fn plan_disk_faults(&mut self) {
        for _ in 0..DISK_FAULTS {
            let at = draw_instant(&mut self.disk_random, FIRST_FAULT..LAST_FAULT);
            self.schedule(at, FederationEvent::DiskFails);
        }
    }

    /// Lets the disk of a member that is drawn fail.
    pub(super) fn fail_any_disk(&mut self) {
        let ids = self.ids();
        let any = ids[self.disk_random.random_range(0..ids.len())];
        self.fail_disk(any);
    }

    /// Ends a member's process, and schedules its restart at `back`.
    pub(super) fn crash(&mut self, id: MemberId, back: Instant) {
        let Some(member) = self.members.get_mut(&id) else { return };
        member.node = None;
        if self.planted_bug == Some(PlantedBug::EmptyStore) {
            member.disk.stored = StoredLog::default();
        }
        self.schedule(back, FederationEvent::Restart(id));
    }

    /// Publishes a new file, in which a member is added or removed, or becomes a voter or a learner. It
    /// reaches the members at different times within a second.
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
        for id in self.ids() {
            let at = self.now + self.random.random_range(0..1000_i64) * MS;
            self.schedule(at, FederationEvent::File(id, number));
        }
    }
}
