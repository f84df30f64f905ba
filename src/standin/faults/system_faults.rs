//! The faults of the machine on which the edge proxy runs, its clock and its system calls: their names in a
//! faults file, their default weights and how each is drawn. They have their own random stream, so that their
//! weights do not change the other faults.

use super::system_error::SystemError;
use super::{FaultKind, RunPlan};
use crate::standin::ids::HostId;
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Size of the longer steps of the wall clock, in ms.
pub(super) const HOUR_MS: i64 = 3_600_000;

/// A kind of system fault.
pub(super) struct SystemFault {
    /// Name in a faults file.
    pub(super) name: &'static str,
    /// Weight if the file states none.
    pub(super) weight: f64,
    draw: fn(&mut SystemFaultDraw<'_>) -> FaultKind,
}

const fn kind(
    name: &'static str,
    weight: f64,
    draw: fn(&mut SystemFaultDraw<'_>) -> FaultKind,
) -> SystemFault {
    SystemFault { name, weight, draw }
}

/// The random values that are drawn for every fault, whether it needs them or not, and the source of the
/// values that only some faults need.
pub(super) struct SystemFaultDraw<'a> {
    random: &'a mut ChaCha8Rng,
    accept_error: SystemError,
    exhaustion_error: SystemError,
    connect_error: SystemError,
    connection_error: SystemError,
    host: HostId,
    ms: i64,
}

impl<'a> SystemFaultDraw<'a> {
    pub(super) fn new(plan: &RunPlan, random: &'a mut ChaCha8Rng) -> Self {
        SystemFaultDraw {
            accept_error: one_of(&SystemError::OF_ACCEPT, random),
            exhaustion_error: one_of(&SystemError::OF_EXHAUSTION, random),
            connect_error: one_of(&SystemError::OF_CONNECT, random),
            connection_error: one_of(&SystemError::OF_CONNECTION, random),
            host: HostId(random.random_range(0..plan.caches + plan.parents + 1)),
            ms: random.random_range(1..=10) * 100,
            random,
        }
    }

    /// Returns a fault of this kind, after drawing the values that only this kind needs.
    pub(super) fn draw(mut self, kind: &SystemFault) -> FaultKind {
        (kind.draw)(&mut self)
    }

    fn random_bool(&mut self) -> bool {
        self.random.random_range(0..2) == 0
    }

    fn clock_step(&mut self) -> FaultKind {
        let ms = if self.random_bool() { HOUR_MS } else { 10 * self.ms };
        FaultKind::ClockStep { ms: if self.random_bool() { ms } else { -ms } }
    }

    fn connect_fails(&mut self) -> FaultKind {
        let at_once = self.random_bool();
        let error = if at_once { self.connect_error } else { self.connection_error };
        FaultKind::ConnectFails { host: self.host, error, at_once, ms: self.ms }
    }
}

fn one_of(errors: &[SystemError], random: &mut ChaCha8Rng) -> SystemError {
    errors[random.random_range(0..errors.len())]
}

/// All kinds of system faults, in the order of [`RunPlan::system_weights`].
pub(super) const SYSTEM_FAULTS: [SystemFault; 7] = [
    kind("clock_step", 2.0, |draw| draw.clock_step()),
    kind("accept_fails", 1.0, |draw| {
        let times = draw.random.random_range(1..=100);
        FaultKind::AcceptFails { error: draw.accept_error, times }
    }),
    kind("exhausted", 1.0, |draw| FaultKind::Exhausted { error: draw.exhaustion_error, ms: draw.ms }),
    kind("connect_fails", 1.0, |draw| draw.connect_fails()),
    kind("links_fail", 1.0, |draw| FaultKind::LinksFail { host: draw.host, error: draw.connection_error }),
    kind("short_io", 1.0, |draw| {
        let bytes = draw.random.random_range(50..=2000);
        FaultKind::ShortIo { bytes, ms: draw.ms }
    }),
    kind("interrupted", 1.0, |draw| FaultKind::Interrupted { ms: draw.ms }),
];
