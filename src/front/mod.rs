//! The fronts: each turns its wire's messages into asks and the final answers back, and decides nothing.

pub mod admin;
pub mod http;
pub mod signed;
pub mod thrift;
