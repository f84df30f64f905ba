//! The size of a run and the weights of its faults.

use super::host_faults::{HOST_FAULTS, NON_HOST_FAULTS};
use super::system_faults::SYSTEM_FAULTS;
use crate::config::hcl_document::{BlockReader, HclDocument, HclError, Position};

/// Maximum weight of a kind of fault.
const MAX_WEIGHT: f64 = 1000.0;

/// The size of a run and which faults are drawn in it.
#[derive(Clone, Debug, PartialEq)]
pub struct RunPlan {
    /// Number of table caches at the only point.
    pub caches: usize,
    /// Number of parents at its hub.
    pub parents: usize,
    /// Number of clients.
    pub clients: usize,
    /// Total number of requests of all clients.
    pub requests: usize,
    /// Number of different objects that are requested.
    pub objects: usize,
    /// How long requests are sent, in ms. The key in a faults file is `ms`.
    pub duration_ms: i64,
    /// Maximum number of host faults; up to a third as many system faults, rounded up, are drawn in addition.
    /// The key in a faults file is `faults`.
    pub max_faults: usize,
    /// Weights with which the kinds of host faults are drawn, in the order of `HOST_FAULTS`.
    pub host_weights: Vec<f64>,
    /// Weights of the kinds of system faults, in the order of `SYSTEM_FAULTS`.
    pub system_weights: Vec<f64>,
}

impl Default for RunPlan {
    fn default() -> Self {
        RunPlan {
            caches: 4,
            parents: 2,
            clients: 4,
            requests: 60,
            objects: 8,
            duration_ms: 6000,
            max_faults: 8,
            host_weights: HOST_FAULTS.iter().map(|kind| kind.weight).collect(),
            system_weights: SYSTEM_FAULTS.iter().map(|kind| kind.weight).collect(),
        }
    }
}

impl RunPlan {
    /// Reads a faults file: one `sim` block with `caches`, `parents`, `clients`, `requests`, `objects`, `ms`,
    /// `faults`, and one `weights` block within it, whose keys are the kinds of faults.
    ///
    /// # Errors
    ///
    /// The text is not HCL, a key is unknown, or a value is out of its range. The error states line and
    /// column.
    pub fn parse(doc: HclDocument<'_>) -> Result<Self, HclError> {
        let body = doc.parse()?;
        let mut reader = doc.reader(&body);
        let block = reader.block("sim")?;
        let start = Position { line: 1, column: 1 };
        let block = block.ok_or_else(|| doc.error(start, "the file has no sim block"))?;
        reader.finish()?;
        let mut reader = doc.reader(&block.body);
        let mut plan = RunPlan::read_sizes(&mut reader)?;
        if let Some(weights) = reader.block("weights")? {
            let mut reader = doc.reader(&weights.body);
            plan.read_weights(&mut reader)?;
            reader.finish()?;
        }
        reader.finish()?;
        if plan.max_faults > 0 && plan.host_weights.iter().chain(&plan.system_weights).sum::<f64>() <= 0.0 {
            return Err(doc.error(start, "all kinds of faults have weight 0, but faults is greater than 0"));
        }
        Ok(plan)
    }

    fn read_sizes(reader: &mut BlockReader<'_>) -> Result<Self, HclError> {
        let default = RunPlan::default();
        let mut whole = |key: &str, default: usize, min: u64, max: u64| {
            let read = reader.integer(key, min, max)?;
            Ok::<_, HclError>(read.map_or(default, |number| number.value as usize))
        };
        Ok(RunPlan {
            caches: whole("caches", default.caches, 1, 50)?,
            parents: whole("parents", default.parents, 0, 10)?,
            clients: whole("clients", default.clients, 1, 100)?,
            requests: whole("requests", default.requests, 0, 100_000)?,
            objects: whole("objects", default.objects, 1, 10_000)?,
            duration_ms: whole("ms", default.duration_ms as usize, 100, 3_600_000)? as i64,
            max_faults: whole("faults", default.max_faults, 0, 1000)?,
            host_weights: default.host_weights,
            system_weights: default.system_weights,
        })
    }

    fn read_weights(&mut self, reader: &mut BlockReader<'_>) -> Result<(), HclError> {
        let host_weights = HOST_FAULTS.iter().map(|kind| kind.name).zip(&mut self.host_weights);
        let system_weights = SYSTEM_FAULTS.iter().map(|kind| kind.name).zip(&mut self.system_weights);
        for (name, weight) in host_weights.chain(system_weights) {
            if let Some(read) = reader.number(name, 0.0, MAX_WEIGHT)? {
                *weight = read.value;
            }
        }
        Ok(())
    }

    /// Returns the plan with faults of hosts and events of the feed about hosts only. Faults of the feed's
    /// connections, of clients, of processes and of their machine are left out.
    pub fn only_host_faults(mut self) -> Self {
        for (kind, weight) in HOST_FAULTS.iter().zip(&mut self.host_weights) {
            if NON_HOST_FAULTS.contains(&kind.name) {
                *weight = 0.0;
            }
        }
        self.without_system_faults()
    }

    /// Returns the plan without system faults, which are the faults of the machine on which the edge proxy
    /// runs.
    pub fn without_system_faults(mut self) -> Self {
        self.system_weights.fill(0.0);
        self
    }
}
