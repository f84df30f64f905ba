//! Checks the traces of explorations against rules.

use super::decisions::{Decision, Trace};
use super::expectation::{Answer, Rule};
use super::selector::Selector;
use super::site::Site;
use crate::interface::{ClassId, Endpoint, ObjectId, ServerId, ZoneId};
use std::collections::{BTreeMap, BTreeSet};

/// A violation of a rule.
pub(super) struct Violation {
    /// The object that shows the violation; `None` if the rule is about the share of many objects.
    pub(super) object: Option<ObjectId>,
    /// The server that violates the rule, if the violation is about one server.
    pub(super) server: Option<ServerId>,
    /// What was decided against the rule, as the end of a sentence about the request.
    pub(super) description: String,
}

/// The parts of an attempt on which rules about servers or ranks depend.
#[derive(Clone, Copy)]
pub(super) struct Attempt {
    pub(super) server: ServerId,
    /// The server from which a miss is filled; `None` if a miss is not filled.
    pub(super) source: Option<ServerId>,
    /// The rank at which a copy is cached; 0: no copy is cached.
    pub(super) rank: u8,
}

impl From<&Decision> for Attempt {
    fn from(decision: &Decision) -> Self {
        Attempt { server: decision.server, source: decision.source, rank: decision.rank }
    }
}

/// Checks the requests of one point and class against rules.
pub(super) struct RuleChecker<'a> {
    pub(super) site: &'a Site,
    pub(super) point: ZoneId,
    pub(super) class: ClassId,
}

