//! Stand-ins for what surrounds the edge proxy: hosts, the control feed, clients and whole sites. The simulator plays
//! them on a virtual network, the laboratory on loopback sockets; this module knows neither.
//!
//! - [`host`] and [`fleet`]: caches, parents and the origin, and what they answer; [`line_protocol`] is their wire
//!   form.
//! - [`ids`]: the numbers of hosts, clients and connections.
//! - [`feed`]: a control feed on loopback.
//! - [`thrift_client`]: a client of the Thrift front.
//! - [`site`]: configurations of made-up sites.
//! - [`faults`]: what goes wrong in a run, drawn from a seed.

pub mod faults;
pub mod feed;
pub mod fleet;
pub mod host;
pub mod ids;
pub mod line_protocol;
pub mod site;
pub mod thrift_client;
