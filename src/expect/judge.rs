//! Asks all that the expectations need, and judges what the decision module decided.

use super::decisions::Trace;
use super::expectation::{Breadth, Expectation, Rule, Scenario};
use super::explore::{at_point, changed, explore, ExploredRequests};
use super::fill_cycle;
use super::rules::{Attempt, Fault, RuleChecker};
use super::site::Site;
use super::verdict::{Broken, Choices, Extent, Verdict};
use crate::config::located::{Located, Place};
use crate::interface::{ClassId, ObjectId, ServerId, ZoneId};
use crate::spread::next;
use crate::SettingsError;
use rayon::prelude::*;
use std::collections::{BTreeMap, BTreeSet};

/// Where the sampled objects of classes begin; the class's number is added.
const SAMPLE_SEED: u64 = 0x5eed_0000;
/// Of popular objects one in so many of a sample is asked for: a few say as much as many, since each is asked for
/// again and again.
const POPULAR_SAMPLE_DIVISOR: usize = 8;

/// Asks all that the expectations need, each question once, and judges them.
///
/// # Errors
///
/// Settings with which no router can start.
pub fn judge(site: &Site, breadth: Breadth, suite: &[Expectation]) -> Result<Vec<Verdict>, SettingsError> {
    let questions = questions(site, suite);
    let answered = questions.par_iter().map(|question| question.cases(site, breadth, suite));
    let answered: Vec<Vec<(usize, Case)>> = answered.collect::<Result<_, _>>()?;
    let mut cases: Vec<Vec<Case>> = suite.iter().map(|_| Vec::new()).collect();
    for (expectation, case) in answered.into_iter().flatten() {
        cases[expectation].push(case);
    }
    Ok(suite.iter().zip(cases).map(|(wanted, cases)| verdict(breadth, wanted, &cases)).collect())
}

/// What is explored once, for all expectations that ask it.
struct Question<'a> {
    scenario: Scenario,
    point: ZoneId,
    class: ClassId,
    wanted: &'a Expectation,
    askers: Vec<Asker>,
}

/// An expectation that asks a question.
struct Asker {
    /// Its place in the suite.
    expectation: usize,
    /// How it words the scenario.
    label: String,
}

/// The questions of a suite; equal ones are one.
fn questions<'a>(site: &Site, suite: &'a [Expectation]) -> Vec<Question<'a>> {
    let mut questions: BTreeMap<String, Question> = BTreeMap::new();
    for (expectation, wanted) in suite.iter().enumerate() {
        for point in &wanted.points {
            for scenario in &wanted.scenarios {
                let mut scenario = at_point(site, scenario, *point);
                let label = std::mem::take(&mut scenario.label);
                for class in &wanted.classes {
                    let question = Question::new(scenario.clone(), *point, *class, wanted);
                    let question = questions.entry(question.key()).or_insert(question);
                    question.add_asker(expectation, &label);
                }
            }
        }
    }
    questions.into_values().collect()
}

impl<'a> Question<'a> {
    fn new(scenario: Scenario, point: ZoneId, class: ClassId, wanted: &'a Expectation) -> Self {
        Question { scenario, point, class, wanted, askers: Vec::new() }
    }

    /// Equal keys mean equal explorations.
    fn key(&self) -> String {
        let Expectation { objects, popular, .. } = self.wanted;
        format!("{:?}", (&self.scenario, self.point, self.class, objects, popular))
    }

    /// Adds an expectation, once; they come in the suite's order.
    fn add_asker(&mut self, expectation: usize, label: &str) {
        if self.askers.last().is_none_or(|last| last.expectation != expectation) {
            self.askers.push(Asker { expectation, label: label.to_owned() });
        }
    }

    /// What each expectation that asks makes of the answer, with its place in the suite.
    fn cases(
        &self,
        site: &Site,
        breadth: Breadth,
        suite: &[Expectation],
    ) -> Result<Vec<(usize, Case)>, SettingsError> {
        let answered = Answered::ask(site, breadth, self)?;
        let case = |asker: &Asker| {
            let wanted = &suite[asker.expectation];
            (asker.expectation, answered.case(wanted, &asker.label))
        };
        Ok(self.askers.iter().map(case).collect())
    }

    /// The objects that are asked for.
    fn objects(&self, breadth: Breadth) -> Vec<ObjectId> {
        if !self.wanted.objects.is_empty() {
            return self.wanted.objects.clone();
        }
        let count = if self.wanted.popular {
            breadth.objects.div_ceil(POPULAR_SAMPLE_DIVISOR)
        } else {
            breadth.objects
        };
        sample(self.class, count)
    }
}

/// The objects of a class that are sampled: the same ones at each run.
fn sample(class: ClassId, count: usize) -> Vec<ObjectId> {
    // Spread over all 64 bits as the platform's ids are.
    let mut state = SAMPLE_SEED + u64::from(class.0);
    (0..count).map(|_| ObjectId(next(&mut state))).collect()
}

fn verdict(breadth: Breadth, wanted: &Expectation, cases: &[Case]) -> Verdict {
    let first = |rule: &Located<Rule>| cases.iter().find_map(|case| case.broken.get(&rule.at)).cloned();
    let broken: Vec<Broken> = wanted.rules.iter().filter_map(first).collect();
    let choices = cases.iter().map(|case| case.choices.clone());
    Verdict {
        name: wanted.name.clone(),
        line: wanted.at.line,
        passed: broken.is_empty(),
        asked: Extent {
            scenarios: wanted.scenarios.len(),
            points: wanted.points.len(),
            classes: wanted.classes.len(),
            seeds: breadth.seeds as usize,
        },
        decisions: cases.iter().map(|case| case.decisions).sum(),
        choices: choices.fold(Choices::Fixed, Choices::less_known),
        broken,
    }
}

/// What one question came to, for one expectation.
struct Case {
    decisions: usize,
    choices: Choices,
    broken: BTreeMap<Place, Broken>,
}

/// A question's explorations.
struct Answered<'a> {
    site: &'a Site,
    question: &'a Question<'a>,
    seeds: Vec<u64>,
    /// By seed, of edge proxies that know of the scenario's change.
    traces: Vec<Trace>,
    /// Where some are late: by seed, of those that do not know of it yet, then of those that just started with it.
    others: Vec<Trace>,
}

impl<'a> Answered<'a> {
    fn ask(site: &'a Site, breadth: Breadth, question: &'a Question<'a>) -> Result<Self, SettingsError> {
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
    fn case(&self, wanted: &Expectation, label: &str) -> Case {
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
