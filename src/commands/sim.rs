//! `dahliatrack sim`: runs the simulator, for an edge proxy or for federations.

use super::output::print;
use super::CommandError;
use dahliatrack::config::hcl_document::HclDocument;
use dahliatrack::config::read_text_file;
use dahliatrack::sim::runner;
use dahliatrack::sim::world::PlantedBug;
use dahliatrack::standin::faults::{Fault, RunPlan};
use std::ops::Range;
use std::path::{Path, PathBuf};

/// The seeds, the faults and the planted bug of a simulation.
#[derive(clap::Args)]
pub struct SimArgs {
    /// The range of seeds, such as 0..10000
    #[arg(long, default_value = "0..1000", value_parser = parse_seeds)]
    seeds: Range<u64>,
    /// A file (HCL) with the sizes and the frequency of each fault; replaces the defaults
    #[arg(long)]
    faults: Option<PathBuf>,
    /// Inject only these faults of the first seed's script, by number, such as 0,3; `none` for no fault
    #[arg(long, value_parser = parse_fault_numbers)]
    keep: Option<FaultNumbers>,
    /// Plant a bug, to check that the simulator finds it
    #[arg(long, value_enum)]
    sabotage: Option<PlantedBug>,
    /// Simulate federations of several members instead of an edge proxy
    #[cfg(feature = "federation")]
    #[arg(long)]
    federation: bool,
    /// Plant a bug in the federation, to check that the simulator finds it
    #[cfg(feature = "federation")]
    #[arg(long, value_enum, requires = "federation")]
    plant: Option<dahliatrack::sim::federation::PlantedBug>,
    /// The largest number of failures to shrink and report
    #[arg(id = "most", long = "most", value_name = "MOST", default_value_t = 3)]
    max_failures: usize,
}

/// Indexes into a seed's script of faults.
#[derive(Clone, Debug)]
struct FaultNumbers(Vec<usize>);

/// Runs the simulation, and prints its summary. Returns an error if a rule was broken.
pub fn run(args: SimArgs) -> Result<(), CommandError> {
    #[cfg(feature = "federation")]
    if args.federation {
        let summary = dahliatrack::sim::federation::search(args.seeds, args.plant);
        print(&summary);
        return fail_if_broken(!summary.broken.is_empty());
    }
    let plan = args.faults.as_deref().map_or_else(|| Ok(RunPlan::default()), read_plan)?;
    match args.keep {
        Some(numbers) => replay(&plan, args.seeds.start, &numbers, args.sabotage),
        None => {
            let summary = runner::search(&plan, args.seeds, args.sabotage, args.max_failures);
            print(&summary);
            fail_if_broken(!summary.broken.is_empty())
        }
    }
}

/// Simulates one seed with some of its faults, and prints the whole outcome as JSON.
fn replay(
    plan: &RunPlan,
    seed: u64,
    FaultNumbers(numbers): &FaultNumbers,
    sabotage: Option<PlantedBug>,
) -> Result<(), CommandError> {
    let script = plan.script(seed);
    let kept: Vec<Fault> = numbers.iter().filter_map(|number| script.get(*number).cloned()).collect();
    let outcome = runner::run_seed(plan, seed, &kept, sabotage);
    print(&serde_json::json!(outcome));
    fail_if_broken(!outcome.breaches.is_empty())
}

fn fail_if_broken(broken: bool) -> Result<(), CommandError> {
    if broken {
        return Err(CommandError::RuleBroken);
    }
    Ok(())
}

fn read_plan(path: &Path) -> Result<RunPlan, CommandError> {
    let text = read_text_file(path)?;
    let file = path.display().to_string();
    Ok(RunPlan::parse(HclDocument { file: &file, text: &text })?)
}

#[derive(Debug, thiserror::Error)]
#[error("{0:?} is not the number of a fault")]
struct FaultNumberError(String);

fn parse_fault_numbers(text: &str) -> Result<FaultNumbers, FaultNumberError> {
    let words = text.split(',').filter(|word| *word != "none");
    let numbers = words.map(|word| word.parse().map_err(|_| FaultNumberError(word.to_owned())));
    numbers.collect::<Result<_, _>>().map(FaultNumbers)
}

#[derive(Debug, thiserror::Error)]
#[error("expected a range of seeds that is not empty, such as 0..10000")]
struct SeedRangeError;

fn parse_seeds(text: &str) -> Result<Range<u64>, SeedRangeError> {
    let (start, end) = text.split_once("..").ok_or(SeedRangeError)?;
    let parse = |number: &str| number.parse().map_err(|_| SeedRangeError);
    let seeds = parse(start)?..parse(end)?;
    if seeds.is_empty() {
        return Err(SeedRangeError);
    }
    Ok(seeds)
}
