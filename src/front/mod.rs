//! The fronts. Each reads the requests of one protocol, returns them as events, and writes the final answers.
//! A front makes no routing decisions and does not depend on the core.
//!
//! - `thrift`: the platform's framed Thrift. `signed`: HTTP/1.1 for signed URLs and tokens. Both have the
//!   same modules: `session` (state of one connection), `reading` (reads requests), `answering` (writes
//!   answers), `closing` (timeouts and closing of connections) and `handover` (what happens to connections
//!   when a newer process takes over).
//! - `admin`: the admin endpoint for operators.
//!
//! Shared by the fronts: `sessions` (a front's connections), `unread` (those that wait to be read again),
//! `delivery` (answers on their way to slow readers), `lingering` (closing without losing the last answer),
//! `http` (HTTP/1.1 request heads) and `request_handle` (by which a front's caller identifies a request).

pub mod admin;
mod delivery;
pub mod http;
mod lingering;
mod request_handle;
mod sessions;
pub mod signed;
pub mod thrift;
mod unread;

pub use request_handle::RequestHandle;
