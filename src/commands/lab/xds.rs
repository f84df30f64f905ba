//! `dahliatrack lab xds`: measures the delays of the control service.

use crate::commands::output::print;
use crate::commands::CommandError;
use dahliatrack::control::service::ControlError;
use dahliatrack::lab::xds::{self, MeasurePlan};
use dahliatrack::standin::site::Shape;
use std::time::Duration;

const HUBS: usize = 4;
/// The longest wait for the clients to receive a change.
const MAX_WAIT: Duration = Duration::from_secs(20);

/// The size of a measurement.
#[derive(clap::Args)]
pub struct XdsArgs {
    /// The number of clients, half of each variant
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=20_000))]
    clients: u64,
    /// The number of points
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=1000))]
    points: u64,
    /// The total number of table caches
    #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=20_000))]
    caches: u64,
    /// The number of caches that are drained, one after another
    #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u64).range(1..=10_000))]
    drains: u64,
}

/// Runs the measurement, and prints the delays.
pub fn run(args: XdsArgs) -> Result<(), CommandError> {
    let points = args.points as usize;
    let caches = args.caches as usize;
    let shape = Shape { points, proxies: points, caches, hubs: HUBS, ..Shape::default() };
    let plan = MeasurePlan {
        clients: args.clients as usize,
        shape,
        drains: args.drains as usize,
        timeout: MAX_WAIT,
    };
    let runtime = tokio::runtime::Runtime::new().map_err(ControlError::from)?;
    print(&runtime.block_on(xds::measure(&plan))?);
    Ok(())
}
