//! Classifies the errors of system calls on sockets, as documented for Linux in accept(2), connect(2) and
//! socket(2).

use rustix::io::Errno;
use std::io;

/// Errors that mean that the process or the system is out of descriptors, buffers or memory at the moment.
const EXHAUSTION_ERRORS: [Errno; 4] = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::NOMEM];

/// Errors of accept that affect only the connection that it would have returned, so the next one may succeed.
/// Linux returns pending network errors of the new socket from accept, and `EPERM` if a firewall rejected the
/// connection.
const SINGLE_CONNECTION_ERRORS: [Errno; 12] = [
    Errno::CONNABORTED,
    Errno::CONNRESET,
    Errno::PERM,
    Errno::PROTO,
    Errno::NOPROTOOPT,
    Errno::OPNOTSUPP,
    Errno::NETDOWN,
    Errno::NETUNREACH,
    Errno::HOSTDOWN,
    Errno::HOSTUNREACH,
    Errno::NONET,
    Errno::TIMEDOUT,
];

/// Errors of connect and socket whose cause is this process or host, not the peer: no port, descriptor,
/// memory or poller registration is available, or the call is not permitted.
const LOCAL_ERRORS: [Errno; 9] = [
    Errno::MFILE,
    Errno::NFILE,
    Errno::NOBUFS,
    Errno::NOMEM,
    Errno::ADDRNOTAVAIL,
    Errno::ADDRINUSE,
    Errno::AGAIN,
    Errno::NOSPC,
    Errno::PERM,
];

fn is_one_of(error: &io::Error, list: &[Errno]) -> bool {
    Errno::from_io_error(error).is_some_and(|errno| list.contains(&errno))
}

/// Whether a call failed since descriptors, buffers or memory are exhausted; it may succeed later.
pub fn is_exhausted(error: &io::Error) -> bool {
    is_one_of(error, &EXHAUSTION_ERRORS)
}

/// Whether an accept error affects only the connection that would have been returned.
pub fn concerns_one_connection(error: &io::Error) -> bool {
    is_one_of(error, &SINGLE_CONNECTION_ERRORS)
}

/// Whether the cause of a connect error is this process or host, not the peer.
pub fn is_local_error(error: &io::Error) -> bool {
    is_one_of(error, &LOCAL_ERRORS)
}

#[cfg(test)]
mod tests;
