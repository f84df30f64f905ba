//! One client's stream as a pure state machine: the client's subscriptions, the versions that it has, and the next
//! response.
//!
//! It implements both variants of the aggregated discovery service ("xDS REST and gRPC protocol", envoyproxy.io):
//! state of the world (`DiscoveryRequest`/`DiscoveryResponse`) and incremental
//! (`DeltaDiscoveryRequest`/`DeltaDiscoveryResponse`). Its rules:
//!
//! - One response of a type is in flight until it is ACKed or NACKed. So a client that does not read or answer costs
//!   one response, and the next response that it gets is the newest, whatever it missed.
//! - A version that was NACKed is not sent to that client again; the next version that differs is sent.
//! - A client never gets an older version than the one it ACKed. Versions of one run can be compared. A client with a
//!   version of another run waits until a poll of the control feed that was sent after its request has been answered,
//!   because the feed held all that the other run had sent by then.

mod message;
mod subscription;

use super::resource::{PerType, ResourceType};
use super::snapshot::{ResourceSet, Snapshot};
use super::version::{Epoch, Nonce, PollNumber, Sequence, Version};
pub use message::{ClientRequest, RequestEffect, ServerResponse, Variant};
use std::sync::Arc;
use subscription::{RejectedVersions, Subscription};

/// The versions that a client rejected, to be restored in its next stream.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rejections(PerType<RejectedVersions>);

impl Rejections {
    /// Whether nothing was rejected.
    pub fn is_empty(&self) -> bool {
        self.0.values().all(RejectedVersions::is_empty)
    }
}

/// The state of one stream.
#[derive(Debug)]
pub struct Session {
    variant: Variant,
    point: String,
    epoch: Epoch,
    /// Number of responses so far. Each response's number is its nonce.
    responses: u64,
    subscriptions: PerType<Subscription>,
}

impl Session {
    /// Creates the state of a new stream from a client at a point. `epoch` is this run of the service.
    pub fn new(variant: Variant, point: &str, epoch: Epoch) -> Self {
        Session { variant, point: point.to_owned(), epoch, responses: 0, subscriptions: PerType::default() }
    }

    /// Restores the versions that the same client rejected on an earlier stream of this run, so that they are not sent
    /// again.
    pub fn restore_rejections(&mut self, rejections: Rejections) {
        for (resource_type, rejected) in rejections.0 {
            self.subscriptions.get_mut(resource_type).rejected = rejected;
        }
    }

    /// Returns the versions that the client has rejected, for its next stream. An ACK clears the rejected resource set.
    pub fn rejections(&self) -> Rejections {
        let rejected = |resource_type| self.subscriptions.get(resource_type).rejected.clone();
        Rejections(PerType::from_fn(rejected))
    }

    /// Returns the name of the point whose resources the client gets.
    pub fn point(&self) -> &str {
        &self.point
    }

    /// Returns the sequence number that the client ACKed last for a type; `None` if there is none.
    pub fn acked(&self, resource_type: ResourceType) -> Option<Sequence> {
        self.subscriptions.get(resource_type).acked
    }

    /// Handles a request. `newest_poll` is the newest poll of the control feed that may have been sent before the
    /// request arrived.
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
        // Any incremental request may change the subscription; if it is stale, only its ACK or NACK is ignored.
        if effect != RequestEffect::Stale || self.variant == Variant::Incremental {
            subscription.resubscribe(self.variant, request);
        }
        effect
    }

    /// Returns the next response, for the first type that has something to send and no response in flight; `None` if
    /// there is nothing to send.
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
