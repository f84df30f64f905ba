//! `dahliatrack lab replay` and `dahliatrack lab demo`: replays traces against stand-in caches.

use crate::commands::output::{print, print_report, Format};
use crate::commands::CommandError;
use dahliatrack::config::hcl_document::HclDocument;
use dahliatrack::config::read_text_file;
use dahliatrack::lab::replay::{self, ReplayError, ReplayPlan};
use dahliatrack::lab::synthetic_trace::SyntheticTrace;
use dahliatrack::standin::faults::RunPlan;
use dahliatrack::standin::site::Shape;
use dahliatrack::trace::{self, Trace};
use std::fs::{self, File};
use std::path::{Path, PathBuf};

const PARENTS: usize = 2;
const MIN_SPEED: f64 = 0.001;
const MAX_SPEED: f64 = 1000.0;

const DEMO_RATE_PER_S: f64 = 100.0;
const DEMO_OBJECTS: u64 = 500;
/// The map of the demo's trace.
const DEMO_MAP: &str = include_str!("../../../deploy/trace-map.hcl");

/// The duration of a demo, and how it is replayed.
#[derive(clap::Args)]
pub struct DemoArgs {
    /// Duration in seconds
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=600))]
    seconds: u64,
    #[command(flatten)]
    play: PlayArgs,
}

/// A trace, and how it is replayed.
#[derive(clap::Args)]
pub struct ReplayArgs {
    /// The trace (CSV)
    trace: PathBuf,
    /// The map of the trace's columns to requests and classes (HCL)
    #[arg(long)]
    map: PathBuf,
    #[command(flatten)]
    play: PlayArgs,
}

/// How a trace is replayed.
#[derive(clap::Args)]
struct PlayArgs {
    /// The number of client connections
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(1..=500))]
    connections: u64,
    /// The number of stand-in table caches
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=100))]
    caches: u64,
    /// Factor by which the trace is sped up; the request rate grows by the same factor
    #[arg(long, default_value_t = 1.0)]
    speed: f64,
    /// Inject faults drawn from this seed during the replay; no faults without it
    #[arg(long)]
    faults: Option<u64>,
    /// The seed of the stand-in site
    #[arg(long, default_value_t = 1)]
    seed: u64,
    /// Also write an HTML page with plots to this file
    #[arg(long)]
    html: Option<PathBuf>,
    /// The output format of the report
    #[arg(long, value_enum, default_value = "text")]
    format: Format,
}

/// Replays a trace from a file.
pub fn run_replay(args: ReplayArgs) -> Result<(), CommandError> {
    let text = read_text_file(&args.map)?;
    let file = args.map.display().to_string();
    let trace = trace::load(&args.trace, HclDocument { file: &file, text: &text })?;
    play(&trace, args.play)
}

/// Replays a synthetic trace.
pub fn run_demo(args: DemoArgs) -> Result<(), CommandError> {
    let synthetic = SyntheticTrace {
        seconds: args.seconds as f64,
        rate: DEMO_RATE_PER_S,
        objects: DEMO_OBJECTS,
        seed: args.play.seed,
    };
    let folder = std::env::temp_dir().join(format!("dahliatrack-demo-{}", std::process::id()));
    fs::create_dir_all(&folder).map_err(ReplayError::from)?;
    let trace = generate_trace(&synthetic, &folder.join("trace.csv"));
    let _ = fs::remove_dir_all(&folder); // a folder that cannot be removed does no harm
    play(&trace?, args.play)
}

/// Writes a synthetic trace to a file, and reads that file as any other trace.
fn generate_trace(synthetic: &SyntheticTrace, path: &Path) -> Result<Trace, CommandError> {
    let written = File::create(path).and_then(|mut file| synthetic.write_azure(&mut file));
    written.map_err(ReplayError::from)?;
    Ok(trace::load(path, HclDocument { file: "demo.hcl", text: DEMO_MAP })?)
}

/// Replays a trace, prints the report, and writes the HTML page if one is wanted.
fn play(trace: &Trace, args: PlayArgs) -> Result<(), CommandError> {
    let caches = args.caches as usize;
    let length_ms = (trace.length.as_millis_f64() / args.speed.max(MIN_SPEED)) as i64;
    let plan =
        RunPlan { caches, parents: PARENTS, duration_ms: length_ms, ..RunPlan::default() }.only_host_faults();
    let replay = ReplayPlan {
        program: std::env::current_exe().map_err(ReplayError::from)?,
        shape: Shape { points: 1, proxies: 1, caches, hubs: 1, parents: PARENTS, seed: args.seed },
        connections: args.connections as usize,
        speed: args.speed.clamp(MIN_SPEED, MAX_SPEED),
        faults: args.faults.map_or_else(Vec::new, |seed| plan.script(seed)),
        seed: args.seed,
        progress: true,
    };
    let report = replay::replay(trace, &replay)?;
    print_report(&report, args.format);
    if let Some(path) = args.html {
        fs::write(&path, report.to_html()?).map_err(ReplayError::from)?;
        print(&format!("HTML report written to {}", path.display()));
    }
    Ok(())
}
