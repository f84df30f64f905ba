//! Tests of `errors`.

use super::*;

fn errors(list: &[Errno]) -> Vec<io::Error> {
    list.iter().map(|errno| io::Error::from_raw_os_error(errno.raw_os_error())).collect()
}

#[test]
fn accept_errors_concern_one_connection_or_the_process() {
    for error in errors(&[Errno::CONNABORTED, Errno::PROTO, Errno::HOSTUNREACH, Errno::TIMEDOUT]) {
        assert!(concerns_one_connection(&error) && !is_exhausted(&error), "{error}");
    }
    for error in errors(&[Errno::NFILE, Errno::MFILE, Errno::NOBUFS, Errno::NOMEM]) {
        assert!(is_exhausted(&error) && !concerns_one_connection(&error), "{error}");
    }
    for error in errors(&[Errno::INVAL, Errno::BADF, Errno::AGAIN]) {
        assert!(!is_exhausted(&error) && !concerns_one_connection(&error), "{error}");
    }
    assert!(!is_exhausted(&io::Error::other("not from a system call")));
}

#[test]
fn connect_errors_are_local_or_caused_by_the_peer() {
    let local = [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::ADDRNOTAVAIL, Errno::NOSPC];
    assert!(errors(&local).iter().all(is_local_error));
    let of_the_peer = [Errno::CONNREFUSED, Errno::NETUNREACH, Errno::HOSTUNREACH, Errno::TIMEDOUT];
    assert!(!errors(&of_the_peer).iter().any(is_local_error));
}
