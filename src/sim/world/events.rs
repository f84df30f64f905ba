//! What is to happen at a time, besides what the network and the processes do by themselves.

use super::*;

/// A scheduled event.
pub(super) enum Event {
    Call(usize),
    Abort(usize, i32),
    Overdue(usize, i32),
    Answer(usize, u64, String),
    SecondAnswer(u64, Vec<u8>),
    PollEnds(u64),
    Fault(What),
    Back(usize),
    Die(usize),
    Settle(Option<String>, Instant),
    Terminate(u32),
    Kill(u32),
    Restart,
    TerminateAll,
    Look,
}

impl World<'_> {
    pub(super) fn schedule(&mut self, at: Instant, what: Event) {
        self.count += 1;
        self.agenda.insert((at, self.count), what);
    }

    pub(super) fn happen(&mut self, what: Event) {
        match what {
            Event::Call(call) => self.call(call, false),
            Event::Abort(client, seqid) => self.abort(client, seqid),
            Event::Overdue(client, seqid) => {
                if let Some(open) = self.clients[client].open.get(&seqid) {
                    let text = format!("{} got no answer", self.calls[open.call].trace);
                    self.rules.broken(self.now, "unanswered", text);
                }
            }
            Event::Answer(host, link, id) => self.answer(host, link, &id),
            Event::SecondAnswer(link, bytes) => self.fabric.send(link, &bytes),
            Event::PollEnds(link) => self.answer_poll(link),
            Event::Fault(what) => self.fault(what),
            Event::Back(host) => self.back(host),
            Event::Die(host) => self.die(host),
            Event::Settle(object, at) => {
                for host in &mut self.fleet.hosts {
                    let concerned = |item: &str| object.as_ref().is_none_or(|object| object == item);
                    host.copies.retain(|(item, _), born| *born >= at || !concerned(item));
                }
            }
            Event::Terminate(process) => {
                if let Some(server) = self.servers.get_mut(&process) {
                    self.terminated.entry(process).or_insert(self.now);
                    server.terminate();
                }
            }
            Event::Kill(process) => self.kill(process),
            Event::Restart => {
                if self.servers.is_empty() && !self.over {
                    self.start();
                }
            }
            Event::TerminateAll => {
                self.over = true;
                let all: Vec<u32> = self.servers.keys().copied().collect();
                all.into_iter().for_each(|process| self.happen(Event::Terminate(process)));
                self.schedule(self.now + ENDED + Span::from_secs(1), Event::Look);
            }
            Event::Look => {}
        }
    }
}
