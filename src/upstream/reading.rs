//! Reading from servers: connections that come up, answers as they arrive, and the deadlines of both.

use super::answers::MalformedAnswer;
use super::{ConnectionDeadline, JobEnd, Upstream, INPUT, LONGEST_ANSWER, PROVEN, READS_IN_A_TURN, STOPPED};
use crate::deadlines::Schedule;
use crate::interface::Instant;
use crate::net::{ConnectionKey, Net, Reason};

impl Upstream {
    /// A connection may be read from, or written to.
    pub fn ready(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        read: bool,
        write: bool,
        net: &mut Net,
        due: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        if let Err(reason) = self.advance(now, key, read, write, net, due) {
            self.drop_connection(now, key, reason, net, due);
        }
    }

    fn advance(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        read: bool,
        write: bool,
        net: &mut Net,
        due: &mut dyn Schedule<ConnectionDeadline>,
    ) -> Result<(), Reason> {
        let Some(connection) = self.connections.get(&key) else { return Ok(()) };
        if !connection.up {
            if !net.connected(key)? {
                return Ok(());
            }
            self.come_up(now, key, net, due);
        }
        if write {
            if let Some(connection) = self.connections.get_mut(&key) {
                connection.blocked = false;
            }
            net.flush(key)?;
            self.tally(key, net);
        }
        if read {
            self.read(now, key, net)?;
            self.watch_answer(now, key, net, due);
            self.settle(now, key, net, due);
        }
        Ok(())
    }

    /// A connection has come up.
    fn come_up(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        net: &mut Net,
        due: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        connection.up = true;
        (connection.since, connection.idle_since) = (now, now);
        if connection.lane == 1 {
            due.add(now + PROVEN, ConnectionDeadline::Proven);
        }
        connection.connect_deadline.take().into_iter().for_each(|handle| due.remove(handle));
        if let Some(host) = self.hosts.get_mut(&connection.host) {
            host.lanes[connection.lane].dial_retries = 0;
        }
        self.settle(now, key, net, due);
    }

    /// Sets the deadline of an answer that has come in part: its next bytes, and its end, have their times.
    fn watch_answer(
        &mut self,
        now: Instant,
        key: ConnectionKey,
        net: &mut Net,
        due: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        let Some(connection) = self.connections.get_mut(&key) else { return };
        let in_part =
            connection.reader.is_midway() || net.input(key, |input| !input.is_empty()).unwrap_or(false);
        connection.answer_deadline.take().into_iter().for_each(|handle| due.remove(handle));
        if !in_part {
            connection.answer_since = None;
            return;
        }
        let since = *connection.answer_since.get_or_insert(now);
        let until = (now + STOPPED).min(since + LONGEST_ANSWER);
        connection.answer_deadline = Some(due.add(until, ConnectionDeadline::Stopped(key)));
    }

    /// Takes in what has come. A server that sends without end gets its next turn behind all others.
    pub(super) fn read(&mut self, now: Instant, key: ConnectionKey, net: &mut Net) -> Result<(), Reason> {
        for _ in 0..READS_IN_A_TURN {
            let wanted = self.connections.get(&key).map_or(0, |connection| connection.reader.wanted());
            let got = net.read(key, wanted + INPUT);
            if got.is_ok_and(|got| got.bytes > 0) {
                if let Some(connection) = self.connections.get_mut(&key) {
                    (connection.unanswered, connection.waiting) = (0, Some(now));
                }
            }
            self.take_answers(now, key, net)?;
            match got? {
                got if got.end => return Err(Reason::PeerClosed),
                got if !got.more => return Ok(()),
                _ => {}
            }
        }
        self.turns.push_back(key);
        Ok(())
    }

    /// Ends the jobs whose answers have come whole.
    fn take_answers(&mut self, now: Instant, key: ConnectionKey, net: &mut Net) -> Result<(), Reason> {
        let room = self.limits.max_buffered_bytes.saturating_sub(net.held_bytes() + self.elsewhere);
        let Some(connection) = self.connections.get_mut(&key) else { return Ok(()) };
        let mut answers = Vec::new();
        let read = net.input(key, |input| {
            while let Some(answer) = connection.reader.next(input, room)? {
                answers.push(answer);
            }
            Ok(())
        });
        if !answers.is_empty() {
            connection.answer_since = None;
        }
        for answer in answers {
            // An id that is not open was given up: its answer came late.
            match self.connections.get_mut(&key).and_then(|connection| connection.answered(now, &answer.id)) {
                Some(job) => self.end(now, job, JobEnd::Answer(answer)),
                None => drop(answer),
            }
        }
        match read {
            Some(Err(MalformedAnswer)) => Err(Reason::BadMessage),
            _ => Ok(()),
        }
    }

    /// The next connection that has more to read than its last turn allowed.
    pub fn turn(&mut self) -> Option<ConnectionKey> {
        self.turns.pop_front()
    }

    /// How many connections wait for a turn.
    pub fn turns(&self) -> usize {
        self.turns.len()
    }

    /// A connection's deadline has fallen.
    pub fn due(
        &mut self,
        now: Instant,
        what: ConnectionDeadline,
        net: &mut Net,
        due: &mut dyn Schedule<ConnectionDeadline>,
    ) {
        match what {
            ConnectionDeadline::Connect(key) => {
                if let Some(connection) = self.connections.get_mut(&key).filter(|connection| !connection.up) {
                    connection.connect_deadline = None;
                    self.drop_connection(now, key, Reason::ConnectTimeout, net, due);
                }
            }
            ConnectionDeadline::Proven => {} // what waits for it is written by the next dispatch
            ConnectionDeadline::Stopped(key) => {
                if let Some(connection) = self.connections.get_mut(&key) {
                    connection.answer_deadline = None;
                    self.drop_connection(now, key, Reason::Stalled, net, due);
                }
            }
            ConnectionDeadline::Idle(key) => {
                if let Some(connection) =
                    self.connections.get_mut(&key).filter(|connection| connection.open.is_empty())
                {
                    connection.idle_deadline = None;
                    self.drop_connection(now, key, Reason::Idle, net, due);
                }
            }
        }
    }
}
