//! `dahliatrack flood`: floods an edge proxy on loopback with connections while known clients send requests.

use super::output::print;
use super::CommandError;
use dahliatrack::lab::flood::{self, FloodPlan};
use std::net::{IpAddr, SocketAddr};

const MIN_SECONDS: f64 = 0.1;
const MAX_SECONDS: f64 = 600.0;
const MAX_CONNECTIONS_PER_CLIENT: u64 = 100_000;

/// The target, the known clients and the flood.
#[derive(clap::Args)]
pub struct FloodArgs {
    /// The address of the edge proxy's front for clients
    #[arg(long)]
    target: SocketAddr,
    /// The number of known clients, each in a thread of its own
    #[arg(long, default_value_t = 50)]
    known: usize,
    /// The loopback address from which the known clients connect
    #[arg(long, default_value = "127.0.0.2")]
    known_from: IpAddr,
    /// The largest number of silent connections that the flood holds open
    #[arg(long, default_value_t = 2000)]
    flood: usize,
    /// The loopback address from which the flood connects
    #[arg(long, default_value = "127.0.0.3")]
    flood_from: IpAddr,
    /// Duration in seconds, at most 600
    #[arg(long, default_value_t = 10.0)]
    seconds: f64,
    /// The class of the known clients' requests
    #[arg(long, default_value = "piece")]
    route: String,
    /// Send one ping on each flood connection, so that a request alone does not distinguish it from a client
    #[arg(long)]
    flood_asks: bool,
}

/// Runs the flood, and prints the results of the known clients.
pub fn run(args: FloodArgs) -> Result<(), CommandError> {
    let FloodArgs { target, known, known_from, flood, flood_from, seconds, route, flood_asks } = args;
    if ![target.ip(), known_from, flood_from].iter().all(IpAddr::is_loopback) {
        return Err(CommandError::FloodNotLoopback);
    }
    let plan = FloodPlan {
        target,
        known_clients: known,
        known_from,
        flood_connections: flood,
        flood_from,
        seconds: seconds.clamp(MIN_SECONDS, MAX_SECONDS),
        max_connections: MAX_CONNECTIONS_PER_CLIENT,
        route,
        flood_pings: flood_asks,
    };
    print(&flood::run(&plan)?);
    Ok(())
}
