//! Tests of `connections`: a connect that fails at once.

use crate::deadlines::Deadlines;
use crate::interface::{Instant, Span};
use crate::net::fabric::{host, Fabric};
use crate::net::Net;
use crate::upstream::lines::WireRequest;
use crate::upstream::{ConnectionDeadline, JobEnd, PoolLimits, RequestEncoder, Upstream, UpstreamEvent};
use rustix::io::Errno;

const SERVER: u32 = 1;
const JOB: u64 = 7;
const MS: Span = Span::from_millis(1);

/// Words no job: none is to be written here.
struct Unworded;

impl RequestEncoder<Deadlines<ConnectionDeadline>> for Unworded {
    fn encode(&mut self, _: u64, _: &mut Deadlines<ConnectionDeadline>) -> Option<WireRequest> {
        None
    }

    fn not_written(&mut self, _: u64) {}
}

/// How a job ends whose connection fails at once with an error.
fn ending(error: Errno) -> JobEnd {
    let fabric = Fabric::new(Instant::ZERO, 1, (MS, MS));
    fabric.start_process(1);
    fabric.fail_connects(host(1), error, true, Instant::ZERO + 100 * MS);
    let (mut net, mut due) = (Net::on(&fabric, 1), Deadlines::<ConnectionDeadline>::default());
    let figures = PoolLimits {
        connect_timeout: 300 * MS,
        idle_timeout: 1000 * MS,
        max_jobs_per_connection: 8,
        max_connections: 8,
        max_buffered_bytes: 1 << 20,
    };
    let mut upstream = Upstream::new(figures);
    upstream.set_host(Instant::ZERO, SERVER, host(1), None, &mut net, &mut due);
    upstream.queue(Instant::ZERO, SERVER, JOB, "id".into(), false, None);
    upstream.dispatch(Instant::ZERO, &mut net, &mut due, &mut Unworded);
    match upstream.take_events().pop() {
        Some(UpstreamEvent::JobEnded { job: JOB, end: ending }) => ending,
        other => panic!("{error}: {other:?}"),
    }
}

#[test]
fn a_connect_that_fails_at_once_never_ran_and_blames_the_server_only_if_it_is_not_reached() {
    for error in [Errno::CONNREFUSED, Errno::NETUNREACH, Errno::HOSTUNREACH, Errno::TIMEDOUT] {
        assert_eq!(ending(error), JobEnd::NotConnected, "{error}");
    }
    for error in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::ADDRNOTAVAIL, Errno::AGAIN] {
        assert_eq!(ending(error), JobEnd::NotSent, "{error}");
    }
}
