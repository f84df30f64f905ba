//! The laboratory's commands.

use crate::{print, Error, Format};
use clap::Subcommand;
use dahliatrack::config::located::Doc;
use dahliatrack::config::ConfigError;
#[cfg(feature = "control")]
use dahliatrack::control::service::ControlError;
use dahliatrack::lab::replay::{self, ReplayError, ReplayPlan};
use dahliatrack::lab::synthetic_trace::SyntheticTrace;
#[cfg(feature = "control")]
use dahliatrack::lab::xds;
use dahliatrack::standin::faults::RunPlan;
use dahliatrack::standin::site::{self, Shape};
use dahliatrack::trace;
use std::path::PathBuf;
#[cfg(feature = "control")]
use std::time::Duration;

/// How a replay is played.
#[derive(clap::Args)]
pub struct ReplayArgs {
    /// Client connections
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(1..=500))]
    connections: u64,
    /// Stand-in table caches
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=100))]
    caches: u64,
    /// How many times as fast the trace's time runs, which multiplies its rate
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Faults, drawn from this seed over the replay; none without it
    #[arg(long)]
    faults: Option<u64>,
    /// The seed of the stand-in site
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Write a page with plots there, too
    #[arg(long)]
    html: Option<PathBuf>,
    /// Write the report as text or JSON
    #[arg(long, value_enum, default_value = "text")]
    format: Format,
}

/// A command of the laboratory.
#[derive(Subcommand)]
pub enum Lab {
    /// Start stand-in caches, a feed and an edge proxy on loopback, play a short made-up trace, and report
    Demo {
        /// Seconds
        #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=600))]
        seconds: u64,
        #[command(flatten)]
        how: ReplayArgs,
    },
    /// Replay a public cluster trace (CSV) over the edge proxy's front against stand-in caches, and report
    Replay {
        /// The trace
        trace: PathBuf,
        /// How its columns are read and mapped to classes (HCL)
        #[arg(long)]
        map: PathBuf,
        #[command(flatten)]
        how: ReplayArgs,
    },
    /// Write a made-up trace in a published format (Azure Functions Invocation Trace 2021) to standard output
    Trace {
        /// Its length in seconds
        #[arg(long, default_value_t = 3600.0)]
        seconds: f64,
        /// Its mean rate, rows a second
        #[arg(long, default_value_t = 50.0)]
        rate: f64,
        /// Objects
        #[arg(long, default_value_t = 2000)]
        objects: u64,
        /// The seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    #[cfg(feature = "control")]
    /// Measure the control service in this process: from a drain to each stand-in client's view without that cache
    Xds {
        /// Clients, half of each variant
        #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=20_000))]
        clients: u64,
        /// Points
        #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=1000))]
        points: u64,
        /// Table caches in all
        #[arg(long, default_value_t = 200, value_parser = clap::value_parser!(u64).range(1..=20_000))]
        caches: u64,
        /// Caches drained, one after another
        #[arg(long, default_value_t = 50, value_parser = clap::value_parser!(u64).range(1..=10_000))]
        drains: u64,
    },
    /// Print the configuration of a made-up site, to try the tools on
    Site {
        /// Points: zones with edge proxies and table caches
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=4000))]
        points: u64,
        /// Edge proxies in all
        #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(1..=100_000))]
        proxies: u64,
        /// Table caches in all
        #[arg(long, default_value_t = 12, value_parser = clap::value_parser!(u64).range(1..=50_000))]
        caches: u64,
        /// Hubs
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(1..=1000))]
        hubs: u64,
        /// Parents of each hub
        #[arg(long, default_value_t = 2, value_parser = clap::value_parser!(u64).range(0..=100))]
        parents: u64,
        /// The seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
}

