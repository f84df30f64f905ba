//! One client's stream, as a pure state machine: what it subscribed to, what it has, and what to send it next.
//!
//! Both variants of the aggregated discovery service ("xDS REST and gRPC protocol", envoyproxy.io): state of the
//! world (`DiscoveryRequest`/`DiscoveryResponse`) and incremental (`DeltaDiscoveryRequest`/`DeltaDiscoveryResponse`).
//! Its rules:
//!
//! - one response of a type is in flight until it is ACKed or NACKed: a client that does not read or answer costs one
//!   response, and the next one it gets is the newest, whatever it missed;
//! - a version that was NACKed is not sent to that client again; the next one that differs is;
//! - a client never gets an older version than it ACKed. Versions of one run can be compared. A client that comes with
//!   a version of another run waits until a poll of the control feed that was begun after it came has been answered:
//!   what the other run had sent was in the feed by then.

mod message;
mod subscription;

use super::resource::{PerType, ResourceType};
use super::snapshot::{ResourceSet, Snapshot};
use super::version::{Epoch, Nonce, PollNumber, Sequence, Version};
pub use message::{ClientRequest, RequestEffect, ServerResponse, Variant};
use std::sync::Arc;
use subscription::{RejectedVersions, Subscription};

/// What a client rejected, to be kept for its next stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rejections(PerType<RejectedVersions>);

impl Rejections {
    /// Whether nothing was rejected.
    pub fn is_empty(&self) -> bool {
        self.0.values().all(RejectedVersions::is_empty)
    }
}

/// One stream.
#[derive(Debug)]
pub struct Session {
    variant: Variant,
    point: String,
    epoch: Epoch,
    /// Responses so far; the nonces are their numbers.
    responses: u64,
    subscriptions: PerType<Subscription>,
}

impl Session {
    /// A stream of a client at a point, in this run of the service.
    pub fn new(variant: Variant, point: &str, epoch: Epoch) -> Self {
        Session { variant, point: point.to_owned(), epoch, responses: 0, subscriptions: PerType::default() }
    }

    /// Goes on with what the same client rejected on an earlier stream of this run: that is not sent again either.
    pub fn restore_rejections(&mut self, rejections: Rejections) {
        for (resource_type, rejected) in rejections.0 {
            self.subscriptions.get_mut(resource_type).rejected = rejected;
        }
    }

    /// What the client has rejected and not replaced.
    pub fn rejections(&self) -> Rejections {
        let rejected = |resource_type| self.subscriptions.get(resource_type).rejected.clone();
        Rejections(PerType::from_fn(rejected))
    }

    /// The point whose resources it gets.
    pub fn point(&self) -> &str {
        &self.point
    }

    /// The sequence number of a type that the client ACKed last.
    pub fn acked(&self, resource_type: ResourceType) -> Option<Sequence> {
        self.subscriptions.get(resource_type).acked
    }

    /// Takes a request. `newest_poll` is a poll of the control feed that is begun after it came.
    pub fn handle(
        &mut self,
        resource_type: ResourceType,
        request: &ClientRequest,
        newest_poll: PollNumber,
    ) -> RequestEffect {
        let subscription = self.subscriptions.get_mut(resource_type);
        let mut effect = RequestEffect::Subscribed;
        if let Some(nonce) = &request.nonce {
            effect = subscription.handle_answer(nonce, request.error.as_deref());
        } else if !subscription.is_started() {
            subscription.start(self.epoch, request, newest_poll);
        }
        // Incremental subscriptions may change with any message; of a stale one only the ACK or NACK is ignored.
        if effect != RequestEffect::Stale || self.variant == Variant::Incremental {
            subscription.resubscribe(self.variant, request);
        }
        effect
    }

    /// The next response, if one is due: of the first type that has something to send and nothing in flight.
    pub fn next(&mut self, snapshot: &Snapshot) -> Option<ServerResponse> {
        let point = Arc::clone(snapshot.points.get(&self.point)?);
        let mut types = ResourceType::ALL.into_iter();
        types.find_map(|resource_type| {
            self.next_of(resource_type, point.get(resource_type), snapshot.answered_poll)
        })
    }

    fn next_of(
        &mut self,
        resource_type: ResourceType,
        set: &ResourceSet,
        answered_poll: PollNumber,
    ) -> Option<ServerResponse> {
        let subscription = self.subscriptions.get_mut(resource_type);
        if !subscription.is_ready(answered_poll) {
            return None;
        }
        let update = subscription.next(self.variant, set)?;
        self.responses += 1;
        let nonce = Nonce(self.responses.to_string());
        subscription.record_sent(self.variant, nonce.clone(), set.version, &update);
        Some(ServerResponse {
            resource_type,
            version: Version { epoch: self.epoch, sequence: set.version },
            nonce,
            resources: update.resources,
            removed: update.removed,
        })
    }
}
