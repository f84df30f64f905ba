//! The edge proxy's processes: started, given their turns, ended and killed.

use super::agenda::ScheduledEvent;
use super::process_id::ProcessId;
use super::{Sabotage, World};
use crate::config::Config;
use crate::interface::{Instant, Span};
use crate::net::Ready;
use crate::server::{ResourceUsage, Server, SIBLING_EVENT_SOURCES};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// A process has ended this long after SIGTERM.
pub(super) const MAX_SHUTDOWN: Span = Span::from_secs(31);
/// A killed process is started anew after this.
const RESTART_DELAY: Span = Span::from_millis(200);
/// A newer process runs this long before the older one gets SIGTERM.
const UPGRADE_OVERLAP: Span = Span::from_millis(300);
/// The most bytes, requests and connections that a process may hold.
const MAX_HELD_BYTES: usize = 21_600_000;
const MAX_OPEN_REQUESTS: usize = 1000;
const MAX_SOCKETS: usize = 128;
/// Spreads the seeds of runs, so that their processes' seeds do not meet.
const SEED_FACTOR: u64 = 31;

/// The running processes, and what became of the others.
#[derive(Default)]
pub(super) struct Processes {
    running: BTreeMap<ProcessId, Server>,
    started: u32,
    /// When each got SIGTERM.
    terminated: BTreeMap<ProcessId, Instant>,
    killed: BTreeSet<ProcessId>,
}

impl Processes {
    /// The number of processes started so far.
    pub(super) fn started(&self) -> u32 {
        self.started
    }

    /// Whether none is running.
    pub(super) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// The earliest deadline of any process.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.running.values().filter_map(Server::next_due).min()
    }

    pub(super) fn was_killed(&self, process: ProcessId) -> bool {
        self.killed.contains(&process)
    }

    pub(super) fn terminated_at(&self, process: ProcessId) -> Option<Instant> {
        self.terminated.get(&process).copied()
    }

    /// Sends SIGTERM to a process, if it is running.
    pub(super) fn terminate(&mut self, process: ProcessId, now: Instant) {
        if let Some(server) = self.running.get_mut(&process) {
            self.terminated.entry(process).or_insert(now);
            server.terminate();
        }
    }

    /// Sends SIGTERM to all running processes.
    pub(super) fn terminate_all(&mut self, now: Instant) {
        for process in self.ids() {
            self.terminate(process, now);
        }
    }

    fn ids(&self) -> Vec<ProcessId> {
        self.running.keys().copied().collect()
    }

    /// The running process, if it is the only one.
    fn only(&self) -> Option<ProcessId> {
        let mut ids = self.running.keys().copied();
        ids.next().filter(|_| ids.next().is_none())
    }

    fn next_id(&mut self) -> ProcessId {
        self.started += 1;
        ProcessId(self.started)
    }
}

