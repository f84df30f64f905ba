//! Processes of the edge proxy: starts them, runs them step by step, terminates and kills them.

use super::event_queue::ScheduledEvent;
use super::process_id::ProcessId;
use super::{PlantedBug, World};
use crate::config::Config;
use crate::interface::{Instant, Span};
use crate::net::Ready;
use crate::server::{ResourceUsage, Server, SIBLING_EVENT_SOURCES};
use serde_json::Value;
use std::collections::{BTreeMap, BTreeSet};

/// Time within which a process must have ended after SIGTERM.
pub(super) const MAX_SHUTDOWN: Span = Span::from_secs(31);
/// Time after which a new process is started when none is left.
const RESTART_DELAY: Span = Span::from_millis(200);
/// Time that a newer process runs in an upgrade before the older one gets SIGTERM.
const UPGRADE_OVERLAP: Span = Span::from_millis(300);
/// Largest numbers of bytes, requests and connections that a process may hold.
const MAX_HELD_BYTES: usize = 21_600_000;
const MAX_OPEN_REQUESTS: usize = 1000;
const MAX_SOCKETS: usize = 128;
/// Factor between the seed of a run and those of its processes, so that processes of neighbouring runs have
/// different seeds.
const SEED_FACTOR: u64 = 31;

/// Running processes, and the records of terminated and killed ones.
#[derive(Default)]
pub(super) struct Processes {
    running: BTreeMap<ProcessId, Server>,
    started: u32,
    /// When each process got SIGTERM.
    terminated: BTreeMap<ProcessId, Instant>,
    killed: BTreeSet<ProcessId>,
}

impl Processes {
    /// Returns the number of processes started so far.
    pub(super) fn started(&self) -> u32 {
        self.started
    }

    /// Whether no process is running.
    pub(super) fn is_empty(&self) -> bool {
        self.running.is_empty()
    }

    /// Returns the earliest deadline of the running processes.
    pub(super) fn next_deadline(&self) -> Option<Instant> {
        self.running.values().filter_map(Server::next_due).min()
    }

    pub(super) fn was_killed(&self, process: ProcessId) -> bool {
        self.killed.contains(&process)
    }

    pub(super) fn terminated_at(&self, process: ProcessId) -> Option<Instant> {
        self.terminated.get(&process).copied()
    }

    /// Sends SIGTERM to a process if it is running.
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

    /// Returns the running process if there is exactly one.
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
    /// Starts a process whose configuration holds all events so far.
    pub(super) fn start_process(&mut self) -> ProcessId {
        let process = self.processes.next_id();
        let config = self.config_of(process);
        self.fabric.start_process(process.0);
        if self.now < self.descriptor_shortage.until {
            // Without descriptors the process cannot connect to the feed earlier.
            self.cut_feed(self.descriptor_shortage.until);
        }
        let parsed = Config::parse(config.to_string().as_bytes()).map_err(|error| error.to_string());
        let started = parsed.and_then(|config| {
            Server::start_on(&self.fabric, process.0, config).map_err(|error| error.to_string())
        });
        match started {
            Ok(server) => drop(self.processes.running.insert(process, server)),
            Err(error) => self.rules.record_breach(self.now, "start", error),
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

    /// Returns how far the clock of the processes' deadlines is ahead of the virtual clock: zero without the
    /// planted bug.
    pub(super) fn deadline_clock_lead(&self) -> Span {
        match self.planted_bug {
            Some(PlantedBug::WallDeadlines) => self.fabric.wall_offset(),
            _ => Span::ZERO,
        }
    }

    /// Runs one turn of every process's event loop, and ends the processes that have stopped.
    pub(super) fn turn_processes(&mut self, ready: &mut Vec<Ready>) {
        let mut stopped = Vec::new();
        for process in self.processes.ids() {
            if let Some(server) = self.processes.running.get_mut(&process) {
                if let Err(error) = server.turn(ready) {
                    self.rules.record_breach(self.now, "poll", error.to_string());
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
                // Dropping the server closes its connections before the network breaks those of the ended
                // process.
                drop(server);
            }
            self.process_ended(process);
        }
    }

    /// Checks that a process holds no more bytes, requests and connections than its bounds.
    fn check_bounds(&mut self, process: ProcessId) {
        let Some(server) = self.processes.running.get(&process) else { return };
        let ResourceUsage { held_bytes, open_requests } = server.resource_usage();
        if held_bytes > MAX_HELD_BYTES || open_requests > MAX_OPEN_REQUESTS {
            let text = format!("{held_bytes} bytes and {open_requests} requests are held");
            self.rules.record_breach(self.now, "memory", text);
        }
        let sockets = self.fabric.connection_count(process.0);
        if sockets > MAX_SOCKETS {
            self.rules.record_breach(self.now, "sockets", format!("{sockets} connections are held"));
        }
    }

    /// Whether a process has stopped, or must be ended since it has not stopped in time (a breach).
    fn is_stopped(&mut self, process: ProcessId) -> bool {
        if self.processes.running.get(&process).is_some_and(Server::is_stopped) {
            return true;
        }
        let terminated_at = self.processes.terminated_at(process);
        let is_late = terminated_at.is_some_and(|at| at + MAX_SHUTDOWN < self.now);
        if is_late {
            let text = format!("process {} does not end", process.0);
            self.rules.record_breach(self.now, "not-stopped", text);
        }
        is_late
    }

    /// Ends a process on the network, signals that to the other processes, and schedules a start if none is
    /// left.
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

    /// Kills a process if it is running: its connections break.
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

    /// Starts an upgrade: starts a newer process, and schedules SIGTERM for the older one. Returns the newer
    /// one; `None` if not exactly one process is running or the run is ending.
    pub(super) fn upgrade(&mut self) -> Option<ProcessId> {
        let older = self.processes.only().filter(|_| !self.is_ending)?;
        let newer = self.start_process();
        self.schedule_in(UPGRADE_OVERLAP, ScheduledEvent::Terminate(older));
        Some(newer)
    }

    /// Starts an upgrade, and schedules that its newer process is killed at a time.
    pub(super) fn upgrade_and_kill_newer(&mut self, at: Instant) {
        if let Some(newer) = self.upgrade() {
            self.event_queue.schedule(at, ScheduledEvent::Kill(newer));
        }
    }
}
