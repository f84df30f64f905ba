//! Expectations, their scenarios and their rules.

use super::selector::Selector;
use crate::config::hcl_document::{Located, Position};
use crate::interface::{ClassId, ObjectId, ServerId, ZoneId};

/// Maximum number of seeds, in the file and on the command line.
pub const MAX_SEEDS: u64 = 1000;

/// The `explore` block: which seeds, and how many objects and requests, each exploration uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ExploreSettings {
    /// The first seed; the others follow it in steps of one.
    pub seed: u64,
    /// Number of seeds. The decision module's random choices differ from seed to seed.
    pub seeds: u64,
    /// Number of sampled objects of a class, for an expectation that names none.
    pub objects: usize,
    /// Number of requests for a popular object, before the scenario's change and again after it.
    pub repeats: usize,
}

impl Default for ExploreSettings {
    fn default() -> Self {
        ExploreSettings { seed: 1, seeds: 8, objects: 32, repeats: 24 }
    }
}

/// A file of expectations, with all names resolved to ids.
#[derive(Clone, Debug, PartialEq)]
pub struct Suite {
    /// How much to explore.
    pub explore_settings: ExploreSettings,
    /// The expectations, in the file's order; their names are unique.
    pub expectations: Vec<Expectation>,
}

/// Rules that an operator expects to hold for the requests of some points, classes and objects.
#[derive(Clone, Debug, PartialEq)]
pub struct Expectation {
    /// The label of its block, unique in the file.
    pub name: String,
    /// Where its block begins.
    pub at: Position,
    /// The points whose requests it covers; all points if the block names none.
    pub points: Vec<ZoneId>,
    /// The classes that it covers; all classes if the block names none.
    pub classes: Vec<ClassId>,
    /// The objects that the block names; if empty, objects are sampled.
    pub objects: Vec<ObjectId>,
    /// Whether each object is requested many times, so that it gets delegates.
    pub popular: bool,
    /// The scenarios in each of which the rules must hold; without a `when` block, one scenario without
    /// changes.
    pub scenarios: Vec<Scenario>,
    /// The rules that must hold, in the file's order.
    pub rules: Vec<Located<Rule>>,
}

/// A condition on all requests of an expectation.
#[derive(Clone, Debug, PartialEq)]
pub enum Rule {
    /// All attempts go to these servers; attempts of an uncached class may pass through another server to the
    /// origin.
    GoesTo(Vec<Selector>),
    /// No attempt goes to these servers.
    NeverGoesTo(Vec<Selector>),
    /// Each miss is filled from one of these servers.
    FillsFrom(Vec<Selector>),
    /// No miss is filled from one of these servers.
    NeverFillFrom(Vec<Selector>),
    /// Each request gets this final answer.
    Answer(Answer),
    /// Maximum number of attempts for one request.
    MaxAttempts(u64),
    /// Maximum number of servers to which one object's requests go.
    MaxCaches(u64),
    /// Minimum cache rank of a copy; see [`FillAttempt::cache_rank`](crate::interface::FillAttempt::cache_rank).
    MinRank(u64),
    /// Maximum cache rank of a copy; 0 means that no copy may be cached.
    MaxRank(u64),
    /// Maximum share of the objects that have the same server as their home, from 0 to 1.
    MaxHomeShare(f64),
    /// Maximum share of the objects, from 0 to 1, whose home changes although the old home is still home to
    /// other objects.
    MaxMigratedShare(f64),
    /// The fills of no object form a cycle.
    Acyclic,
}

impl Rule {
    /// Whether the rule restricts the servers that get attempts or fill misses.
    pub fn is_about_servers(&self) -> bool {
        matches!(self, Rule::GoesTo(_) | Rule::NeverGoesTo(_) | Rule::FillsFrom(_) | Rule::NeverFillFrom(_))
    }

    /// Returns the rule's key in an `expect` block.
    pub fn key(&self) -> &'static str {
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

/// The kind of a final answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Answer {
    /// An attempt got an answer.
    Served,
    /// The router rejected the request; a retry by the client is safe.
    Rejected,
    /// The router ended the request as failed.
    Failed,
}

impl Answer {
    /// Returns the answer's name in the file, which is also used in reports.
    pub fn name(self) -> &'static str {
        match self {
            Answer::Served => "served",
            Answer::Rejected => "refused",
            Answer::Failed => "failed",
        }
    }
}

/// A server's changed weight in a scenario.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reweighting {
    /// The server whose weight changes.
    pub server: ServerId,
    /// Its weight after the change.
    pub weight: f64,
}

/// A change to the site. It comes after the preparing requests and before those that the rules check.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Scenario {
    /// Description for reports; empty if nothing changes.
    pub label: String,
    /// Servers that are draining.
    pub drained: Vec<ServerId>,
    /// Servers that are removed from the endpoint list.
    pub removed: Vec<ServerId>,
    /// Servers that are still listed, but to which every connection fails.
    pub down: Vec<ServerId>,
    /// Servers that restart at the moment of the change, without cached copies.
    pub cold: Vec<ServerId>,
    /// Servers that are listed with another weight.
    pub reweighted: Vec<Reweighting>,
    /// Whether some edge proxies still have the old endpoint list, so that both lists are in use.
    pub late: bool,
}

impl Scenario {
    /// Whether no server is affected; `late` is not considered.
    pub fn changes_nothing(&self) -> bool {
        let lists = [&self.drained, &self.removed, &self.down, &self.cold];
        lists.iter().all(|list| list.is_empty()) && self.reweighted.is_empty()
    }
}