impl World<'_> {
    /// Starts a process that knows all events so far.
    pub(super) fn start_process(&mut self) -> ProcessId {
        let process = self.processes.next_id();
        let config = self.config_of(process);
        self.fabric.start_process(process.0);
        if self.now < self.descriptor_shortage.until {
            // It can't connect to the feed before.
            self.cut_feed(self.descriptor_shortage.until);
        }
        let parsed = Config::parse(config.to_string().as_bytes()).map_err(|error| error.to_string());
        let started = parsed.and_then(|config| {
            Server::start_on(&self.fabric, process.0, config).map_err(|error| error.to_string())
        });
        match started {
            Ok(server) => drop(self.processes.running.insert(process, server)),
            Err(error) => self.rules.breach(self.now, "start", error),
        }
        process
    }

    fn config_of(&self, process: ProcessId) -> Value {
        let seed = self.seed.wrapping_mul(SEED_FACTOR).wrapping_add(u64::from(process.0));
        let mut config = self.base_config.clone();
        config["seed"] = format!("{seed:016x}").into();
        config["known"] = self.events_after(0);
        config
    }

    /// How far the clock of the processes' deadlines is ahead; zero, but for the planted bug.
    pub(super) fn deadline_clock_lead(&self) -> Span {
        match self.sabotage {
            Some(Sabotage::WallDeadlines) => self.fabric.wall_offset(),
            _ => Span::ZERO,
        }
    }

    /// Gives every process its turn, and ends those that have stopped.
    pub(super) fn turn_processes(&mut self, ready: &mut Vec<Ready>) {
        let mut stopped = Vec::new();
        for process in self.processes.ids() {
            if let Some(server) = self.processes.running.get_mut(&process) {
                if let Err(error) = server.turn(ready) {
                    self.rules.breach(self.now, "poll", error.to_string());
                }
            }
            self.check_bounds(process);
            if self.is_stopped(process) {
                stopped.push(process);
            }
        }
        for process in stopped {
            if let Some(mut server) = self.processes.running.remove(&process) {
                server.finish();
                // Its connections close in order before the process is gone.
                drop(server);
            }
            self.process_ended(process);
        }
    }

    /// Checks that a process holds no more than it may.
    fn check_bounds(&mut self, process: ProcessId) {
        let Some(server) = self.processes.running.get(&process) else { return };
        let ResourceUsage { held_bytes, open_requests } = server.resource_usage();
        if held_bytes > MAX_HELD_BYTES || open_requests > MAX_OPEN_REQUESTS {
            let text = format!("{held_bytes} bytes and {open_requests} requests are held");
            self.rules.breach(self.now, "memory", text);
        }
        let sockets = self.fabric.connection_count(process.0);
        if sockets > MAX_SOCKETS {
            self.rules.breach(self.now, "sockets", format!("{sockets} connections are held"));
        }
    }

    /// Whether a process has stopped, or should have.
    fn is_stopped(&mut self, process: ProcessId) -> bool {
        if self.processes.running.get(&process).is_some_and(Server::is_stopped) {
            return true;
        }
        let terminated_at = self.processes.terminated_at(process);
        let is_late = terminated_at.is_some_and(|at| at + MAX_SHUTDOWN < self.now);
        if is_late {
            let text = format!("process {} does not end", process.0);
            self.rules.breach(self.now, "not-stopped", text);
        }
        is_late
    }

    /// A process has ended: the others notice, and if there are none, one is started.
    fn process_ended(&mut self, process: ProcessId) {
        self.fabric.end_process(process.0);
        for other in self.processes.running.keys() {
            for number in SIBLING_EVENT_SOURCES {
                self.fabric.mark_source_ready(other.0, number);
            }
        }
        if self.processes.is_empty() && !self.is_ending {
            self.schedule_in(RESTART_DELAY, ScheduledEvent::StartProcess);
        }
    }

    /// Kills a process, if it is running.
    pub(super) fn kill_process(&mut self, process: ProcessId) {
        if let Some(server) = self.processes.running.remove(&process) {
            self.processes.killed.insert(process);
            self.process_ended(process);
            drop(server);
        }
    }

    /// Kills all running processes.
    pub(super) fn kill_all_processes(&mut self) {
        for process in self.processes.ids() {
            self.kill_process(process);
        }
    }

    /// Starts a newer process beside the one that runs, which then gets SIGTERM; returns the newer one.
    pub(super) fn upgrade(&mut self) -> Option<ProcessId> {
        let older = self.processes.only().filter(|_| !self.is_ending)?;
        let newer = self.start_process();
        self.schedule_in(UPGRADE_OVERLAP, ScheduledEvent::Terminate(older));
        Some(newer)
    }

    /// An upgrade whose newer process is killed.
    pub(super) fn upgrade_that_dies(&mut self, at: Instant) {
        if let Some(newer) = self.upgrade() {
            self.agenda.schedule(at, ScheduledEvent::Kill(newer));
        }
    }
}
