//! Waits until connections, listeners or other event sources are ready.

use super::{fabric, ConnectionKey, Net};
use fabric::Fabric;
use mio::{Events, Interest, Poll, Token};
use std::io;
use std::time::Duration;

/// A connection or event source that is ready.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ready {
    /// The listener or other source that is registered under this number (below 2^32).
    Source(usize),
    /// A connection on which something happened.
    Conn {
        /// Key of the connection.
        key: ConnectionKey,
        /// Whether there may be bytes to read, or the end of the peer's bytes.
        read: bool,
        /// Whether the connection may accept bytes, is established now, or has failed.
        write: bool,
        /// Whether the peer has stopped writing; bytes may still be unread.
        closed: bool,
    },
}

impl Ready {
    /// Returns the readiness of a connection that may have more to read although the poll reported no event.
    pub fn readable(key: ConnectionKey) -> Self {
        Ready::Conn { key, read: true, write: false, closed: false }
    }
}

/// The poller of the operating system, or that of the simulated network.
pub(super) enum Poller {
    Mio { poll: Poll, events: Events },
    Virtual { fabric: Fabric, process: u32 },
}

impl Net {
    /// Registers a listener or another source under a number, which must be below 2^32.
    ///
    /// # Errors
    ///
    /// The system call fails.
    pub fn watch(&mut self, source: &mut impl mio::event::Source, number: usize) -> io::Result<()> {
        match &self.poller {
            Poller::Mio { poll, .. } => poll.registry().register(source, Token(number), Interest::READABLE),
            Poller::Virtual { .. } => Ok(()),
        }
    }

    /// Removes a listener or another source from the poller.
    ///
    /// # Errors
    ///
    /// The source was not registered.
    pub fn unwatch(&mut self, source: &mut impl mio::event::Source) -> io::Result<()> {
        match &self.poller {
            Poller::Mio { poll, .. } => poll.registry().deregister(source),
            Poller::Virtual { .. } => Ok(()),
        }
    }

    /// Waits until something is ready, for at most `wait`, and replaces the contents of `ready` by it. In a
    /// simulated network the call does not wait.
    ///
    /// # Errors
    ///
    /// The system call fails.
    pub fn poll(&mut self, wait: Option<Duration>, ready: &mut Vec<Ready>) -> io::Result<()> {
        ready.clear();
        let (poll, events) = match &mut self.poller {
            Poller::Mio { poll, events } => (poll, events),
            Poller::Virtual { fabric, process } => {
                // The owner of the network advances its clock, so this call does not wait.
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
