//! A client's subscription to one resource type: the subscribed names, the versions that the client has, and the
//! updates that it is missing.

use super::message::{ClientRequest, RequestEffect, Variant};
use crate::control::resource::Resource;
use crate::control::snapshot::ResourceSet;
use crate::control::version::{Epoch, Nonce, PollNumber, Sequence, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The name that subscribes to all resources.
const WILDCARD: &str = "*";

/// The resource names that a client has subscribed to.
#[derive(Clone, Debug, PartialEq, Eq)]
enum ResourceNames {
    /// All resources of the type.
    Wildcard,
    Named(BTreeSet<String>),
}

impl ResourceNames {
    fn contains(&self, name: &str) -> bool {
        match self {
            ResourceNames::Wildcard => true,
            ResourceNames::Named(names) => names.contains(name),
        }
    }
}

/// The content of the next response.
#[derive(Debug, Default)]
pub(super) struct Update {
    pub(super) resources: Vec<Arc<Resource>>,
    /// The names of removed resources.
    pub(super) removed: Vec<String>,
}

impl Update {
    fn is_empty(&self) -> bool {
        self.resources.is_empty() && self.removed.is_empty()
    }

    /// Returns the versions, by name, that the client has after it accepts the update; `None` for removed resources.
    fn versions(&self) -> BTreeMap<String, Option<Sequence>> {
        let mut versions = BTreeMap::new();
        for resource in &self.resources {
            versions.insert(resource.name.clone(), Some(resource.version));
        }
        for name in &self.removed {
            versions.insert(name.clone(), None);
        }
        versions
    }
}

/// A response that was sent and has not been answered.
#[derive(Debug)]
struct InFlight {
    nonce: Nonce,
    sequence: Sequence,
    /// Incremental: the versions of the sent resources by name; `None` for removed ones.
    sent: BTreeMap<String, Option<Sequence>>,
}

/// The versions of one type that a client rejected.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RejectedVersions {
    /// The sequence number of the rejected resource set; `None` if there is none or an ACK followed.
    pub(super) set: Option<Sequence>,
    /// Incremental: the versions of the rejected resources by name.
    pub(super) resources: BTreeMap<String, Sequence>,
}

impl RejectedVersions {
    pub(super) fn is_empty(&self) -> bool {
        self.set.is_none() && self.resources.is_empty()
    }
}

/// The state of a subscription.
#[derive(Debug, Default)]
pub(super) struct Subscription {
    /// The subscribed names; `None` if the client has not requested this type yet.
    subscribed: Option<ResourceNames>,
    in_flight: Option<InFlight>,
    /// The newest sequence number that was sent or that the client had at the start.
    sent: Option<Sequence>,
    pub(super) acked: Option<Sequence>,
    pub(super) rejected: RejectedVersions,
    /// Whether the subscription changed, so that a response is due even if no resource has changed.
    response_due: bool,
    /// Set if the client had a version of another run at the start: nothing is sent until a later poll than this one
    /// has been answered.
    after_poll: Option<PollNumber>,
    /// Incremental: the versions of the client's resources by name; `None` for a version of another run.
    client_versions: BTreeMap<String, Option<Sequence>>,
}

impl Subscription {
    /// Whether the client has requested this type on this stream.
    pub(super) fn is_started(&self) -> bool {
        self.subscribed.is_some()
    }

    /// Whether the next response may be made from a snapshot. `answered_poll` is the newest poll of the control feed
    /// that had been answered when the snapshot was made.
    pub(super) fn is_ready(&self, answered_poll: PollNumber) -> bool {
        let is_recent = self.after_poll.is_none_or(|poll| answered_poll > poll);
        self.is_started() && self.in_flight.is_none() && is_recent
    }

    /// Handles the first request of the type on this stream: records the versions that the client already has.
    /// `newest_poll` is the newest poll of the control feed that may have been sent before the request arrived.
    pub(super) fn start(&mut self, epoch: Epoch, request: &ClientRequest, newest_poll: PollNumber) {
        let mut of_other_run = false;
        let mut of_this_run = |text: &str| match text.parse::<Version>() {
            Ok(version) if version.epoch == epoch => Some(version.sequence),
            _ => {
                of_other_run |= !text.is_empty();
                None
            }
        };
        if let Some(sequence) = of_this_run(&request.version) {
            self.sent = Some(sequence);
            self.acked = Some(sequence);
        }
        for (name, version) in &request.initial_versions {
            let sequence = of_this_run(version);
            self.client_versions.insert(name.clone(), sequence);
        }
        self.after_poll = of_other_run.then_some(newest_poll);
    }

    /// Handles an answer to the response in flight: a NACK if there is an error, otherwise an ACK. An answer with
    /// another nonce is ignored.
    pub(super) fn handle_answer(&mut self, nonce: &Nonce, error: Option<&str>) -> RequestEffect {
        let Some(response) = self.in_flight.take_if(|response| response.nonce == *nonce) else {
            return RequestEffect::Stale;
        };
        match error {
            None => self.accept(response),
            Some(error) => self.reject(response, error),
        }
    }

    fn accept(&mut self, response: InFlight) -> RequestEffect {
        self.acked = Some(response.sequence);
        self.rejected.set = None;
        for (name, version) in response.sent {
            if version.is_some() {
                self.client_versions.insert(name, version);
            } else {
                self.client_versions.remove(&name);
            }
        }
        RequestEffect::Acked(response.sequence)
    }

