//! `dahliatrack lab site`: generates the configuration of a synthetic site.

use crate::commands::output::print;
use dahliatrack::standin::site::{self, Shape};

/// The address of the feed in the generated configuration.
const FEED_ADDRESS: &str = "127.0.0.1:7070";
const SERVER_PORT: u16 = 4100;
/// Number of values used of each of the last two bytes of the servers' addresses.
const ADDRESSES_PER_BYTE: usize = 250;
const ADDRESSES_PER_NETWORK: usize = ADDRESSES_PER_BYTE * ADDRESSES_PER_BYTE;

/// The size of a synthetic site.
#[derive(clap::Args)]
pub struct SiteArgs {
    /// The number of points (zones with edge proxies and table caches)
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=4000))]
    points: u64,
    /// The total number of edge proxies
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    proxies: u64,
    /// The total number of table caches
    #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=50_000))]
    caches: u64,
    /// The number of hubs
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=1000))]
    hubs: u64,
    /// The number of parents of each hub
    #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(0..=100))]
    parents: u64,
    /// The seed of the site's random choices
    #[arg(long, default_value_t = 1)]
    seed: u64,
}

/// Prints the configuration of a synthetic site.
pub fn run(args: SiteArgs) {
    let shape = Shape {
        points: args.points as usize,
        proxies: args.proxies as usize,
        caches: args.caches as usize,
        hubs: args.hubs as usize,
        parents: args.parents as usize,
        seed: args.seed,
    };
    print(&site::config(&shape, FEED_ADDRESS, server_address));
}

/// Returns the address of a server. Nothing connects to these addresses, they only have to differ.
fn server_address(number: usize) -> String {
    let network = 1 + number / ADDRESSES_PER_NETWORK;
    let subnet = number / ADDRESSES_PER_BYTE % ADDRESSES_PER_BYTE;
    let host = 1 + number % ADDRESSES_PER_BYTE;
    format!("127.{network}.{subnet}.{host}:{SERVER_PORT}")
}
