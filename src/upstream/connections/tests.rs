//! Tests of `connections`: connect calls that fail at once.

use crate::deadlines::Deadlines;
use crate::interface::{Instant, ServerId, Span};
use crate::net::fabric::{host, Fabric};
use crate::net::Net;
use crate::upstream::line_protocol::WireRequest;
use crate::upstream::{
    ConnectionDeadline, JobEnd, JobId, PoolLimits, QueueKind, QueuedRequest, RequestEncoder, Upstream,
    UpstreamEvent,
};
use rustix::io::Errno;

const SERVER: ServerId = ServerId(1);
const JOB: JobId = JobId(7);
const MS: Span = Span::from_millis(1);

/// An encoder that encodes nothing, since no job is written in these tests.
struct NoEncoder;

impl RequestEncoder<Deadlines<ConnectionDeadline>> for NoEncoder {
    fn encode(&mut self, _: JobId, _: &mut Deadlines<ConnectionDeadline>) -> Option<WireRequest> {
        None
    }

    fn not_written(&mut self, _: JobId) {}
}

/// Returns how a job ends if the connect call for it fails at once with an error.
fn job_end(error: Errno) -> JobEnd {
    let fabric = Fabric::new(Instant::ZERO, 1, MS..=MS);
    fabric.start_process(1);
    fabric.fail_connects(host(1), error, true, Instant::ZERO + 100 * MS);
    let (mut net, mut deadlines) = (Net::simulated(&fabric, 1), Deadlines::<ConnectionDeadline>::default());
    let limits = PoolLimits {
        connect_timeout: 300 * MS,
        idle_timeout: 1000 * MS,
        max_jobs_per_connection: 8,
        max_connections: 8,
        max_buffered_bytes: 1 << 20,
    };
    let mut upstream = Upstream::new(limits);
    upstream.set_server(Instant::ZERO, SERVER, host(1), None, &mut net, &mut deadlines);
    let request = QueuedRequest {
        job: JOB,
        server: SERVER,
        wire_id: "id".to_owned(),
        queue: QueueKind::Reads,
        counted_class: None,
    };
    upstream.queue_request(Instant::ZERO, request);
    upstream.dispatch(Instant::ZERO, &mut net, &mut deadlines, &mut NoEncoder);
    match upstream.take_events().pop() {
        Some(UpstreamEvent::JobEnded { job: JOB, end }) => end,
        other => panic!("{error}: {other:?}"),
    }
}

#[test]
fn immediate_connect_error_blames_only_unreachable_servers() {
    for error in [Errno::CONNREFUSED, Errno::NETUNREACH, Errno::HOSTUNREACH, Errno::TIMEDOUT] {
        assert_eq!(job_end(error), JobEnd::NotConnected, "{error}");
    }
    for error in [Errno::MFILE, Errno::NFILE, Errno::NOBUFS, Errno::ADDRNOTAVAIL, Errno::AGAIN] {
        assert_eq!(job_end(error), JobEnd::NotSent, "{error}");
    }
}
