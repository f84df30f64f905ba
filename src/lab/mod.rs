//! The project's own laboratory: load and experiment tools that drive the edge proxy over its real fronts on
//! loopback. Nothing here is on the data path.

pub mod caches;
pub mod feed;
pub mod flood;
pub mod made;
pub mod replay;
pub mod report;
pub mod site;
pub mod thrift_client;
pub mod views;
#[cfg(feature = "control")]
pub mod xds;
