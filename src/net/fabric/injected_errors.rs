//! Errors of the processes' system calls that the owner of a network plans, as Linux documents them.

use super::Fabric;
use crate::interface::Instant;
use rustix::io::Errno;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

/// How connecting to a host fails until a time.
#[derive(Clone, Copy, Debug)]
struct FailedConnect {
    error: Errno,
    /// Whether the call itself fails, or the connection later.
    at_once: bool,
    until: Instant,
}

/// No descriptor can be had until a time.
#[derive(Clone, Copy, Debug)]
struct Exhaustion {
    error: Errno,
    until: Instant,
}

/// Reads and writes transfer few bytes at a time until a time.
#[derive(Clone, Copy, Debug)]
struct ShortIo {
    max_bytes: usize,
    until: Instant,
}

/// The errors that are planned, each until a time.
#[derive(Debug, Default)]
pub(super) struct InjectedErrors {
    /// No descriptor can be had.
    exhausted: Option<Exhaustion>,
    connects: BTreeMap<SocketAddr, FailedConnect>,
    /// Reads and writes are short.
    short_io: Option<ShortIo>,
    interrupted_until: Instant,
    /// Whether the last call was interrupted; the next one is not.
    was_interrupted: bool,
}

impl InjectedErrors {
    /// Fails if a call is interrupted.
    pub fn check_interrupted(&mut self, now: Instant) -> io::Result<()> {
        self.was_interrupted = now < self.interrupted_until && !self.was_interrupted;
        if self.was_interrupted {
            Err(Errno::INTR.into())
        } else {
            Ok(())
        }
    }

    /// Fails if a call needs a descriptor and none can be had.
    pub fn check_exhausted(&self, now: Instant) -> io::Result<()> {
        match self.exhausted {
            Some(exhaustion) if now < exhaustion.until => Err(exhaustion.error.into()),
            _ => Ok(()),
        }
    }

    /// Fails if a connect call fails at once.
    pub fn check_connect(&self, now: Instant, host: SocketAddr) -> io::Result<()> {
        self.check_exhausted(now)?;
        match self.failed_connect(now, host) {
            Some(failed) if failed.at_once => Err(failed.error.into()),
            _ => Ok(()),
        }
    }

    /// The error of a connection that would come up now.
    pub fn late_connect_error(&self, now: Instant, host: SocketAddr) -> Option<Errno> {
        self.failed_connect(now, host).filter(|failed| !failed.at_once).map(|failed| failed.error)
    }

    /// The most bytes that a read or write transfers.
    pub fn max_io_bytes(&self, now: Instant) -> usize {
        self.short_io.filter(|short| now < short.until).map_or(usize::MAX, |short| short.max_bytes)
    }

    fn failed_connect(&self, now: Instant, host: SocketAddr) -> Option<FailedConnect> {
        self.connects.get(&host).copied().filter(|failed| now < failed.until)
    }
}

impl Fabric {
    /// Connects a client that is gone before it is accepted: accepting its connection fails with this error.
    pub fn dial_aborted(&self, from: SocketAddr, to: SocketAddr, error: Errno) {
        let link = self.dial(from, to);
        if let Some(link) = self.state().links.get_mut(&link) {
            (link.is_aborted, link.error) = (true, error);
        }
    }

    /// Resets a connection as [`Fabric::reset`] does, but the process sees this error.
    pub fn reset_with_error(&self, link: u64, error: Errno) {
        if let Some(link) = self.state().links.get_mut(&link) {
            link.error = error;
        }
        self.reset(link);
    }

    /// Lets accepting and connecting fail with this error until a time, as without a descriptor.
    pub fn exhaust_descriptors(&self, error: Errno, until: Instant) {
        self.state().errors.exhausted = Some(Exhaustion { error, until });
    }

    /// Lets connecting to a host fail with this error until a time, at once or when the connection would come up.
    pub fn fail_connects(&self, host: SocketAddr, error: Errno, at_once: bool, until: Instant) {
        self.state().errors.connects.insert(host, FailedConnect { error, at_once, until });
    }

    /// Lets reads and writes of the processes transfer at most `max_bytes` bytes until a time.
    pub fn limit_io_bytes(&self, max_bytes: usize, until: Instant) {
        self.state().errors.short_io = Some(ShortIo { max_bytes: max_bytes.max(1), until });
    }

    /// Lets every other call of the processes be interrupted by a signal until a time.
    pub fn interrupt_calls(&self, until: Instant) {
        self.state().errors.interrupted_until = until;
    }
}
