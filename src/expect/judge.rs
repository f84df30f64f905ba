//! Holds what the decision module decided against what was expected, and says what broke it.

use super::explore::{at_point, changed, explore, Asked, Decision, Trace};
use super::language::{Answer, Breadth, Expectation, Rule, Scenario};
use super::site::{Selector, Site};
use crate::config::located::{Located, Place};
use crate::interface::{ClassId, Member, ObjectId, ServerId, ZoneId};
use crate::spread::next;
use crate::SettingsError;
use rayon::prelude::*;
use serde::Serialize;
use std::collections::{BTreeMap, BTreeSet};

/// How an expectation came out.
#[derive(Clone, Debug, Serialize)]
pub struct Verdict {
    /// The expectation's name.
    pub name: String,
    /// The line where it begins.
    pub line: usize,
    /// Whether all of its rules held.
    pub passed: bool,
    /// Scenarios, points and classes that it was asked for, and seeds of each.
    pub asked: [usize; 4],
    /// Decisions that were looked at.
    pub decisions: usize,
    /// What is known of the module's random choices.
    pub choices: Choices,
    /// For each rule that broke, the first thing found that breaks it.
    pub broken: Vec<Broken>,
}

/// What is known of the random choices behind a verdict.
#[derive(Clone, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum Choices {
    /// All seeds decided alike: nothing was left to chance.
    Fixed,
    /// They differ, and the rules hold for whichever ready cache of the point is chosen.
    Bounded {
        /// The most caches there were to choose from.
        eligible: usize,
    },
    /// They differ, and only what these seeds chose was looked at.
    Explored {
        /// The first and the last seed.
        seeds: [u64; 2],
        /// Caches that were chosen, of the point where fewest of those to choose from were.
        seen: usize,
        /// Caches there to choose from.
        eligible: usize,
    },
}

/// A rule that broke, with a counter-example.
#[derive(Clone, Debug, Serialize)]
pub struct Broken {
    /// The rule's word.
    pub rule: &'static str,
    /// Its line and column.
    pub at: [usize; 2],
    /// In one sentence: which object, class, point and server broke it, and how.
    pub reason: String,
    /// The class.
    pub class: String,
    /// The point.
    pub point: String,
    /// The scenario; empty where nothing happens.
    pub scenario: String,
    /// The object, 16 hex digits; absent where the rule is about many.
    pub object: Option<String>,
    /// The server that is at fault, if one is.
    pub server: Option<String>,
    /// The seed that shows it.
    pub seed: u64,
}

/// One thing that breaks a rule: of which object, by which server, and how.
struct Fault {
    object: Option<ObjectId>,
    server: Option<ServerId>,
    how: String,
}

/// The objects of a class that are sampled: the same ones at each run.
fn sample(class: ClassId, count: usize) -> Vec<ObjectId> {
    // From the class's number, spread over all 64 bits as the platform's ids are.
    let mut state = 0x5eed_0000 + u64::from(class.0);
    (0..count).map(|_| ObjectId(next(&mut state))).collect()
}

/// What is explored once, for all expectations that ask it: equal words mean equal explorations.
struct Question<'a> {
    scenario: Scenario,
    point: ZoneId,
    class: ClassId,
    wanted: &'a Expectation,
    /// The expectations, by their place in the suite, each with its own label of the scenario.
    askers: Vec<(usize, String)>,
}

impl Question<'_> {
    fn words(&self) -> String {
        let Expectation { objects, popular, .. } = self.wanted;
        format!("{:?}", (&self.scenario, self.point, self.class, objects, popular))
    }
}

