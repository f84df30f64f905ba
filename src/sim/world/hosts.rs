//! The caches, parents and the origin: what they are sent and answer.

use super::*;

/// A second answer comes this long after the first.
const SECOND_ANSWER: Span = Span::from_millis(8);

impl World<'_> {
    pub(super) fn host_got(&mut self, number: usize, link: u64, bytes: &[u8], sent: Instant) {
        let host = &mut self.fleet.hosts[number];
        let Some((input, began)) = host.links.get_mut(&link).filter(|_| !host.dead) else { return };
        // What is left of the piece before began with it.
        let first = if input.is_empty() { sent } else { *began };
        *began = sent;
        input.extend_from_slice(bytes);
        let lines = match lines(input) {
            Ok(lines) => lines,
            Err(error) => return self.rules.broken(self.now, "host-protocol", error),
        };
        for line in lines {
            match line {
                Line::Fetch(fetch) => self.fetched(number, link, fetch, first),
                Line::Abort(id) => drop(self.fleet.hosts[number].open.remove(&(link, id))),
                Line::Probe(tag) => self.fabric.send(link, &answer(&tag, "status", "", b"")),
            }
        }
    }

    pub(super) fn fetched(&mut self, number: usize, link: u64, fetch: Fetch, sent: Instant) {
        let is_result = fetch.class == "result";
        let name = self.fleet.hosts[number].name.clone();
        self.rules.fetched(self.now, sent, (number, &name), link, &fetch.id, is_result);
        if self.fleet.hosts[number].open.contains_key(&(link, fetch.id.clone())) {
            self.rules.broken(self.now, "same-id", format!("{} comes twice on one connection", fetch.id));
        }
        self.cold(number);
        let mut after = self.service(number);
        if is_result || self.fleet.hosts[number].holds(&fetch, self.now).is_none() {
            if let Some(source) = fetch.from.as_ref().and_then(|from| self.fleet.named(from)) {
                after += if self.is_there(source) { self.service(source) } else { SOURCE_LOST };
            }
        }
        let id = fetch.id.clone();
        self.fleet.hosts[number].open.insert((link, id.clone()), fetch);
        self.schedule(self.now + after, Event::Answer(number, link, id));
    }

    /// A cold host falls over if it is sent more than its rule allows; what one request costs is taken as 20 ms.
    pub(super) fn cold(&mut self, number: usize) {
        let (now, rules) = (self.now, &self.base["settings"]["rules"]);
        let figure = |name: &str| rules[name].as_f64().unwrap_or(0.0);
        let host = &mut self.fleet.hosts[number];
        let Some(born) =
            host.born.filter(|born| now - *born < Span::from_micros_f64(figure("warm_after") * 1000.0))
        else {
            return;
        };
        let part = (now - born).as_micros_f64() / (figure("warm_after") * 1000.0);
        let warmth = figure("cold_share") + (1.0 - figure("cold_share")) * part;
        let span = Span::from_micros_f64(figure("overload_for") * 1000.0);
        host.sends.retain(|at| *at > now - span);
        host.sends.push(now);
        let most = figure("fall_multiple") * warmth * host.link * span.as_micros_f64() / 1e6;
        let work = host.sends.len() as f64 * 0.02;
        if work > most {
            let text =
                format!("{} is sent {work:.2} s of work in {} us, of {most:.2}", host.name, span.as_micros());
            self.rules.broken(now, "cold", text);
        }
    }

    pub(super) fn service(&mut self, number: usize) -> Span {
        let usual = Span::from_millis(self.random.random_range(2..=12));
        let (times, until) = self.fleet.hosts[number].slow;
        if until > self.now {
            usual * times
        } else {
            usual
        }
    }

    /// Whether another host reaches it.
    pub(super) fn is_there(&self, number: usize) -> bool {
        is_there(&self.fabric, self.now, &self.fleet, number)
    }

    pub(super) fn answer(&mut self, number: usize, link: u64, id: &str) {
        let Some(fetch) = self.fleet.hosts[number].open.remove(&(link, id.to_owned())) else { return };
        if self.fleet.hosts[number].dead {
            return;
        }
        if std::mem::take(&mut self.fleet.hosts[number].garbled) {
            return self.fabric.send(link, b"no line of the protocol at all\r\n");
        }
        let (fabric, now) = (self.fabric.clone(), self.now);
        let is_there = |fleet: &Fleet, host: usize| is_there(&fabric, now, fleet, host);
        let (word, fields, body) = self.fleet.outcome(number, &fetch, now, &is_there);
        if matches!(word, "404" | "503" | "504") {
            self.rules.never_ran(number, link, id);
        }
        let answer = answer(id, word, &fields, &body);
        self.fabric.send(link, &answer);
        if std::mem::take(&mut self.fleet.hosts[number].twice) {
            self.schedule(self.now + SECOND_ANSWER, Event::SecondAnswer(link, answer));
        }
    }
}
