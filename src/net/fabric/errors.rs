//! Errors of system calls that the owner of a network plans for its processes, as Linux documents them.

use crate::interface::Instant;
use rustix::io::Errno;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

/// How connecting to a host fails.
#[derive(Clone, Copy, Debug)]
pub(super) struct FailedConnect {
    pub error: Errno,
    /// Whether the call fails, or the connection that it began.
    pub at_once: bool,
    pub until: Instant,
}

/// The errors that are planned; every one ends at a time.
#[derive(Debug, Default)]
pub(super) struct Errors {
    /// No connection gets a descriptor.
    pub exhausted: Option<(Errno, Instant)>,
    pub connects: BTreeMap<SocketAddr, FailedConnect>,
    /// The bytes that one read or write takes at most.
    pub short: Option<(usize, Instant)>,
    pub interrupted_until: Instant,
    /// Whether the last call was interrupted: the next one is not.
    interrupted: bool,
}

impl Errors {
    /// A process makes a call that may be interrupted.
    pub fn call(&mut self, now: Instant) -> io::Result<()> {
        self.interrupted = now < self.interrupted_until && !self.interrupted;
        if self.interrupted {
            Err(Errno::INTR.into())
        } else {
            Ok(())
        }
    }

    /// A call wants a descriptor.
    pub fn exhausted(&self, now: Instant) -> io::Result<()> {
        match self.exhausted {
            Some((error, until)) if now < until => Err(error.into()),
            _ => Ok(()),
        }
    }

    /// A process begins to connect.
    pub fn connect(&self, now: Instant, host: SocketAddr) -> io::Result<()> {
        self.exhausted(now)?;
        match self.failed_connect(now, host) {
            Some(failed) if failed.at_once => Err(failed.error.into()),
            _ => Ok(()),
        }
    }

    /// The error of a connection that would come up now.
    pub fn late_connect(&self, now: Instant, host: SocketAddr) -> Option<Errno> {
        self.failed_connect(now, host).filter(|failed| !failed.at_once).map(|failed| failed.error)
    }

    /// The bytes that a read or write takes at most.
    pub fn most(&self, now: Instant) -> usize {
        self.short.filter(|(_, until)| now < *until).map_or(usize::MAX, |(most, _)| most)
    }

    fn failed_connect(&self, now: Instant, host: SocketAddr) -> Option<FailedConnect> {
        self.connects.get(&host).copied().filter(|failed| now < failed.until)
    }
}
