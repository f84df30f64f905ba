//! Runs the explorations of one test case, and evaluates expectations on their traces.

use super::decisions::Trace;
use super::expectation::{Expectation, ExploreSettings, Rule, Scenario};
use super::explore::{changed_servers, explore, ExploreInput};
use super::fill_cycle;
use super::rules::{Attempt, RuleChecker, Violation};
use super::site::Site;
use super::test_case::TestCase;
use super::verdict::{BrokenRule, Choices};
use crate::config::hcl_document::{Located, Position};
use crate::interface::{ObjectId, ServerId};
use crate::SettingsError;
use std::collections::{BTreeMap, BTreeSet};

/// The result of one expectation in one test case.
pub(super) struct CaseResult {
    pub(super) decisions: usize,
    pub(super) choices: Choices,
    /// The rules that were broken, by their position in the file.
    pub(super) broken: BTreeMap<Position, BrokenRule>,
}

/// The requests of a test case's explorations.
struct Requests {
    objects: Vec<ObjectId>,
    /// Number of requests for each object.
    repeats: usize,
}

/// The explorations of a test case.
pub(super) struct CaseRun<'a> {
    site: &'a Site,
    test_case: &'a TestCase<'a>,
    seeds: Vec<u64>,
    /// One trace per seed, of edge proxies that have the changed endpoint list.
    traces: Vec<Trace>,
    /// Empty unless the scenario is late. Otherwise one trace per seed of edge proxies that still have the
    /// old endpoint list, then one per seed of edge proxies that have just started with the changed list.
    other_view_traces: Vec<Trace>,
}

impl<'a> CaseRun<'a> {
    /// Explores a test case with each seed; a late scenario also with the other two views of the endpoint
    /// list.
    pub(super) fn explore(
        site: &'a Site,
        explore_settings: ExploreSettings,
        test_case: &'a TestCase<'a>,
    ) -> Result<Self, SettingsError> {
        let seeds =
            (0..explore_settings.seeds).map(|offset| explore_settings.seed.wrapping_add(offset)).collect();
        let mut run = CaseRun { site, test_case, seeds, traces: Vec::new(), other_view_traces: Vec::new() };
        let requests = Requests {
            objects: test_case.objects(explore_settings),
            repeats: if test_case.expectation.popular { explore_settings.repeats } else { 1 },
        };
        let scenario = &test_case.scenario;
        run.traces = run.explore_seeds(site, scenario, &requests)?;
        if scenario.late {
            let old_list = Scenario { down: scenario.down.clone(), ..Scenario::default() };
            run.other_view_traces.extend(run.explore_seeds(site, &old_list, &requests)?);
            // Edge proxies that have just started know only the changed list, and have no delegates from
            // before the change.
            let restarted = Site { servers: changed_servers(site, scenario), ..site.clone() };
            run.other_view_traces.extend(run.explore_seeds(&restarted, &old_list, &requests)?);
        }
        Ok(run)
    }

    /// Explores a scenario with each seed.
    fn explore_seeds(
        &self,
        site: &Site,
        scenario: &Scenario,
        requests: &Requests,
    ) -> Result<Vec<Trace>, SettingsError> {
        let input = |seed: u64| ExploreInput {
            point: self.test_case.point,
            class: self.test_case.class,
            objects: &requests.objects,
            repeats: requests.repeats,
            seed,
        };
        self.seeds.iter().map(|seed| explore(site, scenario, input(*seed))).collect()
    }

    fn all_traces(&self) -> impl Iterator<Item = &Trace> {
        self.traces.iter().chain(&self.other_view_traces)
    }