/// Asks all that the expectations need, each question once, and judges them.
///
/// # Errors
///
/// Settings that no router can start with.
pub fn judge(site: &Site, breadth: Breadth, suite: &[Expectation]) -> Result<Vec<Verdict>, SettingsError> {
    let mut questions: BTreeMap<String, Question> = BTreeMap::new();
    for (place, wanted) in suite.iter().enumerate() {
        for point in &wanted.points {
            for scenario in &wanted.scenarios {
                let mut here = at_point(site, scenario, *point);
                let label = std::mem::take(&mut here.label);
                for class in &wanted.classes {
                    let (scenario, askers) = (here.clone(), Vec::new());
                    let question = Question { scenario, point: *point, class: *class, wanted, askers };
                    let question = questions.entry(question.words()).or_insert(question);
                    if question.askers.last().is_none_or(|(last, _)| *last != place) {
                        question.askers.push((place, label.clone()));
                    }
                }
            }
        }
    }
    let questions: Vec<Question> = questions.into_values().collect();
    let answered: Vec<Vec<(usize, Case)>> = questions
        .par_iter()
        .map(|question| {
            let answered = Answered::ask(site, breadth, question)?;
            let of = |(place, label): &(usize, String)| (*place, answered.case(&suite[*place], label));
            Ok::<_, SettingsError>(question.askers.iter().map(of).collect())
        })
        .collect::<Result<_, _>>()?;
    let mut cases: Vec<Vec<Case>> = suite.iter().map(|_| Vec::new()).collect();
    answered.into_iter().flatten().for_each(|(place, case)| cases[place].push(case));
    Ok(suite.iter().zip(cases).map(|(wanted, cases)| verdict(breadth, wanted, &cases)).collect())
}

fn verdict(breadth: Breadth, wanted: &Expectation, cases: &[Case]) -> Verdict {
    let first = |rule: &Located<Rule>| cases.iter().find_map(|case| case.broken.get(&rule.at)).cloned();
    let broken: Vec<Broken> = wanted.rules.iter().filter_map(first).collect();
    Verdict {
        name: wanted.name.clone(),
        line: wanted.at.line,
        passed: broken.is_empty(),
        asked: [wanted.scenarios.len(), wanted.points.len(), wanted.classes.len(), breadth.seeds as usize],
        decisions: cases.iter().map(|case| case.decisions).sum(),
        choices: cases.iter().map(|case| case.choices.clone()).fold(Choices::Fixed, worse),
        broken,
    }
}

/// Of two, the one of which less is known.
fn worse(a: Choices, b: Choices) -> Choices {
    match (&a, &b) {
        (Choices::Fixed, _) => b,
        (_, Choices::Fixed) => a,
        (Choices::Bounded { eligible: x }, Choices::Bounded { eligible: y }) if x < y => b,
        (Choices::Bounded { .. }, Choices::Explored { .. }) => b,
        (Choices::Explored { seen: s, eligible: e, .. }, Choices::Explored { seen: t, eligible: f, .. })
            if t * e < s * f =>
        {
            b
        }
        _ => a,
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
        let Question { scenario, point, class, wanted, .. } = question;
        let mut objects = wanted.objects.clone();
        if objects.is_empty() {
            // A few popular ones say as much as many: each is asked for again and again.
            let count = if wanted.popular { breadth.objects.div_ceil(8) } else { breadth.objects };
            objects = sample(*class, count);
        }
        let repeats = if wanted.popular { breadth.repeats } else { 1 };
        let seeds: Vec<u64> = (0..breadth.seeds).map(|n| breadth.seed.wrapping_add(n)).collect();
        let ask = |scenario: &Scenario| -> Result<Vec<Trace>, SettingsError> {
            let asked = |seed| Asked { point: *point, class: *class, objects: &objects, repeats, seed };
            seeds.iter().map(|seed| explore(site, scenario, asked(*seed))).collect()
        };
        let unaware = Scenario { down: scenario.down.clone(), ..Scenario::default() };
        let (traces, mut others) = (ask(scenario)?, Vec::new());
        if scenario.late {
            others = ask(&unaware)?;
            // And those that have just started, know only the new list and have no delegates of before.
            let started = Site { servers: changed(site, scenario), ..site.clone() };
            for seed in &seeds {
                let asked = Asked { point: *point, class: *class, objects: &objects, repeats, seed: *seed };
                others.push(explore(&started, &unaware, asked)?);
            }
        }
        Ok(Answered { site, question, seeds, traces, others })
    }

    /// What an expectation that asked makes of it.
    fn case(&self, wanted: &Expectation, label: &str) -> Case {
        let Question { scenario, point, class, .. } = self.question;
        let never_kept = self.site.settings.classes[usize::from(class.0)].never_kept;
        let judged = Judged { site: self.site, point: *point, class: *class, never_kept };
        let mut broken = BTreeMap::new();
        for rule in &wanted.rules {
            let fault = match &rule.value {
                Rule::Acyclic => circle(&self.traces, &self.others).map(|(object, circle)| {
                    let names: Vec<String> = circle.iter().map(|s| self.site.describe(*s)).collect();
                    let how = format!("its fills go in a circle: {}", names.join(" from "));
                    (0, Fault { object: Some(object), server: circle.first().copied(), how })
                }),
                rule => {
                    let mut all = self.traces.iter().chain(&self.others).enumerate();
                    all.find_map(|(n, trace)| Some((n, judged.fault(rule, trace)?)))
                }
            };
            if let Some((n, fault)) = fault {
                let seed = self.seeds[n % self.seeds.len()];
                broken.insert(rule.at, judged.report(rule, label, seed, fault));
            }
        }
        let after = changed(self.site, scenario);
        let choices = judged.choices(&wanted.rules, &after, &self.traces, &self.seeds);
        let decisions = self.traces.iter().chain(&self.others).map(|trace| trace.judged().count()).sum();
        Case { decisions, choices, broken }
    }
}

