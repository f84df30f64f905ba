//! Tests of `budget`.

use super::*;

/// Without the lower limit, clients that read their answers slowly would cause all other requests to be
/// rejected.
#[test]
fn slow_readers_are_rejected_before_others() {
    let budget = ResourceBudget::new(&ProcessLimits { memory_mb: 48, sockets: 384 }, 1);
    for (held, slow, others) in
        [(11_000_000, false, false), (13_000_000, true, false), (16_000_000, true, true)]
    {
        let full = (budget.is_full(held, SLOW_READER_BYTES), budget.is_full(held, SLOW_READER_BYTES - 1));
        assert_eq!(full, (slow, others), "{held}");
    }
    assert!(
        budget.max_bytes_for_requests < budget.max_bytes_for_answers,
        "an admitted request can be answered"
    );
}

/// During an upgrade, two processes share the limits of one edge proxy.
#[test]
fn two_processes_together_stay_within_the_limits_of_one() {
    for (sockets, memory_mb) in [(256, 32), (384, 48), (1024, 192)] {
        let limits = ProcessLimits { memory_mb, sockets };
        let (one, two) = (ResourceBudget::new(&limits, 1), ResourceBudget::new(&limits, 2));
        assert!(one.max_client_connections + one.max_server_connections + OTHER_DESCRIPTORS <= sockets);
        // Clients' connections of both processes count against one limit.
        assert!(
            two.max_client_connections + 2 * (two.max_server_connections + OTHER_DESCRIPTORS) <= sockets,
            "{sockets}"
        );
        assert!(two.max_client_connections >= sockets.div_ceil(3), "usual clients hold up to a third");
        assert!(2 * two.max_bytes_for_answers <= one.max_bytes_for_answers);
        assert!(2 * two.max_bytes_for_requests <= one.max_bytes_for_requests);
    }
}
