//! Tests of `turn_time` on a simulated network.

use super::*;
use crate::net::fabric::{host, ActorEvent};
use crate::server::simulated_server::{client, SimulatedServer, FRONT, START};
use crate::standin::thrift_client;

const MS: Span = Span::from_millis(1);
const CLIENTS: u16 = 5;

/// Guards against a turn that lasts as long as all ready connections together need: after its time, they are
/// only queued, and read in the next turns.
#[test]
fn connections_that_are_ready_after_the_time_of_a_turn_are_read_in_the_next() {
    let SimulatedServer { fabric, mut server, .. } = SimulatedServer::new();
    let mut ready = Vec::new();
    let advance = |to| {
        fabric.advance(to);
        fabric.run_due_events();
    };
    let links: Vec<u64> =
        (0..CLIENTS).map(|number| fabric.connect_client(client(number), host(FRONT))).collect();
    advance(START + 2 * MS);
    server.turn(&mut ready).expect("the turn succeeds");
    links.iter().for_each(|link| fabric.send(*link, &thrift_client::ping(1)));
    advance(START + 4 * MS);
    server.now = server.clock.now();
    server.net.poll(None, &mut ready).expect("the poll succeeds");
    let is_over = server.now - MS;
    ready.drain(..).for_each(|event| server.handle_event(event, is_over));
    assert_eq!(server.thrift.connections_with_more_to_read(), usize::from(CLIENTS));
    assert_eq!(server.next_due(), Some(server.now), "the next turn follows at once");
    fabric.take_actor_events();
    server.turn(&mut ready).expect("the turn succeeds");
    advance(START + 6 * MS);
    let answered = fabric.take_actor_events().into_iter();
    let answered = answered.filter(|event| matches!(event, ActorEvent::Bytes { .. })).count();
    assert_eq!(answered, usize::from(CLIENTS));
}