    fn reject(&mut self, response: InFlight, error: &str) -> RequestEffect {
        self.rejected.set = Some(response.sequence);
        for (name, version) in response.sent {
            self.rejected.resources.extend(version.map(|version| (name, version)));
        }
        RequestEffect::Nacked { sequence: response.sequence, error: error.to_owned() }
    }

    /// Changes the subscribed names according to a request.
    pub(super) fn resubscribe(&mut self, variant: Variant, request: &ClientRequest) {
        match variant {
            Variant::StateOfTheWorld => self.replace_names(request),
            Variant::Incremental => self.change_names(request),
        }
    }

    /// State of the world: replaces the names, since a request holds the complete subscription.
    fn replace_names(&mut self, request: &ClientRequest) {
        let names = &request.subscribe;
        let all = names.is_empty() || names.iter().any(|name| name == WILDCARD);
        let wanted =
            if all { ResourceNames::Wildcard } else { ResourceNames::Named(names.iter().cloned().collect()) };
        if self.subscribed.as_ref().is_some_and(|known| *known != wanted) {
            self.response_due = true;
        }
        self.subscribed = Some(wanted);
    }

    /// Incremental: adds and removes the names that a request holds.
    fn change_names(&mut self, request: &ClientRequest) {
        let is_first = !self.is_started();
        let names_all = request.subscribe.iter().any(|name| name == WILDCARD);
        let wanted = self.subscribed.get_or_insert_with(|| ResourceNames::Named(BTreeSet::new()));
        if names_all || (is_first && request.subscribe.is_empty()) {
            *wanted = ResourceNames::Wildcard;
        }
        match wanted {
            ResourceNames::Named(names) => {
                names.extend(request.subscribe.iter().cloned());
                for name in &request.unsubscribe {
                    names.remove(name);
                }
            }
            ResourceNames::Wildcard if request.unsubscribe.iter().any(|name| name == WILDCARD) => {
                *wanted = ResourceNames::Named(BTreeSet::new());
            }
            ResourceNames::Wildcard => {}
        }
        // A client that subscribes to a name again is sent the resource again, and one that unsubscribes drops it. So
        // their versions are forgotten.
        request.unsubscribe.iter().for_each(|name| self.forget(name));
        if !is_first {
            request.subscribe.iter().for_each(|name| self.forget(name));
        }
        self.response_due |= is_first;
    }

    fn forget(&mut self, name: &str) {
        self.client_versions.remove(name);
        self.rejected.resources.remove(name);
    }

    /// Returns the content of the next response; `None` if none is due.
    pub(super) fn next(&self, variant: Variant, set: &ResourceSet) -> Option<Update> {
        let wanted = self.subscribed.as_ref()?;
        match variant {
            Variant::StateOfTheWorld => self.state_of_the_world_update(wanted, set),
            Variant::Incremental => self.incremental_update(wanted, set),
        }
    }

    /// State of the world: returns all subscribed resources if the client does not have this version of the set.
    fn state_of_the_world_update(&self, wanted: &ResourceNames, set: &ResourceSet) -> Option<Update> {
        let is_newer = self.sent.is_none_or(|sent| set.version > sent);
        let is_due = self.response_due && self.sent.is_none_or(|sent| set.version >= sent);
        let is_rejected = self.rejected.set == Some(set.version);
        if is_rejected || !(is_newer || is_due) {
            return None;
        }
        let resources = set.resources.values().filter(|resource| wanted.contains(&resource.name));
        Some(Update { resources: resources.cloned().collect(), removed: Vec::new() })
    }

    /// Incremental: returns the resources that the client is missing and the names of those that were removed; `None`
    /// if there are none and no response is due.
    fn incremental_update(&self, wanted: &ResourceNames, set: &ResourceSet) -> Option<Update> {
        let is_missing = |resource: &&Arc<Resource>| wanted.contains(&resource.name) && self.lacks(resource);
        let is_gone = |name: &&String| wanted.contains(name) && !set.resources.contains_key(*name);
        let update = Update {
            resources: set.resources.values().filter(is_missing).cloned().collect(),
            removed: self.client_versions.keys().filter(is_gone).cloned().collect(),
        };
        (self.response_due || !update.is_empty()).then_some(update)
    }

    /// Whether this version of a resource is newer than the one that the client has and the one that it rejected.
    fn lacks(&self, resource: &Resource) -> bool {
        let had = self.client_versions.get(&resource.name).copied().flatten();
        let rejected = self.rejected.resources.get(&resource.name).copied();
        let is_newer = |known: Option<Sequence>| known.is_none_or(|known| known < resource.version);
        is_newer(had) && is_newer(rejected)
    }

    /// Records that a response with this update was sent.
    pub(super) fn record_sent(
        &mut self,
        variant: Variant,
        nonce: Nonce,
        sequence: Sequence,
        update: &Update,
    ) {
        let sent = match variant {
            Variant::StateOfTheWorld => BTreeMap::new(),
            Variant::Incremental => update.versions(),
        };
        self.in_flight = Some(InFlight { nonce, sequence, sent });
        self.sent = Some(sequence);
        self.after_poll = None;
        self.response_due = false;
    }
}
