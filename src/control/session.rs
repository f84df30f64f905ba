//! One client's stream, as a pure state machine: what it subscribed to, what it has, and what to send it next.
//!
//! Both variants of the aggregated discovery service ("xDS REST and gRPC protocol", envoyproxy.io): state of the
//! world (`DiscoveryRequest`/`DiscoveryResponse`) and incremental (`DeltaDiscoveryRequest`/`DeltaDiscoveryResponse`).
//! Rules kept here:
//!
//! - one response of a kind is out until it is ACKed or NACKed: a client that does not read or answer costs one
//!   response, and the next one it gets is the newest view, whatever it missed;
//! - a view that was NACKed is not sent to that client again; the next one that differs is;
//! - a client never gets an older view than it ACKed. Versions of this run say by themselves how old they are. A
//!   client that comes with a version of another run waits until a poll of the control feed that was begun after it
//!   came has been answered: what the other run had told was in the feed by then.

use super::model::{Kind, PointView, Resource, Snapshot, KINDS};
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// How a client asks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Variant {
    /// Each response holds all of a kind's resources.
    StateOfTheWorld,
    /// Responses hold what has changed, and the names of what is gone.
    Incremental,
}

/// A version of this service, `EPOCH.SEQ` in hex and decimal.
pub fn version(epoch: u64, seq: u64) -> String {
    format!("{epoch:x}.{seq}")
}

/// Reads a version; `None`: it is none of this service's.
fn read_version(text: &str) -> Option<(u64, u64)> {
    let (epoch, seq) = text.split_once('.')?;
    Some((u64::from_str_radix(epoch, 16).ok()?, seq.parse().ok()?))
}

/// A request of either variant.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Ask {
    /// State of the world: the version that the client has; empty at first.
    pub version: String,
    /// The nonce of the response that this answers; empty at first.
    pub nonce: String,
    /// State of the world: all names wanted, empty for all resources. Incremental: names subscribed to.
    pub names: Vec<String>,
    /// Incremental: names unsubscribed from.
    pub leaves: Vec<String>,
    /// Incremental, first request of a kind: the versions of what the client has.
    pub has: BTreeMap<String, String>,
    /// Why the client rejects the response, if it does.
    pub error: Option<String>,
}

/// What a request meant.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Meaning {
    /// A subscription, new or changed.
    Subscribed,
    /// The response with this sequence number is in force.
    Acked(u64),
    /// It is rejected; what was in force before stays so.
    Nacked(u64, String),
    /// It answers a response that is no longer the last one: passed over.
    Stale,
}

/// A response to send.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The kind.
    pub kind: Kind,
    /// The sequence number of the view that it is from.
    pub seq: u64,
    /// The version, as the client has to give it back.
    pub version: String,
    /// The nonce.
    pub nonce: String,
    /// The resources.
    pub resources: Vec<Arc<Resource>>,
    /// Incremental: the names of resources that are gone.
    pub removed: Vec<String>,
}

/// What the client wants of a kind.
#[derive(Clone, Debug, PartialEq, Eq)]
enum Wanted {
    All,
    Named(BTreeSet<String>),
}

impl Wanted {
    fn has(&self, name: &str) -> bool {
        match self {
            Wanted::All => true,
            Wanted::Named(names) => names.contains(name),
        }
    }
}

/// A response that is out.
#[derive(Debug)]
struct Out {
    nonce: String,
    seq: u64,
    /// Incremental: the resources' versions, `None` for those gone.
    sent: BTreeMap<String, Option<u64>>,
}

#[derive(Debug, Default)]
struct Subscription {
    wanted: Option<Wanted>,
    out: Option<Out>,
    /// The newest sequence number that was sent or that the client came with.
    told: Option<u64>,
    acked: Option<u64>,
    rejected: Option<u64>,
    /// The subscription changed: it has to be answered even if nothing else did.
    owed: bool,
    /// Only views heard after this poll will do: the client came with a version of another run.
    after_poll: Option<u64>,
    /// Incremental: what the client has, by name; `None`: of another run.
    has: BTreeMap<String, Option<u64>>,
    /// Incremental: what it rejected, by name.
    refused: BTreeMap<String, u64>,
}

