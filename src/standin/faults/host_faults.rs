//! The faults of hosts, the feed, clients and processes: their names in a faults file, their default weights
//! and how each is drawn.

use super::{FaultKind, RunPlan};
use crate::standin::ids::{ClientId, HostId};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// A kind of host fault.
pub(super) struct HostFault {
    /// Name in a faults file.
    pub(super) name: &'static str,
    /// Weight if the file states none.
    pub(super) weight: f64,
    draw: fn(&mut HostFaultDraw<'_>) -> FaultKind,
}

const fn kind(name: &'static str, weight: f64, draw: fn(&mut HostFaultDraw<'_>) -> FaultKind) -> HostFault {
    HostFault { name, weight, draw }
}

/// The random values that are drawn for every fault, whether it needs them or not, and the source of the
/// values that only some faults need.
pub(super) struct HostFaultDraw<'a> {
    plan: &'a RunPlan,
    random: &'a mut ChaCha8Rng,
    /// Any host of the fleet.
    host: HostId,
    /// A host whose entry in the endpoint list may change. The origin's entry never changes.
    cache_or_parent: HostId,
    ms: i64,
}

impl<'a> HostFaultDraw<'a> {
    pub(super) fn new(plan: &'a RunPlan, random: &'a mut ChaCha8Rng) -> Self {
        let host = HostId(random.random_range(0..plan.caches + plan.parents + 1));
        let cache_or_parent = HostId(random.random_range(0..plan.caches + plan.parents));
        let ms = random.random_range(1..=25) * 100;
        HostFaultDraw { plan, random, host, cache_or_parent, ms }
    }

    /// Returns a fault of this kind, after drawing the values that only this kind needs.
    pub(super) fn draw(mut self, kind: &HostFault) -> FaultKind {
        (kind.draw)(&mut self)
    }

    fn client(&mut self) -> ClientId {
        ClientId(self.random.random_range(0..self.plan.clients))
    }
}

/// All kinds of host faults, in the order of [`RunPlan::host_weights`].
pub(super) const HOST_FAULTS: [HostFault; 24] = [
    kind("silent", 2.0, |draw| FaultKind::Silent { host: draw.host, ms: draw.ms }),
    kind("killed", 2.0, |draw| FaultKind::Killed { host: draw.host, ms: draw.ms }),
    kind("reset", 2.0, |draw| FaultKind::Reset { host: draw.host }),
    kind("slow", 2.0, |draw| {
        let times = draw.random.random_range(5..=100);
        FaultKind::Slow { host: draw.host, times, ms: draw.ms }
    }),
    kind("errors", 1.0, |draw| FaultKind::Errors { host: draw.host, ms: draw.ms }),
    kind("garbled", 1.0, |draw| FaultKind::Garbled { host: draw.host }),
    kind("drained", 3.0, |draw| FaultKind::Drained { host: draw.cache_or_parent }),
    kind("removed", 1.0, |draw| FaultKind::Removed { host: draw.cache_or_parent }),
    kind("ready", 1.0, |draw| FaultKind::Ready { host: draw.cache_or_parent }),
    kind("purge_object", 3.0, |draw| FaultKind::PurgeObject {
        object: draw.random.random_range(0..draw.plan.objects),
    }),
    kind("purge_group", 1.0, |_| FaultKind::PurgeGroup),
    kind("feed_silent", 1.0, |draw| FaultKind::FeedSilent { ms: draw.ms }),
    kind("feed_reset", 1.0, |_| FaultKind::FeedReset),
    kind("client_gone", 1.0, |draw| FaultKind::ClientGone { client: draw.client() }),
    kind("client_closes", 1.0, |draw| FaultKind::ClientCloses { client: draw.client() }),
    kind("slow_dials", 1.0, |draw| {
        let late_ms = draw.random.random_range(1..=15) * 100;
        FaultKind::SlowDials { host: draw.host, late_ms, ms: draw.ms }
    }),
    kind("closes_idle", 1.0, |draw| FaultKind::ClosesIdle { host: draw.host }),
    kind("answers_twice", 1.0, |draw| FaultKind::AnswersTwice { host: draw.host }),
    kind("polls_lost", 0.5, |_| FaultKind::PollsLost),
    kind("whole_list", 0.5, |_| FaultKind::WholeList),
    kind("stop", 0.5, |_| FaultKind::Stop),
    kind("upgrade", 0.5, |_| FaultKind::Upgrade),
    kind("upgrade_dies", 0.5, |draw| FaultKind::UpgradeDies { ms: draw.random.random_range(1..=20) * 50 }),
    kind("crash", 0.3, |_| FaultKind::Crash),
];

/// The kinds of [`HOST_FAULTS`] that affect the feed's connections, clients or processes instead of hosts.
pub(super) const NON_HOST_FAULTS: [&str; 10] = [
    "feed_silent",
    "feed_reset",
    "client_gone",
    "client_closes",
    "polls_lost",
    "whole_list",
    "stop",
    "upgrade",
    "upgrade_dies",
    "crash",
];
