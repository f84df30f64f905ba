//! A client's subscription to one resource type: the names it subscribed to, the versions it has, and the updates it
//! lacks.

use super::message::{ClientRequest, RequestEffect, Variant};
use crate::control::resource::Resource;
use crate::control::snapshot::ResourceSet;
use crate::control::version::{Epoch, Nonce, PollNumber, Sequence, Version};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// The name that subscribes to all resources.
const WILDCARD: &str = "*";

/// The resource names that a client subscribed to.
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

/// What a response would hold.
#[derive(Debug, Default)]
pub(super) struct Update {
    pub(super) resources: Vec<Arc<Resource>>,
    /// The names of resources that were removed.
    pub(super) removed: Vec<String>,
}

impl Update {
    fn is_empty(&self) -> bool {
        self.resources.is_empty() && self.removed.is_empty()
    }

    /// By name the versions that the client has once it accepts the update, `None` for what was removed.
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

/// A response that has been sent and not answered.
#[derive(Debug)]
struct InFlight {
    nonce: Nonce,
    sequence: Sequence,
    /// Incremental: the versions of its resources, `None` for those removed.
    sent: BTreeMap<String, Option<Sequence>>,
}

/// What a client rejected of one type.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub(super) struct RejectedVersions {
    /// The sequence number of the resource set.
    pub(super) set: Option<Sequence>,
    /// Incremental: the versions of its resources, by name.
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
    /// `None`: the client has not asked for this type.
    subscribed: Option<ResourceNames>,
    in_flight: Option<InFlight>,
    /// The newest sequence number that was sent, or that the client came with.
    sent: Option<Sequence>,
    pub(super) acked: Option<Sequence>,
    pub(super) rejected: RejectedVersions,
    /// The subscription changed: a response is due even if no resource has changed.
    response_due: bool,
    /// Only snapshots made after this poll was answered will do: the client came with a version of another run.
    after_poll: Option<PollNumber>,
    /// Incremental: the versions of what the client has, by name; `None`: a version of another run.
    client_versions: BTreeMap<String, Option<Sequence>>,
}

impl Subscription {
    /// Whether the client has asked for this type on this stream.
    pub(super) fn is_started(&self) -> bool {
        self.subscribed.is_some()
    }

    /// Whether the next response may be sent from a snapshot with this newest answered poll.
    pub(super) fn is_ready(&self, answered_poll: PollNumber) -> bool {
        let is_recent = self.after_poll.is_none_or(|poll| answered_poll > poll);
        self.is_started() && self.in_flight.is_none() && is_recent
    }

    /// The first request of a type on this stream: takes in what the client had before. `newest_poll` is the next poll
    /// of the control feed.
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

    /// Takes the answer to the response in flight, an ACK or a NACK with its error.
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

    /// Changes what the client wants as a request says.
    pub(super) fn resubscribe(&mut self, variant: Variant, request: &ClientRequest) {
        match variant {
            Variant::StateOfTheWorld => self.replace_names(request),
            Variant::Incremental => self.change_names(request),
        }
    }

    /// State of the world: a request holds the complete subscription.
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

    /// Incremental: a request holds what is added and what is taken away.
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
        // A client that subscribes to a name again is sent it again; one that unsubscribes drops it.
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

    /// What the next response holds, if one is due.
    pub(super) fn next(&self, variant: Variant, set: &ResourceSet) -> Option<Update> {
        let wanted = self.subscribed.as_ref()?;
        match variant {
            Variant::StateOfTheWorld => self.state_of_the_world_update(wanted, set),
            Variant::Incremental => self.incremental_update(wanted, set),
        }
    }

    /// State of the world: all that is wanted, if the client lacks this version of the set.
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

    /// Incremental: what the client lacks and what it has that was removed, if there is anything.
    fn incremental_update(&self, wanted: &ResourceNames, set: &ResourceSet) -> Option<Update> {
        let is_missing = |resource: &&Arc<Resource>| wanted.contains(&resource.name) && self.lacks(resource);
        let is_gone = |name: &&String| wanted.contains(name) && !set.resources.contains_key(*name);
        let update = Update {
            resources: set.resources.values().filter(is_missing).cloned().collect(),
            removed: self.client_versions.keys().filter(is_gone).cloned().collect(),
        };
        (self.response_due || !update.is_empty()).then_some(update)
    }

    /// Whether the client has no such version of a resource, and has not rejected it.
    fn lacks(&self, resource: &Resource) -> bool {
        let had = self.client_versions.get(&resource.name).copied().flatten();
        let rejected = self.rejected.resources.get(&resource.name).copied();
        let is_newer = |known: Option<Sequence>| known.is_none_or(|known| known < resource.version);
        is_newer(had) && is_newer(rejected)
    }

    /// A response with this update was sent.
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