impl RuleChecker<'_> {
    /// Returns the first violation of a rule in an exploration.
    pub(super) fn violation(&self, rule: &Rule, trace: &Trace) -> Option<Violation> {
        match rule {
            Rule::Answer(expected) => self.wrong_answer(*expected, trace),
            Rule::MaxAttempts(max) => self.too_many_attempts(*max, trace),
            Rule::MaxCaches(max) => self.too_many_servers(*max, trace),
            Rule::MaxHomeShare(max) => self.too_large_share(*max, trace),
            Rule::MaxMigratedShare(max) => self.too_many_migrations(*max, trace),
            rule => trace.checked_decisions().find_map(|decision| self.wrong_decision(rule, trace, decision)),
        }
    }

    /// Returns how an attempt violates a rule about servers or ranks; `None` if it does not, or for any other
    /// rule.
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
            Rule::MinRank(min) if u64::from(rank) < *min => Some(self.cached_at(server, rank)),
            Rule::MaxRank(max) if u64::from(rank) > *max => Some(self.cached_at(server, rank)),
            _ => None,
        }
    }

    fn wrong_decision(&self, rule: &Rule, trace: &Trace, decision: &Decision) -> Option<Violation> {
        let description = self.wrong_attempt(rule, decision.into())?;
        let is_about_fills = matches!(rule, Rule::FillsFrom(_) | Rule::NeverFillFrom(_));
        let source = decision.source.filter(|_| is_about_fills);
        let request = decision.request - trace.first_checked + 1;
        let attempt = decision.attempt + 1;
        Some(Violation {
            object: Some(trace.object_of(decision)),
            server: source.or(Some(decision.server)),
            description: format!("{description} (request {request} attempt {attempt})"),
        })
    }

    fn wrong_source(&self, set: &[Selector], server: ServerId, source: Option<ServerId>) -> Option<String> {
        match source {
            Some(source) if self.is_in(set, source) => None,
            Some(source) => Some(self.filled_from(server, source)),
            None if self.server_is(server, Site::is_origin) => None,
            None => Some(format!("a miss at {} is not filled from any server", self.site.describe(server))),
        }
    }

    fn wrong_answer(&self, expected: Answer, trace: &Trace) -> Option<Violation> {
        let mut checked = trace.answers.iter().enumerate().skip(trace.first_checked);
        let (request, answer) = checked.find(|(_, answer)| **answer != Some(expected))?;
        let decisions = trace.decisions.iter().filter(|decision| decision.request == request);
        let servers: Vec<ServerId> = decisions.map(|decision| decision.server).collect();
        let answer = answer.map_or("not answered", Answer::name);
        let description = if servers.is_empty() {
            format!("it is {answer}, and no server gets an attempt")
        } else {
            format!("it is {answer} after {}", self.describe_all(&servers))
        };
        Some(Violation { object: Some(trace.objects[request]), server: None, description })
    }

    fn too_many_attempts(&self, max: u64, trace: &Trace) -> Option<Violation> {
        let decision = trace.checked_decisions().find(|decision| u64::from(decision.attempt) >= max)?;
        let server = self.site.describe(decision.server);
        Some(Violation {
            object: Some(trace.object_of(decision)),
            server: Some(decision.server),
            description: format!("attempt {} of one request goes to {server}", decision.attempt + 1),
        })
    }

    fn too_many_servers(&self, max: u64, trace: &Trace) -> Option<Violation> {
        let mut servers_by_object: BTreeMap<ObjectId, BTreeSet<ServerId>> = BTreeMap::new();
        for decision in trace.checked_decisions() {
            servers_by_object.entry(trace.object_of(decision)).or_default().insert(decision.server);
        }
        let mut objects = servers_by_object.into_iter();
        let (object, servers) = objects.find(|(_, servers)| servers.len() as u64 > max)?;
        let servers: Vec<ServerId> = servers.into_iter().collect();
        let names = self.describe_all(&servers);
        let description = format!("its requests go to {} servers: {names}", servers.len());
        Some(Violation { object: Some(object), server: None, description })
    }

    fn too_large_share(&self, max: f64, trace: &Trace) -> Option<Violation> {
        let homes = trace.homes_after();
        let mut counts: BTreeMap<ServerId, usize> = BTreeMap::new();
        for server in homes.values() {
            *counts.entry(*server).or_default() += 1;
        }
        let (server, count) = counts.into_iter().max_by_key(|(_, count)| *count)?;
        let share = count as f64 / homes.len() as f64;
        if share <= max {
            return None;
        }
        let name = self.site.describe(server);
        let description =
            format!("{name} is home to {count} of {} objects ({share:.3} of them)", homes.len());
        Some(Violation { object: None, server: Some(server), description })
    }

    fn too_many_migrations(&self, max: f64, trace: &Trace) -> Option<Violation> {
        let after = trace.homes_after();
        let mut before = trace.homes_before();
        before.retain(|object, _| after.contains_key(object));
        let is_still_home = |home: ServerId| after.values().any(|server| *server == home);
        let migrated =
            before.iter().filter(|(object, home)| is_still_home(**home) && after[*object] != **home);
        let migrated: Vec<(&ObjectId, &ServerId)> = migrated.collect();
        let (object, home) = migrated.first()?;
        let share = migrated.len() as f64 / before.len() as f64;
        if share <= max {
            return None;
        }
        let description = format!(
            "{} of {} objects leave a home that is still in use; this one moves from {} to {}",
            migrated.len(),
            before.len(),
            self.site.describe(**home),
            self.site.describe(after[*object])
        );
        Some(Violation { object: Some(**object), server: Some(**home), description })
    }

    fn is_in(&self, set: &[Selector], server: ServerId) -> bool {
        let Some(endpoint) = self.site.servers.get(&server) else { return false };
        set.iter().any(|selector| self.site.selects(selector, endpoint, self.point))
    }

    /// Whether an attempt goes to one of these servers. An attempt of an uncached class counts as going to
    /// the origin if its server or fill source is a parent or the origin and no copy is cached.
    fn reaches(&self, set: &[Selector], attempt: Attempt) -> bool {
        if self.is_in(set, attempt.server) {
            return true;
        }
        let never_cached = self.site.settings.classes[usize::from(self.class.0)].uncached;
        let is_upstream =
            |server: ServerId| self.server_is(server, |site, endpoint| !site.is_cache(endpoint));
        let passes_through = never_cached
            && attempt.rank == 0
            && (is_upstream(attempt.server) || attempt.source.is_some_and(is_upstream));
        passes_through && set.contains(&Selector::Origin)
    }

    fn server_is(&self, server: ServerId, property: impl Fn(&Site, &Endpoint) -> bool) -> bool {
        let endpoint = self.site.servers.get(&server);
        endpoint.is_some_and(|endpoint| property(self.site, endpoint))
    }

    fn goes_to(&self, server: ServerId) -> String {
        format!("it goes to {}", self.site.describe(server))
    }

    fn filled_from(&self, server: ServerId, source: ServerId) -> String {
        let server = self.site.describe(server);
        format!("a miss at {server} is filled from {}", self.site.describe(source))
    }

    fn cached_at(&self, server: ServerId, rank: u8) -> String {
        format!("a copy at {} is cached at rank {rank}", self.site.describe(server))
    }

    fn describe_all(&self, servers: &[ServerId]) -> String {
        let names: Vec<String> = servers.iter().map(|server| self.site.describe(*server)).collect();
        names.join(", ")
    }
}
