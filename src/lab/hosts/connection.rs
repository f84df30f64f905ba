//! Connections to the hosts. Each is read in a thread of its own.

use super::event_queue::ScheduledEvent;
use super::{now, Connection, HostsState, StandInHosts};
use crate::interface::{Instant, Span};
use crate::standin::ids::{ConnectionId, HostId};
use crate::standin::line_protocol::{take_lines, FetchRequest, HostLine, HEALTHY};
use std::io::{self, Read};
use std::net::TcpStream;
use std::thread;

/// Timeout of a host's fill from a fill source that is not reachable.
const SOURCE_TIMEOUT: Span = Span::from_millis(300);
/// Size of the read buffer, in bytes.
const READ_BYTES: usize = 16 * 1024;

impl StandInHosts {
    /// Serves a connection, unless the host's process is dead or the hosts have stopped.
    pub(super) fn accept(&self, host: HostId, stream: TcpStream) {
        let Ok(read_half) = stream.try_clone() else { return };
        let _ = stream.set_nodelay(true);
        let mut state = self.lock();
        // A killed process would refuse the connection. The listener can't be closed here, so the accepted
        // connection is closed at once.
        if state.fleet[host].is_dead || state.is_stopped {
            return;
        }
        let connection_id = state.next_connection_id();
        state.connections.insert(connection_id, Connection { host, stream });
        drop(state);
        let hosts = self.clone();
        thread::spawn(move || {
            let _ = hosts.read(host, connection_id, read_half);
            hosts.lock().connections.remove(&connection_id);
        });
    }

    /// Reads requests until the connection ends.
    fn read(&self, host: HostId, connection_id: ConnectionId, mut stream: TcpStream) -> io::Result<()> {
        let (mut input, mut buffer) = (Vec::new(), [0; READ_BYTES]);
        loop {
            let count = stream.read(&mut buffer)?;
            if count == 0 {
                return Ok(());
            }
            input.extend_from_slice(&buffer[..count]);
            let lines = take_lines(&mut input).map_err(io::Error::other)?;
            let mut state = self.lock();
            for line in lines {
                match line {
                    HostLine::Fetch(request) => self.receive(&mut state, host, connection_id, request),
                    HostLine::Cancel(id) => {
                        drop(state.fleet[host].open_requests.remove(&(connection_id, id)))
                    }
                    HostLine::HealthCheck(tag) => state.send(connection_id, &HEALTHY.encode(&tag)),
                }
            }
        }
    }

    /// Adds a request to the host's open ones and schedules its answer.
    fn receive(
        &self,
        state: &mut HostsState,
        host: HostId,
        connection_id: ConnectionId,
        request: FetchRequest,
    ) {
        let now = now();
        state.counts.requests += 1;
        let after = state.draw_answer_delay(host, &request, now);
        let id = request.id.clone();
        state.fleet[host].open_requests.insert((connection_id, id.clone()), request);
        self.schedule(state, now + after, ScheduledEvent::HostAnswers(host, connection_id, id));
    }
}

impl HostsState {
    /// Draws the time that a host takes to answer a request, including the fill if the request needs one.
    fn draw_answer_delay(&mut self, host: HostId, request: &FetchRequest, now: Instant) -> Span {
        let own_time = self.draw_service_time(host, now);
        if !self.fleet[host].needs_source(request, now) {
            return own_time;
        }
        let Some(source) = self.fleet.source(request) else { return own_time };
        self.counts.fills += 1;
        if self.is_reachable(source, now) {
            own_time + self.draw_service_time(source, now)
        } else {
            own_time + SOURCE_TIMEOUT
        }
    }
}
