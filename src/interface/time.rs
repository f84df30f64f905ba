//! Instants of the monotonic clock, Unix times, and spans between two points in time.
//!
//! All three types count whole microseconds in an `i64`, which covers 292,000 years. They are separate types so that an
//! instant cannot be mistaken for a span, nor a time of the wall clock for one of the monotonic clock.

use std::iter::Sum;
use std::ops::{Add, AddAssign, Div, Mul, Neg, Rem, Sub, SubAssign};

const MICROS_PER_MILLI: i64 = 1_000;
const MICROS_PER_SEC: i64 = 1_000_000;

/// A span of time, in microseconds. The difference of an earlier and a later instant is negative.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(i64);

/// A point in time on the monotonic clock. Only differences of two instants have a meaning, since the clock's zero is
/// arbitrary.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(i64);

/// A point in time on the wall clock, as Unix time. The wall clock may be stepped, so the difference of two such times
/// is not always the time that passed between them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnixTime(i64);

impl Span {
    /// The span of length zero.
    pub const ZERO: Span = Span(0);
    /// The longest span.
    pub const MAX: Span = Span(i64::MAX);

    /// Creates a span from microseconds.
    pub const fn from_micros(micros: i64) -> Self {
        Span(micros)
    }

    /// Creates a span from milliseconds.
    pub const fn from_millis(millis: i64) -> Self {
        Span(millis * MICROS_PER_MILLI)
    }

    /// Creates a span from seconds.
    pub const fn from_secs(secs: i64) -> Self {
        Span(secs * MICROS_PER_SEC)
    }

    /// Creates a span from fractional milliseconds, rounded to the nearest microsecond.
    pub fn from_millis_f64(millis: f64) -> Self {
        Span((millis * MICROS_PER_MILLI as f64).round() as i64)
    }

    /// Creates a span from fractional microseconds, truncated to whole ones.
    pub fn from_micros_f64(micros: f64) -> Self {
        Span(micros as i64)
    }

    /// Returns the length in microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// Returns the length in milliseconds, truncated to whole ones.
    pub const fn as_millis(self) -> i64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the length in seconds, truncated to whole ones.
    pub const fn as_secs(self) -> i64 {
        self.0 / MICROS_PER_SEC
    }

    /// Returns the length in seconds, rounded up, so that a client that waits for this long is never early.
    pub const fn as_secs_rounded_up(self) -> i64 {
        (self.0 + MICROS_PER_SEC - 1) / MICROS_PER_SEC
    }

    /// Returns the length in microseconds, for floating-point arithmetic.
    pub fn as_micros_f64(self) -> f64 {
        self.0 as f64
    }

    /// Returns the length in fractional milliseconds.
    pub fn as_millis_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_MILLI as f64
    }

    /// Returns the length in fractional seconds.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SEC as f64
    }

    /// Returns the length as a multiple of another span.
    pub fn ratio(self, other: Span) -> f64 {
        self.0 as f64 / other.0 as f64
    }

    /// Returns the absolute value.
    pub const fn abs(self) -> Span {
        Span(self.0.abs())
    }

    /// Adds a span; on overflow returns the span of the greatest length with the same sign.
    pub const fn saturating_add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }

    /// Subtracts a span; on overflow returns the span of the greatest length with the same sign.
    pub const fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }

    /// Multiplies by a number; on overflow returns the span of the greatest length with the same sign.
    pub const fn saturating_mul(self, times: i64) -> Span {
        Span(self.0.saturating_mul(times))
    }

    /// Converts to the standard library's type; a negative span becomes zero.
    pub fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0.max(0) as u64)
    }
}

impl Instant {
    /// The zero of the clock; a start for clocks whose readings are passed in.
    pub const ZERO: Instant = Instant(0);
    /// The earliest instant, before all others.
    pub const MIN: Instant = Instant(i64::MIN);
    /// The latest instant; used for deadlines that never pass.
    pub const MAX: Instant = Instant(i64::MAX);

    /// Creates an instant from a clock reading in microseconds.
    pub const fn from_micros(micros: i64) -> Self {
        Instant(micros)
    }

