//! The measurement: clients come up, caches are drained one after another, and each client's view is awaited.
//!
//! - `clients`: the clients and their logs; drains caches and waits for the views.
//! - `delays`: how long drains took.
//! - `report`: what was measured.

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

/// How the control service is measured.
#[derive(Clone, Debug)]
pub struct MeasurePlan {
    /// Clients, half of each variant, assigned to the points in turn.
    pub clients: usize,
    /// The site.
    pub shape: Shape,
    /// Caches drained one after another, each of which returns before the next.
    pub drains: usize,
    /// The longest that one drain is waited for.
    pub timeout: Duration,
}

/// Measures a control service in this process, with stand-in clients in it too.
///
/// # Errors
///
/// The service does not start, or the measurement's histograms can't be had.
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

/// What the process has used and the service has done so far.
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