/// What a client rejected, to be kept for its next stream: by kind, the view (state of the world), and the resources
/// with their versions (incremental).
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Rejections([(Option<u64>, BTreeMap<String, u64>); 3]);

impl Rejections {
    /// Whether nothing was rejected.
    pub fn is_empty(&self) -> bool {
        self.0.iter().all(|(view, resources)| view.is_none() && resources.is_empty())
    }
}

/// One stream.
#[derive(Debug)]
pub struct Session {
    variant: Variant,
    point: String,
    epoch: u64,
    nonces: u64,
    kinds: [Subscription; 3],
}

impl Session {
    /// A stream of a client at a point, in this run of the service.
    pub fn new(variant: Variant, point: &str, epoch: u64) -> Self {
        Session { variant, point: point.to_owned(), epoch, nonces: 0, kinds: Default::default() }
    }

    /// Goes on with what the same client rejected on an earlier stream of this run: that is not sent again either.
    pub fn remember(&mut self, rejections: Rejections) {
        for (known, (view, resources)) in self.kinds.iter_mut().zip(rejections.0) {
            (known.rejected, known.refused) = (view, resources);
        }
    }

    /// What the client has rejected and not been told anew.
    pub fn rejections(&self) -> Rejections {
        Rejections(std::array::from_fn(|kind| {
            let known = &self.kinds[kind];
            (known.rejected, known.refused.clone())
        }))
    }

    /// The point whose view it gets.
    pub fn point(&self) -> &str {
        &self.point
    }

    /// The sequence number that the client ACKed last of a kind.
    pub fn acked(&self, kind: Kind) -> Option<u64> {
        self.kinds[kind as usize].acked
    }

    /// Takes a request. `begun` is how many polls of the control feed were begun by now.
    pub fn ask(&mut self, kind: Kind, ask: Ask, begun: u64) -> Meaning {
        let known = &mut self.kinds[kind as usize];
        let mut meaning = Meaning::Subscribed;
        if !ask.nonce.is_empty() {
            if known.out.as_ref().is_none_or(|out| out.nonce != ask.nonce) {
                // Incremental subscriptions may change with any message; only the ACK in it is old.
                if self.variant == Variant::Incremental {
                    known.resubscribe(&ask);
                }
                return Meaning::Stale;
            }
            if let Some(out) = known.out.take() {
                meaning = known.settle(out, ask.error.clone());
            }
        } else if known.wanted.is_none() {
            known.begin(self.epoch, &ask, begun);
        }
        match self.variant {
            Variant::StateOfTheWorld => known.resubscribe_all(&ask),
            Variant::Incremental => known.resubscribe(&ask),
        }
        meaning
    }

    /// The next response, if one is due: of the first kind that has something to tell and none out.
    pub fn next(&mut self, snapshot: &Snapshot) -> Option<Reply> {
        let view = Arc::clone(snapshot.points.get(&self.point)?);
        KINDS.into_iter().find_map(|kind| self.next_of(kind, &view, snapshot.heard))
    }

    fn next_of(&mut self, kind: Kind, view: &PointView, heard: u64) -> Option<Reply> {
        let (variant, epoch) = (self.variant, self.epoch);
        let known = &mut self.kinds[kind as usize];
        if known.out.is_some() || known.wanted.is_none() || known.after_poll.is_some_and(|poll| heard <= poll)
        {
            return None;
        }
        let view = view.of(kind);
        let (resources, removed) = match variant {
            Variant::StateOfTheWorld => (known.whole(view)?, Vec::new()),
            Variant::Incremental => known.difference(view)?,
        };
        known.after_poll = None;
        known.owed = false;
        known.told = Some(view.version);
        self.nonces += 1;
        let nonce = self.nonces.to_string();
        let mut sent: BTreeMap<String, Option<u64>> = BTreeMap::new();
        if variant == Variant::Incremental {
            sent.extend(resources.iter().map(|resource| (resource.name.clone(), Some(resource.version))));
            sent.extend(removed.iter().map(|name| (name.clone(), None)));
        }
        known.out = Some(Out { nonce: nonce.clone(), seq: view.version, sent });
        Some(Reply {
            kind,
            seq: view.version,
            version: version(epoch, view.version),
            nonce,
            resources,
            removed,
        })
    }
}

