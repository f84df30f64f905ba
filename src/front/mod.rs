//! The fronts: each reads its wire's requests, hands them in as events, and writes the final answers back. They make no
//! routing decisions and do not know the core.
//!
//! - `thrift`: the platform's framed Thrift. `signed`: HTTP/1.1 for signed URLs and tokens. Both have the same modules:
//!   `session` (what is kept of one connection), `reading` (requests in), `answering` (answers out), `closing`
//!   (time-outs and the ends of connections) and `handover` (to a newer process).
//! - `admin`: the endpoint for operators.
//!
//! What they share: `sessions` (a front's table of connections), `lingering` (closing without loss of the last answer),
//! `http` (heads of HTTP/1.1) and `request_handle` (the name under which a caller knows a request).

pub mod admin;
pub mod http;
mod lingering;
mod request_handle;
mod sessions;
pub mod signed;
pub mod thrift;

pub use request_handle::RequestHandle;
