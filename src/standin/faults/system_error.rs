//! The errors of system calls that are played as faults.

use rustix::io::Errno;
use serde::Serialize;

/// An error of a system call, by its name in Linux.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize)]
#[serde(rename_all = "UPPERCASE")]
#[allow(missing_docs)] // the names say it
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
    /// What accept says of a connection that failed before it was given.
    pub const OF_ACCEPT: [SystemError; 4] =
        [SystemError::Econnaborted, SystemError::Eproto, SystemError::Ehostunreach, SystemError::Etimedout];
    /// What every call says that wants a descriptor where there is none.
    pub const OF_EXHAUSTION: [SystemError; 3] =
        [SystemError::Enfile, SystemError::Emfile, SystemError::Enobufs];
    /// What connecting says at once.
    pub const OF_CONNECT: [SystemError; 3] =
        [SystemError::Enobufs, SystemError::Eaddrnotavail, SystemError::Enetunreach];
    /// What a connection says that does not come up, or breaks.
    pub const OF_CONNECTION: [SystemError; 3] =
        [SystemError::Etimedout, SystemError::Ehostunreach, SystemError::Enetunreach];

    /// Its number.
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
