//! Time.

/// A time or a span, in microseconds.
pub type Micros = i64;
/// A point on the monotonic clock.
pub type Instant = Micros;
/// A span of time.
pub type Span = Micros;
/// A point on the wall clock.
pub type UnixTime = Micros;
