//! Runs the program on real sockets, with clients and servers implemented by the tests. Each test checks one rule.

mod admin_endpoint;
mod admission;
mod deadlines;
mod races;
mod shutdown;
mod signed_front;
mod stand_ins;
mod system_calls;
mod thrift_front;
mod upgrade;
