//! The clients: what they ask, cancel and are answered.

use super::*;

impl World<'_> {
    pub(super) fn call(&mut self, number: usize, resent: bool) {
        if self.over {
            return;
        }
        let call = self.calls[number].clone();
        let link = match self.clients[call.client].link {
            Some(link) => link,
            None => {
                let from = SocketAddr::from(([127, 0, 2, call.client as u8 + 1], 40_000));
                let link = self.fabric.dial(from, address(FRONT));
                let client = &mut self.clients[call.client];
                (client.link, client.dialled, client.accepted_by) = (Some(link), self.now, self.now);
                self.accepted_later(call.client);
                link
            }
        };
        let client = &mut self.clients[call.client];
        client.seqid += 1;
        let seqid = client.seqid;
        let (patience, part, group) =
            (call.patience.as_millis().to_string(), call.part.to_string(), GROUP.to_string());
        let fields = [
            ("route", call.class),
            ("trace", &call.trace),
            ("patience", &patience),
            ("entity", &call.object),
            ("slice", &part),
            ("set", &group),
        ];
        let body: &[u8] = if call.class == "result" { b"won" } else { b"" };
        self.fabric.send(link, &thrift_client::invoke(seqid, &fields, body));
        let sent = self.now.max(client.accepted_by);
        client.open.insert(seqid, Open { call: number, written: self.now, sent, resent });
        self.schedule(self.now + call.patience + Span::from_secs(2), Event::Overdue(call.client, seqid));
        if let Some(after) = call.abort {
            self.schedule(self.now + after, Event::Abort(call.client, seqid));
        }
    }

    pub(super) fn abort(&mut self, number: usize, seqid: i32) {
        let client = &mut self.clients[number];
        let Some(link) = client.link else { return };
        let Some(open) = client.open.remove(&seqid) else { return };
        self.rules.client_left(self.now, &self.calls[open.call].trace);
        let client = &mut self.clients[number];
        client.aborted.insert(seqid);
        client.seqid += 1;
        let frame = thrift_client::abort(client.seqid, seqid);
        if self.sabotage != Some(Sabotage::DeafToClients) {
            self.fabric.send(link, &frame);
        }
        self.answers[3] += 1;
    }

    /// A client leaves with requests open; gives its connection.
    pub(super) fn client_leaves(&mut self, number: usize) -> Option<u64> {
        let client = &mut self.clients[number];
        let link = client.link?;
        let open = std::mem::take(&mut client.open);
        for open in open.values() {
            self.rules.client_left(self.now, &self.calls[open.call].trace);
        }
        self.answers[3] += open.len() as u64;
        if self.sabotage == Some(Sabotage::DeafToClients) {
            client.aborted.extend(open.into_keys());
            return None;
        }
        (client.link, client.input) = (None, Vec::new());
        client.aborted.clear();
        Some(link)
    }

    pub(super) fn client_got(&mut self, number: usize, bytes: &[u8]) {
        self.clients[number].input.extend_from_slice(bytes);
        loop {
            let got = match thrift_client::take_answer(&mut self.clients[number].input) {
                Ok(Some(got)) => got,
                Ok(None) => return,
                Err(error) => return self.rules.broken(self.now, "unreadable", error.to_owned()),
            };
            let client = &mut self.clients[number];
            let Some(open) = client.open.remove(&got.seqid) else {
                if !client.aborted.contains(&got.seqid) {
                    let text = format!("client {number} has a second answer to {}", got.seqid);
                    self.rules.broken(self.now, "second-answer", text);
                }
                continue;
            };
            let call = &self.calls[open.call];
            self.rules.answered(self.now, &call.trace, open.sent, call.patience);
            match got.kind {
                Answered::Served => {
                    self.answers[0] += 1;
                    let text = String::from_utf8_lossy(&got.body).into_owned();
                    let wanted = if call.class == "result" {
                        format!("done:{};", call.trace)
                    } else {
                        format!("{}:{}:", call.object, call.part)
                    };
                    let Some(rest) = text.strip_prefix(&wanted) else {
                        let text = format!("{} is served {:.60}, not {wanted}", call.trace, text);
                        self.rules.broken(self.now, "wrong-bytes", text);
                        continue;
                    };
                    let born =
                        rest.split(';').next().and_then(|born| born.parse().ok()).map(Instant::from_micros);
                    if let Some(born) = born.filter(|_| call.class != "result") {
                        self.rules.served(self.now, &call.object, born, open.sent);
                    }
                }
                Answered::Refused => {
                    self.answers[1] += 1;
                    let pause = got.fields.iter().find(|(name, _)| name == "pause");
                    let pause = pause.and_then(|(_, ms)| ms.parse::<i64>().ok()).unwrap_or(0);
                    let advised = self.base["settings"]["limits"]["retry_after"] == json!(true);
                    if (pause > 0) != advised {
                        let text = format!("{} is refused with {pause}, advised: {advised}", call.trace);
                        self.rules.broken(self.now, "no-pause", text);
                    }
                }
                Answered::Failed => self.answers[2] += 1,
            }
        }
    }

    /// A client's connection has ended: what is open there was taken and lost, unless something excuses it.
    pub(super) fn client_lost(&mut self, number: usize, link: u64) {
        let client = &mut self.clients[number];
        if client.link != Some(link) {
            return;
        }
        (client.link, client.input) = (None, Vec::new());
        let open = std::mem::take(&mut client.open);
        client.aborted.clear();
        let process = self.fabric.process_of(link).unwrap_or(0);
        let told_to_stop = self.terminated.get(&process).copied();
        for open in open.into_values() {
            let trace = self.calls[open.call].trace.clone();
            let nobody = process == 0 || self.killed.contains(&process);
            let after_term = told_to_stop.is_some_and(|at| open.written > at + TAKEN_AFTER_TERM - WAY);
            let crossed = open.written > self.now - 2 * WAY - Span::from_millis(50);
            self.answers[3] += 1;
            if nobody || after_term {
                continue;
            }
            if crossed && !open.resent {
                self.call(open.call, true);
            } else {
                self.rules.broken(self.now, "lost", format!("{trace} is open as its connection ends"));
            }
        }
    }
}
