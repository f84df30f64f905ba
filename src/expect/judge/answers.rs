//! The explorations of one question, and how the rules of an expectation judge them.

use super::question::Question;
use crate::config::located::{Located, Place};
use crate::expect::decisions::Trace;
use crate::expect::expectation::{Breadth, Expectation, Rule, Scenario};
use crate::expect::explore::{changed, explore, ExploredRequests};
use crate::expect::fill_cycle;
use crate::expect::rules::{Attempt, Fault, RuleChecker};
use crate::expect::site::Site;
use crate::expect::verdict::{Broken, Choices};
use crate::interface::ServerId;
use crate::SettingsError;
use std::collections::{BTreeMap, BTreeSet};

/// The result of one question for one expectation.
pub(super) struct Case {
    pub(super) decisions: usize,
    pub(super) choices: Choices,
    pub(super) broken: BTreeMap<Place, Broken>,
}

/// A question's explorations.
pub(super) struct Answered<'a> {
    site: &'a Site,
    question: &'a Question<'a>,
    seeds: Vec<u64>,
    /// By seed, of edge proxies that know of the scenario's change.
    traces: Vec<Trace>,
    /// Where some are late: by seed, of those that do not know of it yet, then of those that just started with it.
    others: Vec<Trace>,
}

impl<'a> Answered<'a> {
    pub(super) fn ask(
        site: &'a Site,
        breadth: Breadth,
        question: &'a Question<'a>,
    ) -> Result<Self, SettingsError> {
        let objects = question.objects(breadth);
        let repeats = if question.wanted.popular { breadth.repeats } else { 1 };
        let seeds: Vec<u64> = (0..breadth.seeds).map(|offset| breadth.seed.wrapping_add(offset)).collect();
        let ask = |site: &Site, scenario: &Scenario| -> Result<Vec<Trace>, SettingsError> {
            let asked = |seed: u64| ExploredRequests {
                point: question.point,
                class: question.class,
                objects: &objects,
                repeats,
                seed,
            };
            seeds.iter().map(|seed| explore(site, scenario, asked(*seed))).collect()
        };
        let scenario = &question.scenario;
        let traces = ask(site, scenario)?;
        let mut others = Vec::new();
        if scenario.late {
            let unaware = Scenario { down: scenario.down.clone(), ..Scenario::default() };
            others.extend(ask(site, &unaware)?);
            // Those that have just started know only the new list, and have no delegates of before.
            let started = Site { servers: changed(site, scenario), ..site.clone() };
            others.extend(ask(&started, &unaware)?);
        }
        Ok(Answered { site, question, seeds, traces, others })
    }

    fn all_traces(&self) -> impl Iterator<Item = &Trace> {
        self.traces.iter().chain(&self.others)
    }

    fn checker(&self) -> RuleChecker<'a> {
        RuleChecker { site: self.site, point: self.question.point, class: self.question.class }
    }

    /// What an expectation that asked makes of it.
    pub(super) fn case(&self, wanted: &Expectation, label: &str) -> Case {
        let mut broken = BTreeMap::new();
        for rule in &wanted.rules {
            if let Some((seed, fault)) = self.fault(&rule.value) {
                broken.insert(rule.at, self.report(rule, label, seed, fault));
            }
        }
        let decisions = self.all_traces().map(|trace| trace.judged().count()).sum();
        Case { decisions, choices: self.choices(&wanted.rules), broken }
    }

    /// The first thing that breaks a rule, and the seed that shows it.
    fn fault(&self, rule: &Rule) -> Option<(u64, Fault)> {
        if *rule == Rule::Acyclic {
            return Some((self.seeds[0], self.fill_cycle()?));
        }
        let checker = self.checker();
        let seeds = self.seeds.iter().cycle();
        let mut traces = self.all_traces().zip(seeds);
        traces.find_map(|(trace, seed)| Some((*seed, checker.fault(rule, trace)?)))
    }

    fn fill_cycle(&self) -> Option<Fault> {
        let cycle = fill_cycle::find(self.all_traces())?;
        let names: Vec<String> = cycle.servers.iter().map(|server| self.site.describe(*server)).collect();
        let how = format!("its fills go in a circle: {}", names.join(" from "));
        Some(Fault { object: Some(cycle.object), server: cycle.servers.first().copied(), how })
    }

    fn report(&self, rule: &Located<Rule>, label: &str, seed: u64, fault: Fault) -> Broken {
        let class = self.site.class_name(self.question.class);
        let point = self.site.zone_name(self.question.point);
        let object = fault.object.map(|object| format!("{:016x}", object.0));
        let what = match &object {
            Some(object) => format!("{class} {object} at point {point}"),
            None => format!("{class} at point {point}"),
        };
        let when = if label.is_empty() { String::new() } else { format!(", when {label}") };
        Broken {
            rule: rule.value.word(),
            at: rule.at,
            reason: format!("{what}{when}: {}", fault.how),
            class: class.to_owned(),
            point: point.to_owned(),
            scenario: label.to_owned(),
            object,
            server: fault.server.map(|server| self.site.name(server).to_owned()),
            seed,
        }
    }

    /// What is known of the random choices: whether there were any, and whether the rules hold whatever they are.
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
