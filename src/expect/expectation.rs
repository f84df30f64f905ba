//! Expectations, the scenarios they hold under, and the rules they are made of.

use super::selector::Selector;
use crate::config::hcl_document::{Located, Position};
use crate::interface::{ClassId, ObjectId, ServerId, ZoneId};

/// The maximum of seeds.
pub const MAX_SEEDS: u64 = 1000;

/// How many questions the decision module is asked.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Breadth {
    /// The first seed.
    pub seed: u64,
    /// How many seeds, one after another: the module's random choices differ with them.
    pub seeds: u64,
    /// Sampled objects of a class, where an expectation names none.
    pub objects: usize,
    /// How often a popular object is asked for.
    pub repeats: usize,
}

impl Default for Breadth {
    fn default() -> Self {
        Breadth { seed: 1, seeds: 8, objects: 32, repeats: 24 }
    }
}

/// A file of expectations, all names resolved.
#[derive(Clone, Debug, PartialEq)]
pub struct Suite {
    /// How many questions to ask.
    pub breadth: Breadth,
    /// The expectations, in the file's order.
    pub expectations: Vec<Expectation>,
}

/// One expectation.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// Its name.
    pub name: String,
    /// Where it begins.
    pub at: Position,
    /// The points whose requests it is about.
    pub points: Vec<ZoneId>,
    /// The classes it is about.
    pub classes: Vec<ClassId>,
    /// The objects, where they are named.
    pub objects: Vec<ObjectId>,
    /// Whether each object is asked for again and again, so that delegates are started for it.
    pub popular: bool,
    /// The scenarios it must hold under, each for itself; without a `when` block one in which nothing happens.
    pub scenarios: Vec<Scenario>,
    /// What must hold.
    pub rules: Vec<Located<Rule>>,
}

/// What must hold for every request that is asked about.
#[derive(Clone, Debug, PartialEq)]
pub enum Rule {
    /// All attempts go to these; those of an uncached class may pass through another server to the origin.
    GoesTo(Vec<Selector>),
    /// No attempt goes to these.
    NeverGoesTo(Vec<Selector>),
    /// A miss is filled from one of these.
    FillsFrom(Vec<Selector>),
    /// No miss is filled from one of these.
    NeverFillFrom(Vec<Selector>),
    /// The final answer.
    Answer(Answer),
    /// The maximum of attempts for one request.
    MaxAttempts(u64),
    /// The maximum of caches that serve one object's requests.
    MaxCaches(u64),
    /// The minimum rank at which a copy is cached.
    MinRank(u64),
    /// The maximum rank at which a copy is cached; 0: no copy is.
    MaxRank(u64),
    /// The maximum share of the objects that have one cache as their home.
    MaxHomeShare(f64),
    /// The maximum share of the objects whose home changes though it is still ready.
    MaxMigratedShare(f64),
    /// No fills of one object go in a circle.
    Acyclic,
}

impl Rule {
    /// Whether it restricts which servers get attempts or fill misses.
    pub fn is_about_servers(&self) -> bool {
        matches!(self, Rule::GoesTo(_) | Rule::NeverGoesTo(_) | Rule::FillsFrom(_) | Rule::NeverFillFrom(_))
    }

    /// The rule's key in the file.
    pub fn word(&self) -> &'static str {
        match self {
            Rule::GoesTo(_) => "goes_to",
            Rule::NeverGoesTo(_) => "never_goes_to",
            Rule::FillsFrom(_) => "fills_from",
            Rule::NeverFillFrom(_) => "never_fill_from",
            Rule::Answer(_) => "answer",
            Rule::MaxAttempts(_) => "attempts_at_most",
            Rule::MaxCaches(_) => "caches_at_most",
            Rule::MinRank(_) => "rank_at_least",
            Rule::MaxRank(_) => "rank_at_most",
            Rule::MaxHomeShare(_) => "share_at_most",
            Rule::MaxMigratedShare(_) => "moves_at_most",
            Rule::Acyclic => "acyclic",
        }
    }
}

/// A final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// Served.
    Served,
    /// Rejected: a retry is harmless.
    Rejected,
    /// Failed.
    Failed,
}

impl Answer {
    /// The answer's name in the file.
    pub fn word(self) -> &'static str {
        match self {
            Answer::Served => "served",
            Answer::Rejected => "refused",
            Answer::Failed => "failed",
        }
    }
}

/// A server's weight in a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reweighting {
    /// The server.
    pub server: ServerId,
    /// Its weight.
    pub weight: f64,
}

/// What happens to the site between the requests before and those that are judged.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scenario {
    /// In words; empty where nothing happens.
    pub label: String,
    /// Draining.
    pub drained: Vec<ServerId>,
    /// Removed from the list.
    pub removed: Vec<ServerId>,
    /// Still listed, but every connection to them fails.
    pub down: Vec<ServerId>,
    /// Restarted at this moment, without copies.
    pub cold: Vec<ServerId>,
    /// Listed with another weight.
    pub reweighted: Vec<Reweighting>,
    /// Whether some edge proxies still have the endpoint list of before: both lists are in use.
    pub late: bool,
}

impl Scenario {
    /// Whether nothing happens to any server.
    pub fn is_calm(&self) -> bool {
        let lists = [&self.drained, &self.removed, &self.down, &self.cold];
        lists.iter().all(|list| list.is_empty()) && self.reweighted.is_empty()
    }
}
