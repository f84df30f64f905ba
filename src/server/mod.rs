//! The edge proxy: one event loop over sockets, deadlines and the core's commands. It connects the fronts,
//! the upstream side and the control feed with the core. Decisions about requests are made by the policy.
//!
//! One iteration of the loop is [`Server::turn`]. It passes what is ready to these modules:
//!
//! - `turn_time`: limits the time of an iteration, and reads from queued connections.
//! - `requests`, with `thrift_requests` and `signed_requests`: clients' requests and their answers.
//! - `commands`: the exchange between the core and the upstream side; `attempt_encoder` encodes attempts for
//!   the servers' protocol.
//! - `endpoint_list`: watch events of the control feed; `unix_time` converts the times in them.
//! - `acceptor`: new connections, with `admission` (which are admitted), `refused_connections` and
//!   `eviction`.
//! - `admin_calls` and `metrics`: operators' calls.
//! - `reload`: a new configuration. `shutdown`: the graceful shutdown, with its times in `shutdown_schedule`.
//! - `connection_handover`: connections that are handed over between processes; `handover` communicates with
//!   the other process.
//!
//! The server's state is in modules that do not depend on [`Server`]: `active_config`, `budget`, `lifecycle`,
//! `listeners`, `pending`, `used_trace_ids`, `signed_endpoint`, `federation`. `translate` converts protocol messages to types
//! of the core and back; `event_source`, `deadline` and `precedence` are types of the loop; `start` builds
//! the server; `error` has its errors; `resource_usage` is checked against the limits by the simulator.

mod acceptor;
mod active_config;
mod admin_calls;
mod admission;
mod attempt_encoder;
mod budget;
mod commands;
mod connection_handover;
mod deadline;
mod endpoint_list;
mod error;
mod event_source;
mod eviction;
mod federation;
mod handover;
mod lifecycle;
mod listeners;
mod metrics;
mod pending;
mod precedence;
mod refused_connections;
mod reload;
mod requests;
mod resource_usage;
mod shutdown;
mod shutdown_schedule;
mod signed_endpoint;
mod signed_requests;
#[cfg(test)]
mod simulated_server;
mod start;
mod thrift_requests;
mod translate;
mod turn_time;
mod unix_time;
mod used_trace_ids;

use crate::core::Core;
use crate::deadlines::Deadlines;
use crate::feed::Feed;
use crate::front::admin::AdminFront;
use crate::front::thrift::ThriftFront;
use crate::interface::Instant;
use crate::net::{Clock, Net, Ready};
use crate::upstream::Upstream;
use acceptor::AcceptTimer;
use active_config::ActiveConfig;
use admission::AdmissionControl;
use budget::ResourceBudget;
use deadline::ServerDeadline;
use endpoint_list::EndpointRegistry;
pub use error::ServerError;
use event_source::EventSource;
use federation::FederationHandle;
use handover::Handover;
use lifecycle::Phase;
use listeners::Listeners;
use pending::PendingRequests;
use reload::ReloadCounters;
pub use resource_usage::ResourceUsage;
use signal_hook::consts::signal::SIGHUP;
use signal_hook_mio::v1_0::Signals;
use signed_endpoint::SignedEndpoint;
pub use signed_endpoint::{route_classes, RouteClass};
use turn_time::ReadSide;
use used_trace_ids::UsedTraceIds;

/// The numbers of the event sources with which the processes of one edge proxy watch each other. The
/// simulator wakes these sources when a process ends.
pub const SIBLING_EVENT_SOURCES: [usize; 2] =
    [EventSource::OlderProcess.number(), EventSource::NewerProcess.number()];

/// The edge proxy: its event loop with all state.
pub struct Server {
    clock: Clock,
    now: Instant,
    net: Net,
    deadlines: Deadlines<ServerDeadline>,
    /// `None` in the simulator, which calls the handlers itself.
    signals: Option<Signals>,
    core: Core,
    endpoints: EndpointRegistry,
    upstream: Upstream,
    feed: Feed,
    thrift: ThriftFront,
    signed: Option<SignedEndpoint>,
    admin: Option<AdminFront>,
    config: ActiveConfig,
    budget: ResourceBudget,
    reloads: ReloadCounters,
    federation: FederationHandle,
    handover: Handover,
    phase: Phase,
    pending: PendingRequests,
    used_trace_ids: UsedTraceIds,
    listeners: Listeners,
    accept_timer: AcceptTimer,
    admission: AdmissionControl,
}

impl Server {
    /// Runs the event loop until a signal to stop has come and the shutdown is complete.
    ///
    /// # Errors
    ///
    /// Returns an error if waiting for events failed.
    pub fn run(&mut self) -> Result<(), ServerError> {
        let mut ready = Vec::new();
        while !self.phase.is_stopped() {
            self.turn(&mut ready)?;
        }
        self.finish();
        Ok(())
    }

