//! The explorations of one question, and what they show of an expectation.

use super::decisions::Trace;
use super::expectation::{Breadth, Expectation, Rule, Scenario};
use super::explore::{changed, explore, Asked};
use super::fill_cycle;
use super::question::Question;
use super::rules::{Attempt, RuleChecker, Violation};
use super::site::Site;
use super::verdict::{Broken, Choices};
use crate::config::hcl_document::{Located, Position};
use crate::interface::{ObjectId, ServerId};
use crate::SettingsError;
use std::collections::{BTreeMap, BTreeSet};

/// What one question showed of one expectation.
pub(super) struct Case {
    pub(super) decisions: usize,
    pub(super) choices: Choices,
    /// The rules that were broken, by their place in the file.
    pub(super) broken: BTreeMap<Position, Broken>,
}

/// The requests of a question's explorations.
struct Requests {
    objects: Vec<ObjectId>,
    /// How many for each object.
    repeats: usize,
}

/// A question's explorations.
pub(super) struct Answered<'a> {
    site: &'a Site,
    question: &'a Question<'a>,
    seeds: Vec<u64>,
    /// By seed, of edge proxies that have the changed list.
    traces: Vec<Trace>,
    /// Where some edge proxies are late: by seed, of those that have the list of before, then of those that have just
    /// started with the changed one.
    others: Vec<Trace>,
}

impl<'a> Answered<'a> {
    /// Explores a question.
    pub(super) fn ask(
        site: &'a Site,
        breadth: Breadth,
        question: &'a Question<'a>,
    ) -> Result<Self, SettingsError> {
        let seeds = (0..breadth.seeds).map(|offset| breadth.seed.wrapping_add(offset)).collect();
        let mut answered = Answered { site, question, seeds, traces: Vec::new(), others: Vec::new() };
        let requests = Requests {
            objects: question.objects(breadth),
            repeats: if question.wanted.popular { breadth.repeats } else { 1 },
        };
        let scenario = &question.scenario;
        answered.traces = answered.explore(site, scenario, &requests)?;
        if scenario.late {
            let unaware = Scenario { down: scenario.down.clone(), ..Scenario::default() };
            answered.others.extend(answered.explore(site, &unaware, &requests)?);
            // Those that have just started know only the new list, and have no delegates of before.
            let started = Site { servers: changed(site, scenario), ..site.clone() };
            answered.others.extend(answered.explore(&started, &unaware, &requests)?);
        }
        Ok(answered)
    }

    /// Explores a scenario with each seed.
    fn explore(
        &self,
        site: &Site,
        scenario: &Scenario,
        requests: &Requests,
    ) -> Result<Vec<Trace>, SettingsError> {
        let asked = |seed: u64| Asked {
            point: self.question.point,
            class: self.question.class,
            objects: &requests.objects,
            repeats: requests.repeats,
            seed,
        };
        self.seeds.iter().map(|seed| explore(site, scenario, asked(*seed))).collect()
    }

    fn all_traces(&self) -> impl Iterator<Item = &Trace> {
        self.traces.iter().chain(&self.others)
    }

    fn checker(&self) -> RuleChecker<'a> {
        RuleChecker { site: self.site, point: self.question.point, class: self.question.class }
    }

    /// Judges the explorations by an expectation.
    pub(super) fn case(&self, wanted: &Expectation, label: &str) -> Case {
        let mut broken = BTreeMap::new();
        for rule in &wanted.rules {
            if let Some((seed, violation)) = self.violation(&rule.value) {
                broken.insert(rule.at, self.report(rule, label, seed, violation));
            }
        }
        let decisions = self.all_traces().map(|trace| trace.judged().count()).sum();
        Case { decisions, choices: self.choices(&wanted.rules), broken }
    }

    /// The first violation of a rule, and the seed that shows it.
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
        let how = format!("its fills go in a circle: {}", names.join(" from "));
        Some(Violation { object: Some(cycle.object), server: cycle.servers.first().copied(), how })
    }

    fn report(&self, rule: &Located<Rule>, label: &str, seed: u64, violation: Violation) -> Broken {
        let class = self.site.class_name(self.question.class);
        let point = self.site.zone_name(self.question.point);
        let object = violation.object.map(|object| format!("{:016x}", object.0));
        let what = match &object {
            Some(object) => format!("{class} {object} at point {point}"),
            None => format!("{class} at point {point}"),
        };
        let when = if label.is_empty() { String::new() } else { format!(", when {label}") };
        Broken {
            rule: rule.value.word(),
            at: rule.at,
            reason: format!("{what}{when}: {}", violation.how),
            class: class.to_owned(),
            point: point.to_owned(),
            scenario: label.to_owned(),
            object,
            server: violation.server.map(|server| self.site.name(server).to_owned()),
            seed,
        }
    }

    /// What is known of the random choices: whether there were any, and whether the rules hold for all of them.
    fn choices(&self, rules: &[Located<Rule>]) -> Choices {
        if self.traces.windows(2).all(|pair| pair[0].decisions == pair[1].decisions) {
            return Choices::Fixed;
        }
        // The module draws among the ready caches of its point, and fills what it draws from the object's home,
        // which is one of them too. Whatever holds for all of them holds for each draw.
        let servers = changed(self.site, &self.question.scenario);
        let eligible = self.site.ready_caches(&servers, self.question.point);
        if rules.iter().all(|rule| self.holds_for_all(&rule.value, &eligible)) {
            return Choices::Bounded { eligible: eligible.len() };
        }
        let decisions = self.traces.iter().flat_map(Trace::judged);
        let chosen: BTreeSet<ServerId> = decisions.map(|decision| decision.server).collect();
        let seen = chosen.intersection(&eligible).count();
        let seeds = [self.seeds[0], self.seeds[self.seeds.len() - 1]];
        Choices::Explored { seeds, seen, eligible: eligible.len() }
    }

    /// Whether a rule about servers holds for whichever of these is chosen; `false` for any other rule.
    fn holds_for_all(&self, rule: &Rule, servers: &BTreeSet<ServerId>) -> bool {
        let checker = self.checker();
        let holds = |server: ServerId| {
            let attempt = Attempt { server, source: Some(server), rank: 1 };
            checker.wrong_attempt(rule, attempt).is_none()
        };
        rule.is_about_servers() && servers.iter().all(|server| holds(*server))
    }
}
