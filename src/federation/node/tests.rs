//! Tests of members that exchange messages in one process, without loss.

use super::*;
use crate::federation::tests::state;
use std::collections::BTreeMap;
use std::convert::Infallible;

const TUNING: Tuning = Tuning { election_ticks: 10, heartbeat_ticks: 2, compact_after: 100 };
/// The maximum number of ticks in which members without faults elect a leader.
const MAX_TICKS: usize = 200;

struct NoStorage;

impl DurableStorage for NoStorage {
    type Error = Infallible;

    fn save(&mut self, _: &LogUpdate) -> Result<(), Infallible> {
        Ok(())
    }
}

/// Delivers messages between all members until none is left.
fn exchange(nodes: &mut BTreeMap<MemberId, Node>) {
    loop {
        let process = |node: &mut Node| node.process_ready(&mut NoStorage).expect("the storage never fails");
        let messages: Vec<MessageRecord> = nodes.values_mut().flat_map(process).collect();
        if messages.is_empty() {
            return;
        }
        for message in messages {
            nodes.get_mut(&message.to).expect("a known member").step(&message).expect("a valid message");
        }
    }
}

#[test]
fn removed_leader_reports_no_leader() {
    let saved = founding_log(&state(&[(1, true), (2, true)]));
    let node = |id| (MemberId(id), Node::new(MemberId(id), saved.clone(), TUNING, id).expect("a valid log"));
    let mut nodes: BTreeMap<MemberId, Node> = (1..=2).map(node).collect();
    for _ in 0..MAX_TICKS {
        nodes.values_mut().for_each(Node::tick);
        exchange(&mut nodes);
    }
    let leader = nodes.values().find(|node| node.is_leader()).expect("a leader").id();
    assert_eq!(nodes[&leader].leadership().leader, leader);
    assert!(nodes.get_mut(&leader).expect("the leader").propose_change(&Change::Remove(leader)));
    exchange(&mut nodes);
    let removed = &nodes[&leader];
    assert_eq!(
        (removed.role(), removed.is_leader(), removed.leadership().leader),
        ("removed", false, MemberId::NONE)
    );
}