    /// Returns when the next turn is due even if no event comes; `None` if only an event makes one due.
    pub fn next_due(&self) -> Option<Instant> {
        if self.connections_with_unread_requests() + self.queued_reads(ReadSide::Upstream) > 0 {
            Some(self.now)
        } else {
            self.deadlines.next()
        }
    }

    /// Waits for events or the next deadline, and handles everything that is ready. `ready` is a buffer that
    /// is reused between turns.
    ///
    /// # Errors
    ///
    /// Returns an error if waiting for events failed.
    pub fn turn(&mut self, ready: &mut Vec<Ready>) -> Result<(), ServerError> {
        self.now = self.clock.now();
        let wait = self.next_due().map(|at| (at - self.now).to_std());
        self.net.poll(wait, ready)?;
        self.now = self.clock.now();
        ready.sort_by_key(|event| self.precedence(*event));
        self.handle_events(ready);
        while let Some(deadline) = self.deadlines.pop(self.now) {
            self.on_deadline(deadline);
            self.process_commands();
        }
        self.resume_waiting_for_memory();
        self.read_queued_connections();
        // Attempts are written after all events of the turn are handled, such as changes of the endpoint list
        // and cancelled requests.
        self.process_commands_and_write();
        self.hand_over_or_close_idle();
        self.forget_closed_connections();
        self.handover.announce_clients(self.clients());
        Ok(())
    }

    /// Queues clients' connections to be read again for whose input there is memory now.
    fn resume_waiting_for_memory(&mut self) {
        self.thrift.resume_waiting_for_memory(&self.net);
        if let Some(signed) = &mut self.signed {
            signed.front.resume_waiting_for_memory(&self.net);
        }
    }

    /// Returns the number of clients' connections that wait to be read again.
    fn connections_with_unread_requests(&self) -> usize {
        self.queued_reads(ReadSide::Thrift) + self.queued_reads(ReadSide::Signed)
    }

    fn on_ready(&mut self, ready: Ready) {
        match ready {
            Ready::Source(number) => {
                if let Some(source) = EventSource::from_number(number) {
                    self.on_source_ready(source);
                }
            }
            Ready::Conn { key, .. } if self.feed.owns(key) => {
                for batch in self.feed.on_ready(self.now, &mut self.net, &mut self.deadlines) {
                    self.on_feed_batch(batch);
                }
            }
            Ready::Conn { key, .. } if self.is_admin_caller(key) => self.on_admin_ready(key),
            Ready::Conn { key, closed, .. } if self.thrift.owns(key) => {
                let events = self.thrift.on_ready(self.now, key, closed, &mut self.net, &mut self.deadlines);
                self.on_thrift_events(events);
                self.close_if_refused(key);
            }
            Ready::Conn { key, closed, .. } if self.is_signed_client(key) => {
                self.on_signed_ready(key, closed)
            }
            Ready::Conn { key, read, write, .. } => {
                self.upstream.set_bytes_held_elsewhere(self.held_bytes_besides_connections());
                self.upstream.on_ready(self.now, key, read, write, &mut self.net, &mut self.deadlines);
            }
        }
    }

    fn on_source_ready(&mut self, source: EventSource) {
        match source {
            EventSource::AdminListener => self.accept_admin_callers(),
            EventSource::ThriftListener | EventSource::SignedListener => self.accept_clients(),
            EventSource::Signals => self.on_signals(),
            EventSource::HandoverListener | EventSource::OlderProcess | EventSource::NewerProcess => {
                self.on_handover_event(source);
            }
        }
    }

    fn on_signals(&mut self) {
        let signals: Vec<i32> = self.signals.iter_mut().flat_map(Signals::pending).collect();
        if signals.contains(&SIGHUP) {
            self.reload();
        }
        if signals.iter().any(|signal| *signal != SIGHUP) && !self.phase.is_shutting_down() {
            self.begin_shutdown();
        }
    }

    fn on_deadline(&mut self, deadline: ServerDeadline) {
        let (now, net, deadlines) = (self.now, &mut self.net, &mut self.deadlines);
        match deadline {
            ServerDeadline::Core(deadline) => self.core.deadline_passed(now, deadline, deadlines),
            ServerDeadline::Upstream(deadline) => {
                self.upstream.deadline_passed(now, deadline, net, deadlines)
            }
            ServerDeadline::Feed(deadline) => self.feed.deadline_passed(now, deadline, net, deadlines),
            ServerDeadline::Thrift(deadline) => {
                let events = self.thrift.deadline_passed(now, deadline, net, deadlines);
                self.on_thrift_events(events);
            }
            ServerDeadline::Signed(deadline) => {
                let Some(signed) = &mut self.signed else { return };
                let conn = signed.front.deadline_passed(now, deadline, net, deadlines);
                self.write_signed_answers(conn);
            }
            ServerDeadline::Admin(deadline) => {
                if let Some(admin) = &mut self.admin {
                    admin.deadline_passed(now, deadline, net, deadlines);
                }
            }
            ServerDeadline::Accept => self.on_accept_timer(),
            ServerDeadline::ShutdownCheck => self.check_shutdown(),
        }
    }
}
