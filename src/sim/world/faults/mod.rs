//! Begins the faults of the script.
//!
//! - `host`: faults of hosts and of connections to them.
//! - `feed`: faults of the control feed, and purges.
//! - `system`: faults of the machine on which the processes run.
//!
//! Faults of clients and processes are implemented in `clients` and `processes`.

mod feed;
mod host;
mod system;

pub(super) use system::DescriptorShortage;

use super::traffic::object_id;
use super::{host_address, World};
use crate::interface::{Instant, Span};
use crate::standin::faults::FaultKind;
use crate::standin::host::Slowdown;

impl World<'_> {
    /// Begins a fault, and adds it to the trace.
    pub(super) fn begin_fault(&mut self, fault: FaultKind) {
        self.fabric.record(serde_json::to_string(&fault).unwrap_or_default());
        let now = self.now;
        let after = |ms: i64| -> Instant { now + Span::from_millis(ms) };
        match fault {
            FaultKind::Silent { host, ms } => self.silence_host(host, after(ms)),
            FaultKind::Killed { host, ms } => self.kill_host_until(host, after(ms)),
            FaultKind::Reset { host } => self.reset_connections(host),
            FaultKind::Slow { host, times, ms } => {
                self.fleet[host].slowdown = Slowdown { factor: times, until: after(ms) };
            }
            FaultKind::Errors { host, ms } => self.fleet[host].fails_until = after(ms),
            FaultKind::Garbled { host } => self.fleet[host].garbles_next_answer = true,
            FaultKind::Drained { host } => self.drain_host(host),
            FaultKind::Removed { host } => self.remove_host(host),
            FaultKind::Ready { host } => self.mark_host_up(host),
            FaultKind::PurgeObject { object } => self.purge(Some(object_id(object as u64))),
            FaultKind::PurgeGroup => self.purge(None),
            FaultKind::FeedSilent { ms } => self.silence_feed(after(ms)),
            FaultKind::FeedReset => self.reset_feed(),
            FaultKind::ClientGone { client } => self.reset_client(client),
            FaultKind::ClientCloses { client } => self.close_client(client),
            FaultKind::SlowDials { host, late_ms, ms } => self.delay_connects(host, late_ms, after(ms)),
            FaultKind::ClosesIdle { host } => self.close_idle_connections(host),
            FaultKind::AnswersTwice { host } => self.fleet[host].repeats_next_answer = true,
            FaultKind::PollsLost => self.lose_polls(),
            FaultKind::WholeList => self.publish_whole_list(),
            FaultKind::Stop => self.processes.terminate_all(now),
            FaultKind::Upgrade => drop(self.upgrade()),
            FaultKind::UpgradeDies { ms } => self.upgrade_and_kill_newer(after(ms)),
            FaultKind::Crash => self.kill_all_processes(),
            FaultKind::ClockStep { ms } => self.fabric.step_wall_clock(Span::from_millis(ms)),
            FaultKind::AcceptFails { error, times } => self.abort_connects(error, times),
            FaultKind::Exhausted { error, ms } => self.exhaust_descriptors(error, after(ms)),
            FaultKind::ConnectFails { host, error, at_once, ms } => {
                self.fabric.fail_connects(host_address(host), error.errno(), at_once, after(ms));
            }
            FaultKind::LinksFail { host, error } => self.fail_connections(host, error),
            FaultKind::ShortIo { bytes, ms } => self.fabric.limit_io_bytes(bytes, after(ms)),
            FaultKind::Interrupted { ms } => self.fabric.interrupt_calls(after(ms)),
        }
    }
}
