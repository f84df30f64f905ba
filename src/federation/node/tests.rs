//! Members in one process that pass messages to each other, without loss.

use super::*;
use crate::federation::tests::state;
use std::collections::BTreeMap;
use std::convert::Infallible;

const TUNING: Tuning = Tuning { election_ticks: 10, heartbeat_ticks: 2, compact_after: 100 };
/// Ticks within which members without faults elect a leader.
const MOST_TICKS: usize = 200;

struct NoStorage;

impl DurableStorage for NoStorage {
    type Error = Infallible;

    fn save(&mut self, _: &LogUpdate) -> Result<(), Infallible> {
        Ok(())
    }
}

/// Drives all members until none has anything more to say.
fn exchange(nodes: &mut BTreeMap<MemberId, Node>) {
    loop {
        let process = |node: &mut Node| node.process_ready(&mut NoStorage).expect("nothing fails");
        let messages: Vec<MessageRecord> = nodes.values_mut().flat_map(process).collect();
        if messages.is_empty() {
            return;
        }
        for message in messages {
            nodes.get_mut(&message.to).expect("a member").step(&message).expect("a member's");
        }
    }
}

#[test]
fn removed_leader_reports_no_leader() {
    let saved = founding_log(&state(&[(1, true), (2, true)]));
    let node = |id| (MemberId(id), Node::new(MemberId(id), saved.clone(), TUNING, id).expect("usable"));
    let mut nodes: BTreeMap<MemberId, Node> = (1..=2).map(node).collect();
    for _ in 0..MOST_TICKS {
        nodes.values_mut().for_each(Node::tick);
        exchange(&mut nodes);
    }
    let leader = nodes.values().find(|node| node.is_leader()).expect("a leader").id();
    assert_eq!(nodes[&leader].leadership().leader, leader);
    assert!(nodes.get_mut(&leader).expect("it").propose_change(&Change::Remove(leader)));
    exchange(&mut nodes);
    let removed = &nodes[&leader];
    assert_eq!(
        (removed.role(), removed.is_leader(), removed.leadership().leader),
        ("removed", false, MemberId::NONE)
    );
}