    fn checker(&self) -> RuleChecker<'a> {
        RuleChecker { site: self.site, point: self.test_case.point, class: self.test_case.class }
    }

    /// Evaluates an expectation on all traces; `label` describes the scenario in the expectation's words.
    pub(super) fn evaluate(&self, expectation: &Expectation, label: &str) -> CaseResult {
        let mut broken = BTreeMap::new();
        for rule in &expectation.rules {
            if let Some((seed, violation)) = self.violation(&rule.value) {
                broken.insert(rule.at, self.broken_rule(rule, label, seed, violation));
            }
        }
        let decisions = self.all_traces().map(|trace| trace.checked_decisions().count()).sum();
        CaseResult { decisions, choices: self.choices(&expectation.rules), broken }
    }

    /// Returns the first violation of a rule, with the seed of its trace. A fill cycle is searched in all
    /// traces together, and gets the first seed.
    fn violation(&self, rule: &Rule) -> Option<(u64, Violation)> {
        if *rule == Rule::Acyclic {
            return Some((self.seeds[0], self.fill_cycle()?));
        }
        let checker = self.checker();
        let seeds = self.seeds.iter().cycle();
        let mut traces = self.all_traces().zip(seeds);
        traces.find_map(|(trace, seed)| Some((*seed, checker.violation(rule, trace)?)))
    }

    fn fill_cycle(&self) -> Option<Violation> {
        let cycle = fill_cycle::find(self.all_traces())?;
        let names: Vec<String> = cycle.servers.iter().map(|server| self.site.describe(*server)).collect();
        let description = format!("its fills form a cycle: {}", names.join(" from "));
        Some(Violation { object: Some(cycle.object), server: cycle.servers.first().copied(), description })
    }

    fn broken_rule(&self, rule: &Located<Rule>, label: &str, seed: u64, violation: Violation) -> BrokenRule {
        let class = self.site.class_name(self.test_case.class);
        let point = self.site.zone_name(self.test_case.point);
        let object = violation.object.map(|object| format!("{:016x}", object.0));
        let what = match &object {
            Some(object) => format!("{class} {object} at point {point}"),
            None => format!("{class} at point {point}"),
        };
        let when = if label.is_empty() { String::new() } else { format!(", when {label}") };
        BrokenRule {
            rule: rule.value.key(),
            at: rule.at,
            reason: format!("{what}{when}: {}", violation.description),
            class: class.to_owned(),
            point: point.to_owned(),
            scenario: label.to_owned(),
            object,
            server: violation.server.map(|server| self.site.name(server).to_owned()),
            seed,
        }
    }

    /// Returns whether random choices changed any decision, and whether the rules hold for every possible
    /// choice.
    fn choices(&self, rules: &[Located<Rule>]) -> Choices {
        if self.traces.windows(2).all(|pair| pair[0].decisions == pair[1].decisions) {
            return Choices::Fixed;
        }
        // The module picks at random among the ready caches of its point, and fills the picked cache from the
        // object's home, which is one of them too. A rule that holds for all of these caches holds for each
        // pick.
        let servers = changed_servers(self.site, &self.test_case.scenario);
        let eligible = self.site.ready_caches(&servers, self.test_case.point);
        if rules.iter().all(|rule| self.holds_for_all(&rule.value, &eligible)) {
            return Choices::Bounded { eligible: eligible.len() };
        }
        let decisions = self.traces.iter().flat_map(Trace::checked_decisions);
        let chosen: BTreeSet<ServerId> = decisions.map(|decision| decision.server).collect();
        let seen = chosen.intersection(&eligible).count();
        let seeds = [self.seeds[0], self.seeds[self.seeds.len() - 1]];
        Choices::Explored { seeds, seen, eligible: eligible.len() }
    }

    /// Whether a rule about servers holds whichever of these servers is chosen; `false` for any other rule.
    fn holds_for_all(&self, rule: &Rule, servers: &BTreeSet<ServerId>) -> bool {
        let checker = self.checker();
        let holds = |server: ServerId| {
            let attempt = Attempt { server, source: Some(server), rank: 1 };
            checker.wrong_attempt(rule, attempt).is_none()
        };
        rule.is_about_servers() && servers.iter().all(|server| holds(*server))
    }
}