impl Trace {
    /// The decisions for requests after the scenario's change.
    pub fn judged(&self) -> impl Iterator<Item = &Decision> {
        self.decisions.iter().filter(|decision| decision.request >= self.judged_from)
    }

    /// The home of each object as its first request before, or after, the change showed it.
    fn homes(&self, after: bool) -> BTreeMap<ObjectId, ServerId> {
        let mut homes = BTreeMap::new();
        let of_phase = |d: &&Decision| (d.request >= self.judged_from) == after && d.attempt == 0;
        for decision in self.decisions.iter().filter(of_phase) {
            homes.entry(self.objects[decision.request]).or_insert(decision.server);
        }
        homes
    }
}

/// What a rule is judged with.
struct Judged<'a> {
    site: &'a Site,
    point: ZoneId,
    class: ClassId,
    never_kept: bool,
}

impl Judged<'_> {
    fn is_in(&self, set: &[Selector], server: ServerId) -> bool {
        let member = self.site.servers.get(&server);
        member.is_some_and(|member| set.iter().any(|s| self.site.selects(s, member, self.point)))
    }

    /// Whether a request goes to one of these: it is asked, or the request is only carried to where it runs.
    fn reaches(&self, set: &[Selector], server: ServerId, source: Option<ServerId>, rank: u8) -> bool {
        let upward = |s: ServerId| self.site.servers.get(&s).is_some_and(|m| !self.site.is_cache(m));
        let carried = self.never_kept && rank == 0 && (upward(server) || source.is_some_and(upward));
        self.is_in(set, server) || (carried && set.contains(&Selector::Origin))
    }

    /// What is wrong with one decision by a rule about servers or ranks, if anything.
    fn wrong(&self, rule: &Rule, server: ServerId, source: Option<ServerId>, rank: u8) -> Option<String> {
        let name = |server: ServerId| self.site.describe(server);
        let from = |source: ServerId| format!("a miss at {} is filled from {}", name(server), name(source));
        match (rule, source) {
            (Rule::GoesTo(set), _) if !self.reaches(set, server, source, rank) => {
                Some(format!("it goes to {}", name(server)))
            }
            (Rule::NeverGoesTo(set), _) if self.is_in(set, server) => {
                Some(format!("it goes to {}", name(server)))
            }
            (Rule::FillsFrom(_), None) => {
                let origin = self.site.servers.get(&server).is_some_and(|m| self.site.is_origin(m));
                (!origin).then(|| format!("a miss at {} is filled from nowhere", name(server)))
            }
            (Rule::FillsFrom(set), Some(source)) if !self.is_in(set, source) => Some(from(source)),
            (Rule::NeverFillFrom(set), Some(source)) if self.is_in(set, source) => Some(from(source)),
            (Rule::RankAtLeast(least), _) if u64::from(rank) < *least => {
                Some(format!("a copy at {} is kept at rank {rank}", name(server)))
            }
            (Rule::RankAtMost(most), _) if u64::from(rank) > *most => {
                Some(format!("a copy at {} is kept at rank {rank}", name(server)))
            }
            _ => None,
        }
    }

    /// The first thing in an exploration that breaks a rule.
    fn fault(&self, rule: &Rule, trace: &Trace) -> Option<Fault> {
        let of = |request: usize| Some(trace.objects[request]);
        match rule {
            Rule::Final(wanted) => {
                let judged = trace.answers.iter().enumerate().skip(trace.judged_from);
                let wrong =
                    judged.filter(|(_, answer)| **answer != Some(*wanted)).map(|(request, answer)| {
                        let tried = trace.decisions.iter().filter(|d| d.request == request);
                        let tried: Vec<String> = tried.map(|d| self.site.describe(d.server)).collect();
                        let word = answer.map_or("not answered", Answer::word);
                        let how = match tried.is_empty() {
                            true => format!("it is {word}, and nobody is asked"),
                            false => format!("it is {word} after {}", tried.join(", ")),
                        };
                        Fault { object: of(request), server: None, how }
                    });
                wrong.into_iter().next()
            }
            Rule::AttemptsAtMost(most) => trace.judged().find(|d| u64::from(d.attempt) >= *most).map(|d| {
                let how = format!(
                    "attempt {} of one request goes to {}",
                    d.attempt + 1,
                    self.site.describe(d.server)
                );
                Fault { object: of(d.request), server: Some(d.server), how }
            }),
            Rule::CachesAtMost(most) => {
                let mut by_object: BTreeMap<ObjectId, BTreeSet<ServerId>> = BTreeMap::new();
                for decision in trace.judged() {
                    by_object.entry(trace.objects[decision.request]).or_default().insert(decision.server);
                }
                by_object.into_iter().find(|(_, caches)| caches.len() as u64 > *most).map(
                    |(object, caches)| {
                        let names: Vec<String> = caches.iter().map(|s| self.site.describe(*s)).collect();
                        let how = format!("its requests go to {} servers: {}", names.len(), names.join(", "));
                        Fault { object: Some(object), server: None, how }
                    },
                )
            }
            Rule::ShareAtMost(most) => {
                let homes = trace.homes(true);
                let mut counts: BTreeMap<ServerId, usize> = BTreeMap::new();
                homes.values().for_each(|server| *counts.entry(*server).or_default() += 1);
                let (server, count) = counts.into_iter().max_by_key(|(_, count)| *count)?;
                let share = count as f64 / homes.len() as f64;
                (share > *most).then(|| {
                    let how = format!(
                        "{} is home to {count} of {} objects ({share:.3} of them)",
                        self.site.describe(server),
                        homes.len()
                    );
                    Fault { object: None, server: Some(server), how }
                })
            }
            Rule::MovesAtMost(most) => {
                let (mut before, after) = (trace.homes(false), trace.homes(true));
                before.retain(|object, _| after.contains_key(object));
                let stays = |home: &ServerId| after.values().any(|server| server == home);
                let moved: Vec<_> =
                    before.iter().filter(|(object, home)| stays(home) && after[*object] != **home).collect();
                let (object, home) = moved.first()?;
                let share = moved.len() as f64 / before.len() as f64;
                (share > *most).then(|| {
                    let how = format!(
                        "{} of {} objects leave a home that stays; this one goes from {} to {}",
                        moved.len(),
                        before.len(),
                        self.site.describe(**home),
                        self.site.describe(after[*object])
                    );
                    Fault { object: Some(**object), server: Some(**home), how }
                })
            }
            rule => trace.judged().find_map(|d| {
                let how = self.wrong(rule, d.server, d.source, d.rank)?;
                let fills = matches!(rule, Rule::FillsFrom(_) | Rule::NeverFillFrom(_));
                let server = if fills { d.source.or(Some(d.server)) } else { Some(d.server) };
                let which =
                    format!("request {} attempt {}", d.request - trace.judged_from + 1, d.attempt + 1);
                Some(Fault { object: of(d.request), server, how: format!("{how} ({which})") })
            }),
        }
    }

    fn report(&self, rule: &Located<Rule>, label: &str, seed: u64, fault: Fault) -> Broken {
        let (class, point) = (self.site.class_name(self.class), self.site.zone_name(self.point));
        let object = fault.object.map(|object| format!("{:016x}", object.0));
        let what = match &object {
            Some(object) => format!("{class} {object} at point {point}"),
            None => format!("{class} at point {point}"),
        };
        let when = if label.is_empty() { String::new() } else { format!(", when {label}") };
        Broken {
            rule: rule.value.word(),
            at: [rule.at.line, rule.at.column],
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
    fn choices(
        &self,
        rules: &[Located<Rule>],
        servers: &BTreeMap<ServerId, Member>,
        traces: &[Trace],
        seeds: &[u64],
    ) -> Choices {
        if traces.windows(2).all(|pair| pair[0].decisions == pair[1].decisions) {
            return Choices::Fixed;
        }
        // The module draws among the ready caches of its point, and fills what it draws from the object's home,
        // which is one of them too. Whatever holds for all of them holds for each draw.
        let eligible = self.site.ready_caches(servers, self.point);
        let of_servers = |rule: &Rule| {
            matches!(
                rule,
                Rule::GoesTo(_) | Rule::NeverGoesTo(_) | Rule::FillsFrom(_) | Rule::NeverFillFrom(_)
            )
        };
        let holds = |rule: &Rule, server: ServerId| self.wrong(rule, server, Some(server), 1).is_none();
        let bounded = rules
            .iter()
            .all(|rule| of_servers(&rule.value) && eligible.iter().all(|server| holds(&rule.value, *server)));
        if bounded {
            return Choices::Bounded { eligible: eligible.len() };
        }
        let asked = traces.iter().flat_map(|trace| trace.judged().map(|d| d.server));
        let seen = asked.collect::<BTreeSet<_>>().intersection(&eligible).count();
        let ends = [seeds[0], seeds[seeds.len() - 1]];
        Choices::Explored { seeds: ends, seen, eligible: eligible.len() }
    }
}

/// A circle that the fills of one object go in, if there is one, taking all these edge proxies' views together:
/// the servers in their order, each filled from the next, the first one again at the end.
fn circle(traces: &[Trace], others: &[Trace]) -> Option<(ObjectId, Vec<ServerId>)> {
    let mut fills: BTreeMap<ObjectId, BTreeMap<ServerId, BTreeSet<ServerId>>> = BTreeMap::new();
    for trace in traces.iter().chain(others) {
        for decision in trace.judged() {
            if let Some(source) = decision.source {
                let object = fills.entry(trace.objects[decision.request]).or_default();
                object.entry(decision.server).or_default().insert(source);
            }
        }
    }
    fills.into_iter().find_map(|(object, edges)| Some((object, circle_in(&edges)?)))
}

/// A circle in a graph of few servers, found by following edges from each one.
pub(super) fn circle_in(edges: &BTreeMap<ServerId, BTreeSet<ServerId>>) -> Option<Vec<ServerId>> {
    fn follow(
        edges: &BTreeMap<ServerId, BTreeSet<ServerId>>,
        at: ServerId,
        path: &mut Vec<ServerId>,
        done: &mut BTreeSet<ServerId>,
    ) -> Option<Vec<ServerId>> {
        if let Some(from) = path.iter().position(|server| *server == at) {
            let mut circle = path[from..].to_vec();
            circle.push(at);
            return Some(circle);
        }
        if !done.insert(at) {
            return None;
        }
        path.push(at);
        let found = edges.get(&at).into_iter().flatten().find_map(|next| follow(edges, *next, path, done));
        path.pop();
        found
    }
    let mut done = BTreeSet::new();
    edges.keys().find_map(|start| follow(edges, *start, &mut Vec::new(), &mut done))
}
