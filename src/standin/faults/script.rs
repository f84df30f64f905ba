//! Draws the faults of a seed. Each kind of randomness has its own random stream, so that the traffic of a
//! seed stays the same when some of its faults are left out.

use super::host_faults::{HostFaultDraw, HOST_FAULTS};
use super::system_faults::{SystemFaultDraw, SYSTEM_FAULTS};
use super::{Fault, FaultKind, RunPlan};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;

/// Numbers of the random streams of a seed's faults; other streams are used for traffic and order of events.
const HOST_FAULT_STREAM: u64 = 1;
const SYSTEM_FAULT_STREAM: u64 = 4;

/// The maximum number of system faults is that of host faults divided by this number, rounded up.
const OTHERS_PER_SYSTEM_FAULT: usize = 3;

/// Faults begin at multiples of this time, so that they coincide with each other and with deadlines more
/// often than at random times.
const TIME_STEP_MS: i64 = 100;

impl RunPlan {
    /// Returns the faults of a seed, in the order of their times.
    pub fn script(&self, seed: u64) -> Vec<Fault> {
        let mut faults = self.draw_host_faults(&mut random_stream(seed, HOST_FAULT_STREAM));
        faults.extend(self.draw_system_faults(&mut random_stream(seed, SYSTEM_FAULT_STREAM)));
        faults.sort_by_key(|fault| fault.at_ms);
        faults
    }

    fn draw_host_faults(&self, random: &mut ChaCha8Rng) -> Vec<Fault> {
        let is_any_drawn = self.max_faults > 0 && self.host_weights.iter().sum::<f64>() > 0.0;
        let count = if is_any_drawn { random.random_range(0..=self.max_faults) } else { 0 };
        let draw = |_| {
            let at_ms = self.draw_time(random);
            Fault { at_ms, kind: self.draw_host_fault(random) }
        };
        (0..count).map(draw).collect()
    }

    fn draw_system_faults(&self, random: &mut ChaCha8Rng) -> Vec<Fault> {
        let is_any_drawn = self.system_weights.iter().sum::<f64>() > 0.0;
        let max = if is_any_drawn { self.max_faults.div_ceil(OTHERS_PER_SYSTEM_FAULT) } else { 0 };
        let count = random.random_range(0..=max);
        let draw = |_| {
            let at_ms = self.draw_time(random);
            Fault { at_ms, kind: self.draw_system_fault(random) }
        };
        (0..count).map(draw).collect()
    }

    fn draw_time(&self, random: &mut ChaCha8Rng) -> i64 {
        random.random_range(1..self.duration_ms.max(2 * TIME_STEP_MS) / TIME_STEP_MS) * TIME_STEP_MS
    }

    fn draw_host_fault(&self, random: &mut ChaCha8Rng) -> FaultKind {
        let kind = &HOST_FAULTS[draw_weighted(&self.host_weights, random)];
        HostFaultDraw::new(self, random).draw(kind)
    }

    fn draw_system_fault(&self, random: &mut ChaCha8Rng) -> FaultKind {
        let kind = &SYSTEM_FAULTS[draw_weighted(&self.system_weights, random)];
        SystemFaultDraw::new(self, random).draw(kind)
    }
}

fn random_stream(seed: u64, stream: u64) -> ChaCha8Rng {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    random.set_stream(stream);
    random
}

/// Draws an index of a list, with probabilities proportional to the weights.
fn draw_weighted(weights: &[f64], random: &mut ChaCha8Rng) -> usize {
    let mut left = random.random_range(0.0..weights.iter().sum());
    let drawn = weights.iter().position(|weight| {
        left -= weight;
        left < 0.0
    });
    drawn.unwrap_or(0)
}
