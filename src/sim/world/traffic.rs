//! Draws the requests of a run from the seed.

use super::event_queue::ScheduledEvent;
use super::{random_stream, ClientId, World, START};
use crate::interface::{Instant, Span};
use rand::Rng;
use rand_chacha::ChaCha8Rng;

/// Random stream that draws the requests.
const TRAFFIC_STREAM: u64 = 2;
/// Earliest time of a request after the start of the run, in ms.
const FIRST_REQUEST_MS: i64 = 50;
/// Number of parts of each object.
const PARTS: u32 = 2;
/// On average, one in this many requests is cancelled by its client.
const REQUESTS_PER_CANCELLATION: i32 = 20;
/// Id of the first object; the others follow.
const FIRST_OBJECT: u64 = 0xab00;
/// Number of low bits of a trace id that hold the request's number; the seed is in the bits above.
const REQUEST_BITS: u32 = 20;

/// A class of requests that clients send.
#[derive(Clone, Copy)]
struct TrafficClass {
    name: &'static str,
    /// Longest client timeout, in ms.
    max_timeout_ms: i64,
    /// How often it is drawn, relative to the other classes.
    weight: usize,
}

const CLASSES: [TrafficClass; 4] = [
    TrafficClass { name: "piece", max_timeout_ms: 900, weight: 3 },
    TrafficClass { name: "replay", max_timeout_ms: 4500, weight: 1 },
    TrafficClass { name: "standing", max_timeout_ms: 1800, weight: 1 },
    TrafficClass { name: "result", max_timeout_ms: 2400, weight: 2 },
];

/// Index of a request among those of its run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct RequestNumber(usize);

impl RequestNumber {
    pub(super) fn index(self) -> usize {
        self.0
    }
}

/// A request that a client sends in a run.
#[derive(Clone, Debug)]
pub(super) struct PlannedRequest {
    pub(super) client: ClientId,
    pub(super) class: &'static str,
    pub(super) object: String,
    pub(super) part: u32,
    pub(super) client_timeout: Span,
    /// Trace id of the request, by which rules and hosts identify it.
    pub(super) trace: String,
    /// How long after sending the client cancels the request; `None`: never.
    pub(super) cancelled_after: Option<Span>,
}

impl PlannedRequest {
    pub(super) fn is_write(&self) -> bool {
        self.class == "result"
    }
}

/// Returns the id of an object by its number.
pub(super) fn object_id(number: u64) -> String {
    format!("{:016x}", FIRST_OBJECT + number)
}

impl World<'_> {
    pub(super) fn request(&self, number: RequestNumber) -> &PlannedRequest {
        &self.requests[number.0]
    }

    /// Draws all requests and schedules them.
    pub(super) fn draw_requests(&mut self) {
        let mut random = random_stream(self.seed, TRAFFIC_STREAM);
        for number in 0..self.plan.requests {
            let at = self.draw_sending_time(&mut random);
            let request = self.draw_request(number, &mut random);
            self.requests.push(request);
            self.event_queue.schedule(at, ScheduledEvent::SendRequest(RequestNumber(number)));
        }
    }

    fn draw_sending_time(&self, random: &mut ChaCha8Rng) -> Instant {
        let end_ms = self.plan.duration_ms.max(FIRST_REQUEST_MS + 1);
        START + Span::from_millis(random.random_range(FIRST_REQUEST_MS..end_ms))
    }

    fn draw_request(&self, number: usize, random: &mut ChaCha8Rng) -> PlannedRequest {
        let class = draw_class(random);
        PlannedRequest {
            object: object_id(self.draw_object(random)),
            client: ClientId(random.random_range(0..self.plan.clients)),
            class: class.name,
            part: random.random_range(0..PARTS),
            client_timeout: Span::from_millis(random.random_range(200..=class.max_timeout_ms)),
            trace: format!("{:016x}", (self.seed << REQUEST_BITS) + number as u64),
            cancelled_after: (random.random_range(0..REQUESTS_PER_CANCELLATION) == 0)
                .then(|| Span::from_millis(random.random_range(1..200))),
        }
    }

    /// Draws an object's number. A uniform draw is squared, so that a few objects are requested far more
    /// often than the others.
    fn draw_object(&self, random: &mut ChaCha8Rng) -> u64 {
        let part = random.random_range(0.0..1.0_f64);
        (part * part * self.plan.objects as f64) as u64
    }
}

fn draw_class(random: &mut ChaCha8Rng) -> TrafficClass {
    let total: usize = CLASSES.iter().map(|class| class.weight).sum();
    let drawn = random.random_range(0..total);
    let mut each = CLASSES.iter().flat_map(|class| std::iter::repeat_n(*class, class.weight));
    each.nth(drawn).unwrap_or(CLASSES[0])
}
