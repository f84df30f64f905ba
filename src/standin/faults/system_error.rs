//! The errors of system calls that are injected as faults.

use rustix::io::Errno;
use serde::Serialize;

/// An error of a system call, named as in Linux.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
#[allow(missing_docs)] // the variants are the names of the errors in Linux
pub enum SystemError {
    Econnaborted,
    Eproto,
    Enfile,
    Emfile,
    Enobufs,
    Eaddrnotavail,
    Enetunreach,
    Ehostunreach,
    Etimedout,
}

impl SystemError {
    /// Errors of the accept call for a connection that failed before it was accepted.
    pub const OF_ACCEPT: [SystemError; 4] =
        [SystemError::Econnaborted, SystemError::Eproto, SystemError::Ehostunreach, SystemError::Etimedout];
    /// Errors of every call that needs a descriptor, if none are left.
    pub const OF_EXHAUSTION: [SystemError; 3] =
        [SystemError::Enfile, SystemError::Emfile, SystemError::Enobufs];
    /// Errors of the connect call.
    pub const OF_CONNECT: [SystemError; 3] =
        [SystemError::Enobufs, SystemError::Eaddrnotavail, SystemError::Enetunreach];
    /// Errors of a connection that can't be established, or that fails later.
    pub const OF_CONNECTION: [SystemError; 3] =
        [SystemError::Etimedout, SystemError::Ehostunreach, SystemError::Enetunreach];

    /// Returns the error number of the system.
    pub fn errno(self) -> Errno {
        match self {
            SystemError::Econnaborted => Errno::CONNABORTED,
            SystemError::Eproto => Errno::PROTO,
            SystemError::Enfile => Errno::NFILE,
            SystemError::Emfile => Errno::MFILE,
            SystemError::Enobufs => Errno::NOBUFS,
            SystemError::Eaddrnotavail => Errno::ADDRNOTAVAIL,
            SystemError::Enetunreach => Errno::NETUNREACH,
            SystemError::Ehostunreach => Errno::HOSTUNREACH,
            SystemError::Etimedout => Errno::TIMEDOUT,
        }
    }
}