impl Subscription {
    /// The first request of a kind on this stream: what the client had before.
    fn begin(&mut self, epoch: u64, ask: &Ask, begun: u64) {
        let mut foreign = false;
        let mut of_this_run = |text: &str| match read_version(text) {
            Some((run, seq)) if run == epoch => Some(seq),
            _ => {
                foreign |= !text.is_empty();
                None
            }
        };
        if let Some(seq) = of_this_run(&ask.version) {
            (self.told, self.acked) = (Some(seq), Some(seq));
        }
        for (name, version) in &ask.has {
            let seq = of_this_run(version);
            self.has.insert(name.clone(), seq);
        }
        self.after_poll = foreign.then_some(begun);
    }

    /// A response was answered.
    fn settle(&mut self, out: Out, error: Option<String>) -> Meaning {
        match error {
            None => {
                (self.acked, self.rejected) = (Some(out.seq), None);
                for (name, version) in out.sent {
                    match version {
                        Some(version) => self.has.insert(name, Some(version)),
                        None => self.has.remove(&name),
                    };
                }
                Meaning::Acked(out.seq)
            }
            Some(error) => {
                self.rejected = Some(out.seq);
                self.refused
                    .extend(out.sent.into_iter().filter_map(|(name, version)| Some((name, version?))));
                Meaning::Nacked(out.seq, error)
            }
        }
    }

    /// State of the world: a request holds the whole subscription.
    fn resubscribe_all(&mut self, ask: &Ask) {
        let all = ask.names.is_empty() || ask.names.iter().any(|name| name == "*");
        let wanted = if all { Wanted::All } else { Wanted::Named(ask.names.iter().cloned().collect()) };
        if self.wanted.as_ref().is_some_and(|known| *known != wanted) {
            self.owed = true;
        }
        self.wanted = Some(wanted);
    }

    /// Incremental: a request holds what is added and what is taken away.
    fn resubscribe(&mut self, ask: &Ask) {
        let first = self.wanted.is_none();
        let wildcard = ask.names.iter().any(|name| name == "*") || (first && ask.names.is_empty());
        let wanted = self.wanted.get_or_insert_with(|| Wanted::Named(BTreeSet::new()));
        if wildcard {
            *wanted = Wanted::All;
        }
        if let Wanted::Named(names) = wanted {
            names.extend(ask.names.iter().cloned());
            for name in &ask.leaves {
                names.remove(name);
            }
        } else if ask.leaves.iter().any(|name| name == "*") {
            *wanted = Wanted::Named(BTreeSet::new());
        }
        // Who subscribes to a name anew is told it anew; who leaves one forgets it.
        for name in ask.leaves.iter().chain(if first { &[] } else { &ask.names[..] }) {
            self.has.remove(name);
            self.refused.remove(name);
        }
        self.owed |= first;
    }

    /// State of the world: all that is wanted, if the view is one to be told.
    fn whole(&self, view: &super::model::TypeView) -> Option<Vec<Arc<Resource>>> {
        let wanted = self.wanted.as_ref()?;
        let newer = self.told.is_none_or(|told| view.version > told);
        let owed = self.owed && self.told.is_none_or(|told| view.version >= told);
        if (!newer && !owed) || self.rejected == Some(view.version) {
            return None;
        }
        let resources = view.resources.values().filter(|resource| wanted.has(&resource.name));
        Some(resources.cloned().collect())
    }

    /// Incremental: what the client lacks and what it has too much, if there is anything.
    fn difference(&self, view: &super::model::TypeView) -> Option<(Vec<Arc<Resource>>, Vec<String>)> {
        let wanted = self.wanted.as_ref()?;
        let lacks = |resource: &&Arc<Resource>| {
            let had = self.has.get(&resource.name).copied().flatten();
            let refused = self.refused.get(&resource.name).copied();
            wanted.has(&resource.name)
                && had.is_none_or(|had| had < resource.version)
                && refused.is_none_or(|refused| refused < resource.version)
        };
        let resources: Vec<Arc<Resource>> = view.resources.values().filter(lacks).cloned().collect();
        let gone = |name: &&String| wanted.has(name) && !view.resources.contains_key(*name);
        let removed: Vec<String> = self.has.keys().filter(gone).cloned().collect();
        let nothing = resources.is_empty() && removed.is_empty();
        (!nothing || self.owed).then_some((resources, removed))
    }
}
