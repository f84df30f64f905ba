//! `dahliatrack sim`: the simulator, for edge proxies and for federations.

use super::output::print;
use super::CommandError;
use dahliatrack::config::hcl_document::HclDocument;
use dahliatrack::config::read_text_file;
use dahliatrack::sim::runner;
use dahliatrack::sim::world::PlantedBug;
use dahliatrack::standin::faults::{Fault, RunPlan};
use std::ops::Range;
use std::path::{Path, PathBuf};

/// What is simulated.
#[derive(clap::Args)]
pub struct SimArgs {
    /// The seeds, as 0..10000
    #[arg(long, default_value = "0..1000", value_parser = parse_seeds)]
    seeds: Range<u64>,
    /// A file of sizes and of how often which fault happens (HCL), in place of the usual ones
    #[arg(long)]
    faults: Option<PathBuf>,
    /// Only these faults of the seed's script, by number, as 0,3; `none`: no fault
    #[arg(long, value_parser = parse_fault_numbers)]
    keep: Option<FaultNumbers>,
    /// Plant a bug, to see that it is found
    #[arg(long, value_enum)]
    sabotage: Option<PlantedBug>,
    /// Play federations of several members in place of an edge proxy
    #[cfg(feature = "federation")]
    #[arg(long)]
    federation: bool,
    /// Plant a bug in the federation, to see that it is found
    #[cfg(feature = "federation")]
    #[arg(long, value_enum, requires = "federation")]
    plant: Option<dahliatrack::sim::federation::PlantedBug>,
    /// Failures that are shrunk and told
    #[arg(id = "most", long = "most", value_name = "MOST", default_value_t = 3)]
    max_failures: usize,
}

/// Places in a seed's script of faults.
#[derive(Clone, Debug)]
struct FaultNumbers(Vec<usize>);

/// Simulates, and fails if a rule is broken.
pub fn run(args: SimArgs) -> Result<(), CommandError> {
    #[cfg(feature = "federation")]
    if args.federation {
        let summary = dahliatrack::sim::federation::search(args.seeds, args.plant);
        print(&summary);
        return fail_if(!summary.broken.is_empty());
    }
    let plan = args.faults.as_deref().map_or_else(|| Ok(RunPlan::default()), read_plan)?;
    match args.keep {
        Some(numbers) => replay(&plan, args.seeds.start, &numbers, args.sabotage),
        None => {
            let summary = runner::search(&plan, args.seeds, args.sabotage, args.max_failures);
            print(&summary);
            fail_if(!summary.broken.is_empty())
        }
    }
}

/// Plays one seed with some of its faults, and prints all that came of it.
fn replay(
    plan: &RunPlan,
    seed: u64,
    FaultNumbers(numbers): &FaultNumbers,
    sabotage: Option<PlantedBug>,
) -> Result<(), CommandError> {
    let script = plan.script(seed);
    let kept: Vec<Fault> = numbers.iter().filter_map(|number| script.get(*number).cloned()).collect();
    let outcome = runner::play(plan, seed, &kept, sabotage);
    print(&serde_json::json!(outcome));
    fail_if(!outcome.breaches.is_empty())
}

fn fail_if(broken: bool) -> Result<(), CommandError> {
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
#[error("{0:?} is no number")]
struct FaultNumberError(String);

fn parse_fault_numbers(text: &str) -> Result<FaultNumbers, FaultNumberError> {
    let words = text.split(',').filter(|word| *word != "none");
    let numbers = words.map(|word| word.parse().map_err(|_| FaultNumberError(word.to_owned())));
    numbers.collect::<Result<_, _>>().map(FaultNumbers)
}

#[derive(Debug, thiserror::Error)]
#[error("a range of seeds, as 0..10000")]
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
