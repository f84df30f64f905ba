//! Errors that the owner of a network injects into the processes' system calls. They are those that Linux
//! documents.

use super::Fabric;
use crate::interface::Instant;
use rustix::io::Errno;
use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;

/// An error of connecting to a host, which is injected until a time.
#[derive(Clone, Copy, Debug)]
struct FailedConnect {
    error: Errno,
    /// Whether the connect call itself fails; otherwise the connection fails later.
    at_once: bool,
    until: Instant,
}

/// The error of calls that need a descriptor, which is injected until a time.
#[derive(Clone, Copy, Debug)]
struct Exhaustion {
    error: Errno,
    until: Instant,
}

/// The limit on the bytes that one read or write transfers, which applies until a time.
#[derive(Clone, Copy, Debug)]
struct ShortIo {
    max_bytes: usize,
    until: Instant,
}

/// The injected errors, each with the time at which it ends.
#[derive(Debug, Default)]
pub(super) struct InjectedErrors {
    /// Set while descriptors are exhausted.
    exhausted: Option<Exhaustion>,
    connects: BTreeMap<SocketAddr, FailedConnect>,
    /// Set while reads and writes are short.
    short_io: Option<ShortIo>,
    interrupted_until: Instant,
    /// Whether the last call was interrupted. The next call is not, so a repeated call is not interrupted
    /// again.
    was_interrupted: bool,
}

impl InjectedErrors {
    /// Returns an error if the current call is interrupted.
    pub fn check_interrupted(&mut self, now: Instant) -> io::Result<()> {
        self.was_interrupted = now < self.interrupted_until && !self.was_interrupted;
        if self.was_interrupted {
            Err(Errno::INTR.into())
        } else {
            Ok(())
        }
    }

    /// Returns an error if descriptors are exhausted; for calls that need one.
    pub fn check_exhausted(&self, now: Instant) -> io::Result<()> {
        match self.exhausted {
            Some(exhaustion) if now < exhaustion.until => Err(exhaustion.error.into()),
            _ => Ok(()),
        }
    }

    /// Returns an error if a connect call to a host fails at once.
    pub fn check_connect(&self, now: Instant, host: SocketAddr) -> io::Result<()> {
        self.check_exhausted(now)?;
        match self.failed_connect(now, host) {
            Some(failed) if failed.at_once => Err(failed.error.into()),
            _ => Ok(()),
        }
    }

    /// Returns the error of a connection to a host that would be established now; `None` if it succeeds.
    pub fn late_connect_error(&self, now: Instant, host: SocketAddr) -> Option<Errno> {
        self.failed_connect(now, host).filter(|failed| !failed.at_once).map(|failed| failed.error)
    }

    /// Returns the maximum number of bytes that a read or write transfers.
    pub fn max_io_bytes(&self, now: Instant) -> usize {
        self.short_io.filter(|short| now < short.until).map_or(usize::MAX, |short| short.max_bytes)
    }

    fn failed_connect(&self, now: Instant, host: SocketAddr) -> Option<FailedConnect> {
        self.connects.get(&host).copied().filter(|failed| now < failed.until)
    }
}

impl Fabric {
    /// Connects a client that is gone before its connection is accepted. Accepting the connection fails with
    /// `error`.
    pub fn connect_aborted_client(&self, from: SocketAddr, to: SocketAddr, error: Errno) {
        let link = self.connect_client(from, to);
        if let Some(link) = self.state().links.get_mut(&link) {
            (link.is_aborted, link.error) = (true, error);
        }
    }

    /// Resets a connection as [`Fabric::reset`] does, but the process's calls fail with `error`.
    pub fn reset_with_error(&self, link: u64, error: Errno) {
        if let Some(link) = self.state().links.get_mut(&link) {
            link.error = error;
        }
        self.reset(link);
    }

    /// Makes accept and connect calls fail with `error` until a time, as if descriptors were exhausted.
    pub fn exhaust_descriptors(&self, error: Errno, until: Instant) {
        self.state().errors.exhausted = Some(Exhaustion { error, until });
    }

    /// Makes connections to a host fail with `error` until a time. With `at_once` the connect call fails,
    /// otherwise the connection fails when it would be established.
    pub fn fail_connects(&self, host: SocketAddr, error: Errno, at_once: bool, until: Instant) {
        self.state().errors.connects.insert(host, FailedConnect { error, at_once, until });
    }

    /// Limits each read and write of the processes to `max_bytes` bytes (at least 1) until a time.
    pub fn limit_io_bytes(&self, max_bytes: usize, until: Instant) {
        self.state().errors.short_io = Some(ShortIo { max_bytes: max_bytes.max(1), until });
    }

    /// Makes every other socket call of the processes fail as interrupted by a signal until a time.
    pub fn interrupt_calls(&self, until: Instant) {
        self.state().errors.interrupted_until = until;
    }
}
