//! Faults as they happen.

use super::*;
use crate::sim::system_error::SystemError;

impl World<'_> {
    pub(super) fn fault(&mut self, what: What) {
        self.fabric.note(serde_json::to_string(&what).unwrap_or_default());
        match what {
            What::Silent { host, ms } => {
                if !self.fleet.hosts[host].dead {
                    let until = self.now + Span::from_millis(ms);
                    self.fabric.set_reach(address(host as u16), HostBehaviour::SilentUntil(until));
                }
            }
            What::Killed { host, ms } => {
                self.die(host);
                self.schedule(self.now + Span::from_millis(ms), Event::Back(host));
            }
            What::Reset { host } => self.break_links(host),
            What::Slow { host, times, ms } => {
                self.fleet.hosts[host].slow = (times, self.now + Span::from_millis(ms))
            }
            What::Errors { host, ms } => self.fleet.hosts[host].errors = self.now + Span::from_millis(ms),
            What::Garbled { host } => self.fleet.hosts[host].garbled = true,
            What::Drained { host } => {
                let told = self.tell_health(host, "draining");
                self.rules.left(host, told);
            }
            What::Removed { host } => {
                let told = self.tell_health(host, "removed");
                self.rules.left(host, told);
                self.schedule(self.now + Span::from_secs(1), Event::Die(host));
            }
            What::Ready { host } => {
                if self.fleet.hosts[host].dead {
                    self.back(host);
                }
                self.rules.came(host);
                self.tell_health(host, "up");
            }
            What::PurgeObject { object } => self.purge(Some(format!("{:016x}", 0xab00 + object))),
            What::PurgeGroup => self.purge(None),
            What::FeedSilent { ms } => {
                let until = self.now + Span::from_millis(ms);
                self.fabric.set_reach(address(FEED), HostBehaviour::SilentUntil(until));
                self.cut_feed(until + HEARD_AGAIN);
            }
            What::FeedReset => {
                for link in std::mem::take(&mut self.feed.links).into_keys() {
                    self.fabric.reset(link);
                }
                self.feed.polls.clear();
                self.cut_feed(self.now + HEARD_AGAIN);
            }
            What::ClientGone { client } => {
                if let Some(link) = self.client_leaves(client) {
                    self.fabric.reset(link);
                }
            }
            What::ClientCloses { client } => {
                if let Some(link) = self.client_leaves(client) {
                    self.fabric.close(link);
                }
            }
            What::SlowDials { host, late_ms, ms } => {
                let until = self.now + Span::from_millis(ms);
                self.fabric.delay_dials(address(host as u16), Span::from_millis(late_ms), until);
            }
            What::ClosesIdle { host: number } => {
                let host = &self.fleet.hosts[number];
                let is_open = |link: &u64| host.open.keys().any(|(on, _)| on == link);
                let idle: Vec<u64> = host.links.keys().copied().filter(|link| !is_open(link)).collect();
                for link in idle {
                    // What crosses the end is not looked at.
                    self.fleet.hosts[number].links.remove(&link);
                    self.fabric.close(link);
                }
            }
            What::AnswersTwice { host } => self.fleet.hosts[host].twice = true,
            What::PollsLost => {
                self.feed.polls.clear();
                self.cut_feed(self.now + HEARD_AGAIN);
            }
            What::WholeList => {
                let hosts: Vec<Value> = self.fleet.hosts.iter().map(|host| host.entry.clone()).collect();
                self.tell(json!({"members": {"seq": 0, "whole": true, "hosts": hosts}}));
            }
            What::Stop => {
                let all: Vec<u32> = self.servers.keys().copied().collect();
                all.into_iter().for_each(|process| self.happen(Event::Terminate(process)));
            }
            What::Upgrade => drop(self.upgrade()),
            What::UpgradeDies { ms } => {
                if let Some(newer) = self.upgrade() {
                    self.schedule(self.now + Span::from_millis(ms), Event::Kill(newer));
                }
            }
            What::Crash => {
                let all: Vec<u32> = self.servers.keys().copied().collect();
                all.into_iter().for_each(|process| self.kill(process));
            }
            What::ClockStep { ms } => self.fabric.step_wall_clock(Span::from_millis(ms)),
            What::AcceptFails { error, times } => {
                for port in 0..times {
                    let from = SocketAddr::from(([127, 0, 3, 1], 40_000 + port as u16));
                    self.fabric.dial_aborted(from, address(FRONT), error.errno());
                }
            }
            What::Exhausted { error, ms } => self.exhaust(error, self.now + Span::from_millis(ms)),
            What::ConnectFails { host, error, at_once, ms } => {
                let until = self.now + Span::from_millis(ms);
                self.fabric.fail_connects(address(host as u16), error.errno(), at_once, until);
            }
            What::LinksFail { host, error } => {
                let broken = std::mem::take(&mut self.fleet.hosts[host].links);
                broken.into_keys().for_each(|link| self.fabric.fail(link, error.errno()));
                self.fleet.hosts[host].open.clear();
            }
            What::ShortIo { bytes, ms } => self.fabric.shorten(bytes, self.now + Span::from_millis(ms)),
            What::Interrupted { ms } => self.fabric.interrupt(self.now + Span::from_millis(ms)),
        }
    }

    /// No process gets a descriptor until then: what connects meanwhile is accepted afterwards, and a feed that is cut
    /// off is heard again later.
    fn exhaust(&mut self, error: SystemError, until: Instant) {
        self.fabric.exhaust(error.errno(), until);
        let since = if self.exhausted.1 < self.now { self.now } else { self.exhausted.0 };
        self.exhausted = (since, until);
        if self.now < self.feed.cut_until {
            self.cut_feed(until + HEARD_AGAIN);
        }
        for number in 0..self.clients.len() {
            self.accepted_later(number);
        }
    }

    /// A client that connects while there are no descriptors is accepted once there are.
    pub(super) fn accepted_later(&mut self, number: usize) {
        let (since, until) = self.exhausted;
        let client = &mut self.clients[number];
        if client.link.is_none() || client.dialled + WAY < since || until + ACCEPTED_AGAIN < client.dialled {
            return;
        }
        client.accepted_by = client.accepted_by.max(until + ACCEPTED_AGAIN);
        for open in client.open.values_mut() {
            open.sent = open.sent.max(client.accepted_by);
        }
    }

    /// Starts a newer process beside the one that serves, which is soon told to stop; gives the newer one.
    pub(super) fn upgrade(&mut self) -> Option<u32> {
        if self.over || self.servers.len() != 1 {
            return None;
        }
        let older = *self.servers.keys().next()?;
        self.start();
        self.schedule(self.now + OVERLAP, Event::Terminate(older));
        Some(self.processes)
    }

    pub(super) fn purge(&mut self, object: Option<String>) {
        let (at_ms, grace) = (unix_ms(self.now), Span::from_millis(500));
        let at = Instant::from_micros(at_ms * 1000);
        let what = match &object {
            Some(object) => json!({"key": object, "at": at_ms}),
            None => json!({"group": GROUP, "at": at_ms}),
        };
        let told = self.tell(json!({"purge": what}));
        for n in 0..self.plan.objects {
            let name = format!("{:016x}", 0xab00 + n);
            if object.as_ref().is_none_or(|object| *object == name) {
                self.rules.purged(&name, at, told, grace);
            }
        }
        let settles = self.base["settings"]["domain"]["purge_settles"].as_f64().unwrap_or(6000.0);
        self.schedule(self.now + Span::from_micros_f64(settles * 1000.0), Event::Settle(object, at));
    }

    pub(super) fn break_links(&mut self, host: usize) {
        let broken = std::mem::take(&mut self.fleet.hosts[host].links);
        broken.into_keys().for_each(|link| self.fabric.reset(link));
        self.fleet.hosts[host].open.clear();
    }

    pub(super) fn die(&mut self, host: usize) {
        self.break_links(host);
        self.fleet.hosts[host].copies.clear();
        self.fleet.hosts[host].dead = true;
        self.fabric.set_reach(address(host as u16), HostBehaviour::Refusing);
    }

    pub(super) fn back(&mut self, host: usize) {
        let one = &mut self.fleet.hosts[host];
        if !one.dead || one.entry["health"] == "removed" && one.born.is_none_or(|born| born == self.now) {
            return;
        }
        (one.dead, one.born) = (false, Some(self.now));
        one.sends.clear();
        one.entry["born_ms"] = unix_ms(self.now).into();
        self.fabric.set_reach(address(host as u16), HostBehaviour::Up);
        if one.entry["health"] == "up" && one.tier != Tier::Origin {
            self.tell_health(host, "up");
        }
    }
}