/// Carries out a command.
pub fn run(command: Lab) -> Result<(), Error> {
    match command {
        #[cfg(feature = "control")]
        Lab::Xds { clients, points, caches, drains } => {
            let [clients, points, caches, drains] = [clients, points, caches, drains].map(|n| n as usize);
            let shape = Shape { points, proxies: points, caches, hubs: 4, ..Shape::default() };
            let plan = xds::MeasurePlan { clients, shape, drains, wait: Duration::from_secs(20) };
            let runtime = tokio::runtime::Runtime::new().map_err(ControlError::from)?;
            print(&runtime.block_on(xds::measure(&plan))?);
        }
        Lab::Trace { seconds, rate, objects, seed } => {
            let made = SyntheticTrace {
                seconds: seconds.clamp(1.0, 1e7),
                rate: rate.clamp(0.001, 1e5),
                objects,
                seed,
            };
            let mut out = std::io::BufWriter::new(std::io::stdout().lock());
            made.write_azure(&mut out)
                .and_then(|()| std::io::Write::flush(&mut out))
                .map_err(ReplayError::from)?;
        }
        Lab::Replay { trace, map, how } => {
            let text = dahliatrack::config::read(&map)?;
            let text = String::from_utf8(text).map_err(|_| ConfigError::form(&map, "not UTF-8"))?;
            let file = map.display().to_string();
            play(&trace::load(&trace, Doc { file: &file, text: &text })?, how)?;
        }
        Lab::Demo { seconds, how } => {
            let folder = std::env::temp_dir().join(format!("dahliatrack-demo-{}", std::process::id()));
            std::fs::create_dir_all(&folder).map_err(ReplayError::from)?;
            let path = folder.join("trace.csv");
            let made = SyntheticTrace { seconds: seconds as f64, rate: 100.0, objects: 500, seed: how.seed };
            let written = std::fs::File::create(&path).and_then(|mut file| made.write_azure(&mut file));
            let loaded = written
                .map_err(ReplayError::from)
                .map(|_| trace::load(&path, Doc { file: "demo.hcl", text: DEMO_MAP }));
            let _ = std::fs::remove_dir_all(&folder);
            play(&loaded??, how)?;
        }
        Lab::Site { points, proxies, caches, hubs, parents, seed } => {
            let [points, proxies, caches, hubs, parents] =
                [points, proxies, caches, hubs, parents].map(|n| n as usize);
            let shape = Shape { points, proxies, caches, hubs, parents, seed };
            // No address is used by what reads this: they only have to differ.
            let dial = |n: usize| format!("127.{}.{}.{}:4100", 1 + n / 62_500, n / 250 % 250, 1 + n % 250);
            print(&site::config(&shape, "127.0.0.1:7070", dial));
        }
    }
    Ok(())
}

/// How the demo's trace is read.
const DEMO_MAP: &str = include_str!("../deploy/trace-map.hcl");

/// Replays a trace and writes the report.
fn play(trace: &trace::Trace, how: ReplayArgs) -> Result<(), Error> {
    let length_ms = (trace.length.as_millis_f64() / how.speed.max(0.001)) as i64;
    let (caches, parents) = (how.caches as usize, 2);
    let shape = Shape { points: 1, proxies: 1, caches, hubs: 1, parents, seed: how.seed };
    let plan = RunPlan { caches, parents, ms: length_ms, ..RunPlan::default() }.only_host_faults();
    let replay = ReplayPlan {
        program: std::env::current_exe().map_err(ReplayError::from)?,
        shape,
        connections: how.connections as usize,
        speed: how.speed.clamp(0.001, 1000.0),
        faults: how.faults.map_or_else(Vec::new, |seed| plan.script(seed)),
        seed: how.seed,
        progress: true,
    };
    let report = replay::replay(trace, &replay)?;
    match how.format {
        Format::Text => print(&report),
        Format::Json => print(&serde_json::json!(report)),
    }
    if let Some(path) = how.html {
        let page = report.html().map_err(|error| Error::Page(error.to_string()))?;
        std::fs::write(&path, page).map_err(ReplayError::from)?;
        print(&format!("the page is {}", path.display()));
    }
    Ok(())
}
