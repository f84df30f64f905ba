//! Measures the control service: starts clients, drains caches one after another, and waits for each client's
//! view without the drained cache.
//!
//! - `clients`: runs the clients, drains caches and waits for the views.
//! - `delays`: histograms of the drain delays.
//! - `report`: the result and its text.

mod clients;
mod delays;
mod report;

pub use report::Measurement;

use super::process::{processor_time, raise_descriptor_limit, resident_bytes};
use super::site::{SiteSetup, StartedSite};
use crate::control::service::{ControlError, Running};
use crate::standin::feed::StandInFeed;
use crate::standin::site::Shape;
use clients::MeasuredClients;
use std::sync::atomic::Ordering;
use std::time::Duration;

/// Size and duration of a measurement of the control service.
#[derive(Clone, Debug)]
pub struct MeasurePlan {
    /// Number of clients. Half of them use each protocol variant; they are assigned to the points in turn.
    pub clients: usize,
    /// Size and seed of the stand-in site.
    pub shape: Shape,
    /// Number of drains, one after another; each cache is restored before the next drain.
    pub drains: usize,
    /// Timeout of the wait for all clients' first views, and of the wait for the clients' views after each
    /// drain and each restore.
    pub timeout: Duration,
}

/// Measures a control service that runs in this process, as its stand-in clients do.
///
/// # Errors
///
/// Returns an error if the service does not start or stop, or if a histogram cannot be created.
pub async fn measure(plan: &MeasurePlan) -> Result<Measurement, ControlError> {
    raise_descriptor_limit();
    let feed = StandInFeed::default();
    let max_clients = plan.clients.max(1);
    let control = format!("control {{\n listen = \"127.0.0.1:0\"\n most_clients = {max_clients}\n}}");
    let site = SiteSetup::new(plan.shape, &control, &feed).start().await?;
    let memory_before = resident_bytes();
    let started = std::time::Instant::now();
    let mut clients = MeasuredClients::start(plan, &site);
    clients.wait_until_ready(plan.timeout, started).await;
    let ready_clients = clients.ready();
    let ready_after = started.elapsed();
    let memory_per_client = resident_bytes().saturating_sub(memory_before) / max_clients as u64;

    let before = Counters::read(&site.running);
    let delays = clients.drain_caches(plan, &feed, &site.hosts).await?;
    let used = Counters::read(&site.running).since(&before);

    let StartedSite { running, .. } = site;
    let breaches = clients.stop(running).await?;
    Ok(Measurement {
        each_client: delays.each_client,
        last_client: delays.last_client,
        breaches,
        memory_per_client,
        processor_time_per_snapshot: used.processor_time
            / u32::try_from(used.snapshots.max(1)).unwrap_or(u32::MAX),
        snapshots: used.snapshots,
        sent: used.sent,
        ready_clients,
        ready_after,
    })
}

/// Processor time of the process and counters of the service, up to now.
struct Counters {
    processor_time: Duration,
    snapshots: u64,
    sent: u64,
}

impl Counters {
    fn read(running: &Running) -> Self {
        Counters {
            processor_time: processor_time(),
            snapshots: running.metrics.snapshots.load(Ordering::Relaxed),
            sent: running.metrics.sent.load(Ordering::Relaxed),
        }
    }

    fn since(&self, before: &Counters) -> Counters {
        Counters {
            processor_time: self.processor_time.saturating_sub(before.processor_time),
            snapshots: self.snapshots - before.snapshots,
            sent: self.sent - before.sent,
        }
    }
}
