//! Stand-ins for the systems around the edge proxy: hosts, the control feed, clients and whole sites. The
//! simulator runs them on a virtual network, the laboratory on loopback sockets. This module depends on
//! neither.
//!
//! - [`host`] and [`fleet`]: caches, parents and the origin, and how they answer requests.
//! - [`line_protocol`]: the wire protocol of the hosts.
//! - [`ids`]: identifiers of hosts, clients and connections.
//! - [`feed`]: a control feed on loopback.
//! - [`thrift_client`]: a client of the Thrift front.
//! - [`site`]: generated configurations of sites.
//! - [`faults`]: the faults of a run, drawn from a seed.

pub mod faults;
pub mod feed;
pub mod fleet;
pub mod host;
pub mod ids;
pub mod line_protocol;
pub mod site;
pub mod thrift_client;
