//! Waiting for what is ready: connections, listeners and other sources.

use super::{fabric, ConnectionKey, Net};
use fabric::Fabric;
use mio::{Events, Interest, Poll, Token};
use std::io;
use std::time::Duration;

/// Something that is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ready {
    /// A listener, or another source registered under this number (below 2^32).
    Source(usize),
    /// A connection.
    Conn {
        /// Which.
        key: ConnectionKey,
        /// There may be bytes, or an end.
        read: bool,
        /// It may take bytes, has come up, or has failed.
        write: bool,
        /// The peer writes nothing more, though bytes may still be unread.
        closed: bool,
    },
}

impl Ready {
    /// A connection that may have more to read without an event of the poll.
    pub fn readable(key: ConnectionKey) -> Self {
        Ready::Conn { key, read: true, write: false, closed: false }
    }
}

/// The system's poll, or that of the simulated network.
pub(super) enum Poller {
    Mio { poll: Poll, events: Events },
    Virtual { fabric: Fabric, process: u32 },
}

impl Net {
    /// Watches a listener or another source under a number below 2^32.
    ///
    /// # Errors
    ///
    /// The system rejects it.
    pub fn watch(&mut self, source: &mut impl mio::event::Source, number: usize) -> io::Result<()> {
        match &self.poller {
            Poller::Mio { poll, .. } => poll.registry().register(source, Token(number), Interest::READABLE),
            Poller::Virtual { .. } => Ok(()),
        }
    }

    /// Ends the watch of a listener.
    ///
    /// # Errors
    ///
    /// It was not watched.
    pub fn unwatch(&mut self, source: &mut impl mio::event::Source) -> io::Result<()> {
        match &self.poller {
            Poller::Mio { poll, .. } => poll.registry().deregister(source),
            Poller::Virtual { .. } => Ok(()),
        }
    }

    /// Waits until something is ready, for `wait` at most.
    ///
    /// # Errors
    ///
    /// The poll failed.
    pub fn poll(&mut self, wait: Option<Duration>, ready: &mut Vec<Ready>) -> io::Result<()> {
        ready.clear();
        let (poll, events) = match &mut self.poller {
            Poller::Mio { poll, events } => (poll, events),
            Poller::Virtual { fabric, process } => {
                // The network's owner moves its clock, so there is no waiting here.
                let found = fabric.take_ready(*process);
                ready.extend(found.sources.into_iter().map(Ready::Source));
                let conn = |fabric::ReadyConnection { token, read, write, closed }| Ready::Conn {
                    key: ConnectionKey::from_number(token as u64),
                    read,
                    write,
                    closed,
                };
                ready.extend(found.connections.into_iter().map(conn));
                return Ok(());
            }
        };
        match poll.poll(events, wait) {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => return Ok(()),
            other => other?,
        }
        ready.extend(events.iter().map(|event| match event.token().0 as u64 >> 32 {
            0 => Ready::Source(event.token().0),
            _ => Ready::Conn {
                key: ConnectionKey::from_number(event.token().0 as u64),
                read: event.is_readable() || event.is_read_closed() || event.is_error(),
                write: event.is_writable() || event.is_write_closed() || event.is_error(),
                closed: event.is_read_closed() || event.is_error(),
            },
        }));
        Ok(())
    }
}
