//! The program on real sockets: one test for each rule, with clients and servers written here.

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