    /// Returns the clock reading in microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// Returns the time since another instant; zero if that instant is later.
    pub fn saturating_since(self, earlier: Instant) -> Span {
        (self - earlier).max(Span::ZERO)
    }

    /// Adds a span; on overflow returns the earliest or latest instant.
    pub const fn saturating_add(self, span: Span) -> Instant {
        Instant(self.0.saturating_add(span.0))
    }
}

impl UnixTime {
    /// The Unix epoch.
    pub const EPOCH: UnixTime = UnixTime(0);

    /// Creates a time from microseconds since the epoch.
    pub const fn from_micros(micros: i64) -> Self {
        UnixTime(micros)
    }

    /// Creates a time from milliseconds since the epoch; on overflow returns the earliest or latest time.
    pub const fn from_millis(millis: i64) -> Self {
        UnixTime(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// Creates a time from seconds since the epoch; on overflow returns the earliest or latest time.
    pub const fn from_secs(secs: i64) -> Self {
        UnixTime(secs.saturating_mul(MICROS_PER_SEC))
    }

    /// Returns the microseconds since the epoch.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// Returns the milliseconds since the epoch, truncated to whole ones.
    pub const fn as_millis(self) -> i64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Returns the seconds since the epoch, truncated to whole ones.
    pub const fn as_secs(self) -> i64 {
        self.0 / MICROS_PER_SEC
    }
}

impl Add<Span> for Instant {
    type Output = Instant;
    fn add(self, span: Span) -> Instant {
        Instant(self.0 + span.0)
    }
}

impl Sub<Span> for Instant {
    type Output = Instant;
    fn sub(self, span: Span) -> Instant {
        Instant(self.0 - span.0)
    }
}

impl Sub for Instant {
    type Output = Span;
    fn sub(self, earlier: Instant) -> Span {
        Span(self.0 - earlier.0)
    }
}

impl AddAssign<Span> for Instant {
    fn add_assign(&mut self, span: Span) {
        self.0 += span.0;
    }
}

impl Add<Span> for UnixTime {
    type Output = UnixTime;
    fn add(self, span: Span) -> UnixTime {
        UnixTime(self.0 + span.0)
    }
}

impl Sub<Span> for UnixTime {
    type Output = UnixTime;
    fn sub(self, span: Span) -> UnixTime {
        UnixTime(self.0 - span.0)
    }
}

impl Sub for UnixTime {
    type Output = Span;
    fn sub(self, earlier: UnixTime) -> Span {
        Span(self.0 - earlier.0)
    }
}

impl Add for Span {
    type Output = Span;
    fn add(self, other: Span) -> Span {
        Span(self.0 + other.0)
    }
}

impl Sub for Span {
    type Output = Span;
    fn sub(self, other: Span) -> Span {
        Span(self.0 - other.0)
    }
}

impl Neg for Span {
    type Output = Span;
    fn neg(self) -> Span {
        Span(-self.0)
    }
}

impl AddAssign for Span {
    fn add_assign(&mut self, other: Span) {
        self.0 += other.0;
    }
}

impl SubAssign for Span {
    fn sub_assign(&mut self, other: Span) {
        self.0 -= other.0;
    }
}

impl Mul<i64> for Span {
    type Output = Span;
    fn mul(self, times: i64) -> Span {
        Span(self.0 * times)
    }
}

impl Mul<Span> for i64 {
    type Output = Span;
    fn mul(self, span: Span) -> Span {
        Span(self * span.0)
    }
}

impl Div<i64> for Span {
    type Output = Span;
    fn div(self, parts: i64) -> Span {
        Span(self.0 / parts)
    }
}

impl Div for Span {
    type Output = i64;
    fn div(self, other: Span) -> i64 {
        self.0 / other.0
    }
}

impl Rem for Span {
    type Output = Span;
    fn rem(self, other: Span) -> Span {
        Span(self.0 % other.0)
    }
}

impl Sum for Span {
    fn sum<I: Iterator<Item = Span>>(spans: I) -> Span {
        spans.fold(Span::ZERO, Add::add)
    }
}

impl From<std::time::Duration> for Span {
    /// Converts a duration; one that is too long becomes the longest span.
    fn from(duration: std::time::Duration) -> Span {
        Span(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
    }
}
