//! Holds the decisions of an exploration against one rule, and says what breaks it.

use super::decisions::{Decision, Trace};
use super::expectation::{Answer, Rule};
use super::site::{Selector, Site};
use crate::interface::{ClassId, Endpoint, ObjectId, ServerId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// One thing that breaks a rule.
pub(super) struct Fault {
    /// The object that it is about, if it is about one.
    pub(super) object: Option<ObjectId>,
    /// The server at fault, if one is.
    pub(super) server: Option<ServerId>,
    /// How it breaks the rule.
    pub(super) how: String,
}

/// One attempt, as far as a rule about servers or ranks looks at it.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) server: ServerId,
    /// Who fills a miss, if anybody.
    pub(super) source: Option<ServerId>,
    /// The rank at which a copy is cached.
    pub(super) rank: u8,
}

impl From<&Decision> for Attempt {
    fn from(decision: &Decision) -> Self {
        Attempt { server: decision.server, source: decision.source, rank: decision.rank }
    }
}

/// What rules are checked with: the requests' point and class.
pub(super) struct RuleChecker<'a> {
    pub(super) site: &'a Site,
    pub(super) point: ZoneId,
    pub(super) class: ClassId,
}

impl RuleChecker<'_> {
    /// The first thing in an exploration that breaks a rule.
    pub(super) fn fault(&self, rule: &Rule, trace: &Trace) -> Option<Fault> {
        match rule {
            Rule::Final(wanted) => self.wrong_answer(*wanted, trace),
            Rule::AttemptsAtMost(most) => self.too_many_attempts(*most, trace),
            Rule::CachesAtMost(most) => self.too_many_servers(*most, trace),
            Rule::ShareAtMost(most) => self.too_large_share(*most, trace),
            Rule::MovesAtMost(most) => self.too_many_moves(*most, trace),
            rule => trace.judged().find_map(|decision| self.wrong_decision(rule, trace, decision)),
        }
    }

    /// What is wrong with one attempt by a rule about servers or ranks, if anything.
    pub(super) fn wrong_attempt(&self, rule: &Rule, attempt: Attempt) -> Option<String> {
        let Attempt { server, source, rank } = attempt;
        match rule {
            Rule::GoesTo(set) if !self.reaches(set, attempt) => Some(self.goes_to(server)),
            Rule::NeverGoesTo(set) if self.is_in(set, server) => Some(self.goes_to(server)),
            Rule::FillsFrom(set) => self.wrong_source(set, server, source),
            Rule::NeverFillFrom(set) => {
                let source = source.filter(|source| self.is_in(set, *source))?;
                Some(self.filled_from(server, source))
            }
            Rule::RankAtLeast(least) if u64::from(rank) < *least => Some(self.kept_at(server, rank)),
            Rule::RankAtMost(most) if u64::from(rank) > *most => Some(self.kept_at(server, rank)),
            _ => None,
        }
    }

    fn wrong_decision(&self, rule: &Rule, trace: &Trace, decision: &Decision) -> Option<Fault> {
        let how = self.wrong_attempt(rule, decision.into())?;
        let is_about_fills = matches!(rule, Rule::FillsFrom(_) | Rule::NeverFillFrom(_));
        let source = decision.source.filter(|_| is_about_fills);
        let request = decision.request - trace.judged_from + 1;
        let attempt = decision.attempt + 1;
        Some(Fault {
            object: Some(trace.object_of(decision)),
            server: source.or(Some(decision.server)),
            how: format!("{how} (request {request} attempt {attempt})"),
        })
    }

    fn wrong_source(&self, set: &[Selector], server: ServerId, source: Option<ServerId>) -> Option<String> {
        match source {
            Some(source) if self.is_in(set, source) => None,
            Some(source) => Some(self.filled_from(server, source)),
            None if self.member_is(server, Site::is_origin) => None,
            None => Some(format!("a miss at {} is filled from nowhere", self.site.describe(server))),
        }
    }

    fn wrong_answer(&self, wanted: Answer, trace: &Trace) -> Option<Fault> {
        let mut judged = trace.answers.iter().enumerate().skip(trace.judged_from);
        let (request, answer) = judged.find(|(_, answer)| **answer != Some(wanted))?;
        let decisions = trace.decisions.iter().filter(|decision| decision.request == request);
        let servers: Vec<ServerId> = decisions.map(|decision| decision.server).collect();
        let word = answer.map_or("not answered", Answer::word);
        let how = if servers.is_empty() {
            format!("it is {word}, and nobody is asked")
        } else {
            format!("it is {word} after {}", self.describe_all(&servers))
        };
        Some(Fault { object: Some(trace.objects[request]), server: None, how })
    }

    fn too_many_attempts(&self, most: u64, trace: &Trace) -> Option<Fault> {
        let decision = trace.judged().find(|decision| u64::from(decision.attempt) >= most)?;
        let server = self.site.describe(decision.server);
        Some(Fault {
            object: Some(trace.object_of(decision)),
            server: Some(decision.server),
            how: format!("attempt {} of one request goes to {server}", decision.attempt + 1),
        })
    }

    fn too_many_servers(&self, most: u64, trace: &Trace) -> Option<Fault> {
        let mut servers_by_object: BTreeMap<ObjectId, BTreeSet<ServerId>> = BTreeMap::new();
        for decision in trace.judged() {
            servers_by_object.entry(trace.object_of(decision)).or_default().insert(decision.server);
        }
        let mut objects = servers_by_object.into_iter();
        let (object, servers) = objects.find(|(_, servers)| servers.len() as u64 > most)?;
        let servers: Vec<ServerId> = servers.into_iter().collect();
        let names = self.describe_all(&servers);
        let how = format!("its requests go to {} servers: {names}", servers.len());
        Some(Fault { object: Some(object), server: None, how })
    }

    fn too_large_share(&self, most: f64, trace: &Trace) -> Option<Fault> {
        let homes = trace.homes_after();
        let mut counts: BTreeMap<ServerId, usize> = BTreeMap::new();
        for server in homes.values() {
            *counts.entry(*server).or_default() += 1;
        }
        let (server, count) = counts.into_iter().max_by_key(|(_, count)| *count)?;
        let share = count as f64 / homes.len() as f64;
        if share <= most {
            return None;
        }
        let name = self.site.describe(server);
        let how = format!("{name} is home to {count} of {} objects ({share:.3} of them)", homes.len());
        Some(Fault { object: None, server: Some(server), how })
    }

    fn too_many_moves(&self, most: f64, trace: &Trace) -> Option<Fault> {
        let after = trace.homes_after();
        let mut before = trace.homes_before();
        before.retain(|object, _| after.contains_key(object));
        let stays = |home: ServerId| after.values().any(|server| *server == home);
        let moved = before.iter().filter(|(object, home)| stays(**home) && after[*object] != **home);
        let moved: Vec<(&ObjectId, &ServerId)> = moved.collect();
        let (object, home) = moved.first()?;
        let share = moved.len() as f64 / before.len() as f64;
        if share <= most {
            return None;
        }
        let how = format!(
            "{} of {} objects leave a home that stays; this one goes from {} to {}",
            moved.len(),
            before.len(),
            self.site.describe(**home),
            self.site.describe(after[*object])
        );
        Some(Fault { object: Some(**object), server: Some(**home), how })
    }

    fn is_in(&self, set: &[Selector], server: ServerId) -> bool {
        let Some(member) = self.site.servers.get(&server) else { return false };
        set.iter().any(|selector| self.site.selects(selector, member, self.point))
    }

    /// Whether a request goes to one of these: one is asked, or the request is only carried to where it runs.
    fn reaches(&self, set: &[Selector], attempt: Attempt) -> bool {
        if self.is_in(set, attempt.server) {
            return true;
        }
        let never_cached = self.site.settings.classes[usize::from(self.class.0)].uncached;
        let is_upstream = |server: ServerId| self.member_is(server, |site, member| !site.is_cache(member));
        let is_carried = never_cached
            && attempt.rank == 0
            && (is_upstream(attempt.server) || attempt.source.is_some_and(is_upstream));
        is_carried && set.contains(&Selector::Origin)
    }

    fn member_is(&self, server: ServerId, property: impl Fn(&Site, &Endpoint) -> bool) -> bool {
        let member = self.site.servers.get(&server);
        member.is_some_and(|member| property(self.site, member))
    }

    fn goes_to(&self, server: ServerId) -> String {
        format!("it goes to {}", self.site.describe(server))
    }

    fn filled_from(&self, server: ServerId, source: ServerId) -> String {
        let server = self.site.describe(server);
        format!("a miss at {server} is filled from {}", self.site.describe(source))
    }

    fn kept_at(&self, server: ServerId, rank: u8) -> String {
        format!("a copy at {} is kept at rank {rank}", self.site.describe(server))
    }

    fn describe_all(&self, servers: &[ServerId]) -> String {
        let names: Vec<String> = servers.iter().map(|server| self.site.describe(*server)).collect();
        names.join(", ")
    }
}
