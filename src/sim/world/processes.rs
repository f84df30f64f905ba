//! The edge proxy's processes: started, given their turns, ended and killed.

use super::*;

impl World<'_> {
    /// Starts a process that knows all that was told so far.
    pub(super) fn start(&mut self) {
        self.processes += 1;
        let process = self.processes;
        let mut text = self.base.clone();
        text["seed"] = format!("{:016x}", self.seed.wrapping_mul(31).wrapping_add(u64::from(process))).into();
        text["known"] = json!({"n": self.feed.events.len(), "events": self.told(0)});
        self.fabric.start_process(process);
        if self.now < self.exhausted.1 {
            // It can't connect to the feed before.
            self.cut_feed(self.exhausted.1 + HEARD_AGAIN);
        }
        let started = Config::parse(text.to_string().as_bytes())
            .and_then(|config| Server::start_on(&self.fabric, process, config).map_err(|e| e.to_string()));
        match started {
            Ok(server) => drop(self.servers.insert(process, server)),
            Err(error) => self.rules.broken(self.now, "start", error),
        }
    }

    /// The events after the first `after`, as the edge proxy is told them.
    pub(super) fn told(&self, after: usize) -> Vec<Value> {
        let events = self.feed.events.iter().enumerate().skip(after);
        let deaf = |event: &Value| match self.sabotage {
            Some(Sabotage::DeafToDrains) => {
                event["members"]["hosts"][0]["health"].as_str().is_some_and(|health| health != "up")
            }
            Some(Sabotage::DeafToPurges) => event.get("purge").is_some(),
            _ => false,
        };
        let numbered = |(n, event): (usize, &Value)| {
            let mut event = if deaf(event) { json!({}) } else { event.clone() };
            event["n"] = (n + 1).into();
            event
        };
        events.map(numbered).collect()
    }

    /// By how much the clock of the processes' deadlines is ahead: not at all, but with the bug that says so.
    pub(super) fn ahead(&self) -> Span {
        match self.sabotage {
            Some(Sabotage::WallDeadlines) => self.fabric.wall_offset(),
            _ => Span::ZERO,
        }
    }

    /// Gives every process its turn, and lets those end that are done.
    pub(super) fn turn(&mut self, ready: &mut Vec<Ready>) {
        let mut ended = Vec::new();
        for (process, server) in &mut self.servers {
            if let Err(error) = server.turn(ready) {
                self.rules.broken(self.now, "poll", error.to_string());
            }
            let crate::server::ServerLoad { held_bytes: held, open_requests: open } = server.load();
            let most = (48.0e6 * 0.45) as usize;
            if held > most || open > 1000 {
                self.rules.broken(self.now, "memory", format!("{held} bytes and {open} requests are held"));
            }
            let sockets = self.fabric.held(*process);
            if sockets > 128 {
                self.rules.broken(self.now, "sockets", format!("{sockets} connections are held"));
            }
            if server.is_stopped() {
                ended.push(*process);
            } else if self.terminated.get(process).is_some_and(|at| *at + ENDED < self.now) {
                self.rules.broken(self.now, "not-stopped", format!("process {process} does not end"));
                ended.push(*process);
            }
        }
        for process in ended {
            if let Some(mut server) = self.servers.remove(&process) {
                server.finish();
                // Its ends close in order before the process is gone.
                drop(server);
            }
            self.gone(process);
        }
    }

    /// A process is gone: the others see it, and if there are none, one is started.
    pub(super) fn gone(&mut self, process: u32) {
        self.fabric.end_process(process);
        for other in self.servers.keys() {
            SIBLINGS.iter().for_each(|number| self.fabric.wake_source(*other, *number));
        }
        if self.servers.is_empty() && !self.over {
            self.schedule(self.now + RESTART, Event::Restart);
        }
    }

    pub(super) fn kill(&mut self, process: u32) {
        if let Some(server) = self.servers.remove(&process) {
            self.killed.insert(process);
            self.gone(process);
            drop(server);
        }
    }
}
