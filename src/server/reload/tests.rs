//! Tests of `reload`.

use super::*;

/// Clients that take their answers slowly would else have all others refused.
#[test]
fn what_slow_readers_hold_is_refused_to_them_first() {
    let budget = ResourceBudget::of(&ProcessLimits { memory_mb: 48, sockets: 384 }, 1);
    for (held, slow, others) in
        [(11_000_000, false, false), (13_000_000, true, false), (16_000_000, true, true)]
    {
        assert_eq!((budget.is_full(held, SLOW), budget.is_full(held, SLOW - 1)), (slow, others), "{held}");
    }
    assert!(budget.requests[1] < budget.answers, "what is taken in can be answered");
}

/// Two processes count as one edge proxy.
#[test]
fn what_two_processes_may_hold_together_is_what_one_may() {
    for (sockets, memory_mb) in [(256, 32), (384, 48), (1024, 192)] {
        let limits = ProcessLimits { memory_mb, sockets };
        let (one, two) = (ResourceBudget::of(&limits, 1), ResourceBudget::of(&limits, 2));
        assert!(one.clients + one.servers + OTHER_SOCKETS <= sockets);
        // Clients' connections are counted together.
        assert!(two.clients + 2 * (two.servers + OTHER_SOCKETS) <= sockets, "{sockets}");
        assert!(two.clients >= sockets.div_ceil(3), "usual clients hold up to a third");
        assert!(2 * two.answers <= one.answers && 2 * two.requests[1] <= one.requests[1]);
    }
}
