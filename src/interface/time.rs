//! Time: instants of the monotonic clock, Unix times, and the spans between them.
//!
//! All three count whole microseconds in an `i64`, which holds 292,000 years. They are types of their own so that an
//! instant cannot be taken for a span, nor a time of the wall clock for one of the monotonic clock.

use std::iter::Sum;
use std::ops::{Add, AddAssign, Div, Mul, Neg, Rem, Sub, SubAssign};

const MICROS_PER_MILLI: i64 = 1_000;
const MICROS_PER_SEC: i64 = 1_000_000;

/// A span of time, in microseconds; negative where the later of two instants was taken from the earlier.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Span(i64);

/// A point on the monotonic clock. Its zero has no meaning: only differences of two instants do.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Instant(i64);

/// A point on the wall clock, as Unix time. The wall clock may be stepped, so differences of two are no spans.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct UnixTime(i64);

impl Span {
    /// No time at all.
    pub const ZERO: Span = Span(0);
    /// The longest span.
    pub const MAX: Span = Span(i64::MAX);

    /// A span of so many microseconds.
    pub const fn from_micros(micros: i64) -> Self {
        Span(micros)
    }

    /// A span of so many milliseconds.
    pub const fn from_millis(millis: i64) -> Self {
        Span(millis * MICROS_PER_MILLI)
    }

    /// A span of so many seconds.
    pub const fn from_secs(secs: i64) -> Self {
        Span(secs * MICROS_PER_SEC)
    }

    /// A span of milliseconds with a fraction, rounded to the nearest microsecond.
    pub fn from_millis_f64(millis: f64) -> Self {
        Span((millis * MICROS_PER_MILLI as f64).round() as i64)
    }

    /// A span of microseconds with a fraction, which is cut off.
    pub fn from_micros_f64(micros: f64) -> Self {
        Span(micros as i64)
    }

    /// The whole microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// The whole milliseconds; the rest is cut off.
    pub const fn as_millis(self) -> i64 {
        self.0 / MICROS_PER_MILLI
    }

    /// The whole seconds; the rest is cut off.
    pub const fn as_secs(self) -> i64 {
        self.0 / MICROS_PER_SEC
    }

    /// The whole seconds, rounded up: a client that waits for as long is never early.
    pub const fn as_secs_rounded_up(self) -> i64 {
        (self.0 + MICROS_PER_SEC - 1) / MICROS_PER_SEC
    }

    /// The microseconds, for arithmetic with fractions.
    pub fn as_micros_f64(self) -> f64 {
        self.0 as f64
    }

    /// The milliseconds with their fraction.
    pub fn as_millis_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_MILLI as f64
    }

    /// The seconds with their fraction.
    pub fn as_secs_f64(self) -> f64 {
        self.0 as f64 / MICROS_PER_SEC as f64
    }

    /// How many times as long as another span it is.
    pub fn ratio(self, other: Span) -> f64 {
        self.0 as f64 / other.0 as f64
    }

    /// Its length without a sign.
    pub const fn abs(self) -> Span {
        Span(self.0.abs())
    }

    /// The sum, or the longest span where that is too long.
    pub const fn saturating_add(self, other: Span) -> Span {
        Span(self.0.saturating_add(other.0))
    }

    /// The difference, or the longest span of its sign where that is too long.
    pub const fn saturating_sub(self, other: Span) -> Span {
        Span(self.0.saturating_sub(other.0))
    }

    /// The product, or the longest span of its sign where that is too long.
    pub const fn saturating_mul(self, times: i64) -> Span {
        Span(self.0.saturating_mul(times))
    }

    /// The span for the standard library; a negative one is none.
    pub fn to_std(self) -> std::time::Duration {
        std::time::Duration::from_micros(self.0.max(0) as u64)
    }
}

impl Instant {
    /// The clock's zero, to which nothing is tied: a start for clocks that are passed in.
    pub const ZERO: Instant = Instant(0);
    /// The first instant: before all others.
    pub const MIN: Instant = Instant(i64::MIN);
    /// The last instant, which never comes.
    pub const MAX: Instant = Instant(i64::MAX);

    /// The instant at which the clock reads so many microseconds.
    pub const fn from_micros(micros: i64) -> Self {
        Instant(micros)
    }

    /// What the clock reads, in microseconds.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// How long ago another instant was; zero if it is to come.
    pub fn saturating_since(self, earlier: Instant) -> Span {
        (self - earlier).max(Span::ZERO)
    }

    /// The instant a span later, or the last one where there is none.
    pub const fn saturating_add(self, span: Span) -> Instant {
        Instant(self.0.saturating_add(span.0))
    }
}

impl UnixTime {
    /// The Unix epoch.
    pub const EPOCH: UnixTime = UnixTime(0);

    /// So many microseconds after the epoch.
    pub const fn from_micros(micros: i64) -> Self {
        UnixTime(micros)
    }

    /// So many milliseconds after the epoch, or the last time where there is none.
    pub const fn from_millis(millis: i64) -> Self {
        UnixTime(millis.saturating_mul(MICROS_PER_MILLI))
    }

    /// So many seconds after the epoch, or the last time where there is none.
    pub const fn from_secs(secs: i64) -> Self {
        UnixTime(secs.saturating_mul(MICROS_PER_SEC))
    }

    /// Microseconds since the epoch.
    pub const fn as_micros(self) -> i64 {
        self.0
    }

    /// Whole milliseconds since the epoch.
    pub const fn as_millis(self) -> i64 {
        self.0 / MICROS_PER_MILLI
    }

    /// Whole seconds since the epoch.
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
    /// The span, or the longest one where the duration is longer.
    fn from(duration: std::time::Duration) -> Span {
        Span(i64::try_from(duration.as_micros()).unwrap_or(i64::MAX))
    }
}
