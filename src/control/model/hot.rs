//! Hot objects: the ones that the operator's file names, and the caches to which a router sends their requests.

use crate::config::hcl_document::{unknown_name, Position};
use crate::config::settings::ProgramSettings;
use crate::control::settings::{ControlSettings, HotClass};
use crate::interface::{
    Action, AttemptOutcome, AttemptResult, CacheStatus, Class, ClassId, Event, FillAttempt, GroupId, Instant,
    ObjectId, Request, RequestId, ServerId, Settings, Span,
};
use crate::Router;
use std::collections::BTreeMap;

/// Number of queries (requests) that a router gets, to find a hot object's caches: enough for the object's entry in
/// the popular directory to pass any threshold.
const QUERY_COUNT: usize = 12;
/// The first query whose answer counts. Earlier ones go to the home cache and create delegates; from this one on, the
/// choice of caches is stable.
const FIRST_COUNTED_QUERY: usize = QUERY_COUNT / 2;
/// The duration of each query that is reported to the router.
const QUERY_TIME: Span = Span::from_millis(5);

/// Why a class cannot have hot objects.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HotError {
    /// The class is not in the configuration.
    #[error("{at}: {text}")]
    UnknownClass {
        /// The position of the class in the operator's file.
        at: Position,
        /// A text that names the class and the closest defined classes.
        text: String,
    },
    /// The class is never cached.
    #[error("{at}: class {class:?} is never cached, so it cannot have hot objects")]
    NeverCached {
        /// The position of the class in the operator's file.
        at: Position,
        /// The name of the class.
        class: String,
    },
}

/// A hot object of a class. An object ID that several classes name is one hot object in each of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HotObject {
    pub(super) class: ClassId,
    pub(super) object: ObjectId,
}

/// The caches to which a router sends a hot object's requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Placement {
    /// The fill source of each cache; `None` if the router chose none. The router picks the cache with the smallest
    /// distribute count, so their shares are equal in the long run.
    pub(super) caches: BTreeMap<ServerId, Option<ServerId>>,
    /// The highest cache rank of copies in the router's answers.
    pub(super) rank: u8,
}

/// Returns the hot objects that the operator's file names, sorted and without duplicates.
pub(super) fn hot_objects(
    settings: &Settings,
    names: &ProgramSettings,
    control: &ControlSettings,
) -> Result<Vec<HotObject>, HotError> {
    let mut hot = Vec::new();
    for named in &control.hot {
        let class = hot_class(settings, names, named)?;
        hot.extend(named.objects.iter().map(|object| HotObject { class, object: *object }));
    }
    hot.sort();
    hot.dedup();
    Ok(hot)
}

fn hot_class(settings: &Settings, names: &ProgramSettings, named: &HotClass) -> Result<ClassId, HotError> {
    let at = named.class.at;
    let name = &named.class.value;
    let Some(class) = names.class(name) else {
        let text = unknown_name("class", name, names.class_names());
        return Err(HotError::UnknownClass { at, text });
    };
    if settings.classes[usize::from(class.0)].uncached {
        return Err(HotError::NeverCached { at, class: name.clone() });
    }
    Ok(class)
}

/// Asks a router where it sends an object's requests now; `None` if it sends them to no cache. Each query takes the
/// next request number.
pub(super) fn placement(
    router: &mut Router,
    now: Instant,
    hot: HotObject,
    classes: &[Class],
    next_request: &mut u64,
) -> Option<Placement> {
    let client_timeout = classes[usize::from(hot.class.0)].client_deadline;
    let mut placement = Placement::default();
    for query in 0..QUERY_COUNT {
        let request = request(RequestId(*next_request), hot, client_timeout);
        *next_request += 1;
        let Some(attempt) = answer(router, now, request) else { continue };
        placement.rank = placement.rank.max(attempt.cache_rank);
        if query >= FIRST_COUNTED_QUERY {
            let source = Some(attempt.source).filter(|source| *source != attempt.server);
            placement.caches.insert(attempt.server, source);
        }
    }
    Some(placement).filter(|placement| !placement.caches.is_empty())
}

/// Creates a request for a hot object as a client would send it.
fn request(id: RequestId, hot: HotObject, client_timeout: Span) -> Request {
    Request {
        id,
        class: hot.class,
        tenant: 0,
        object: hot.object,
        part: 0,
        group: GroupId(0),
        client_timeout,
        size_kb: 0.0,
        is_retry: false,
        is_write: false,
    }
}

/// Passes a request to a router and reports a successful attempt. Returns the attempt that the router chose; `None` if
/// its actions hold no [`Action::SendWithFill`].
fn answer(router: &mut Router, now: Instant, request: Request) -> Option<FillAttempt> {
    let id = request.id;
    let mut actions = Vec::new();
    router.handle(now, Event::Request(request), &mut actions);
    let attempt = actions.into_iter().find_map(|action| match action {
        Action::SendWithFill(attempt) => Some(attempt),
        _ => None,
    })?;
    let outcome = AttemptOutcome {
        transfer_time: Span::ZERO,
        request: id,
        attempt: 0,
        server: attempt.server,
        result: AttemptResult::Ok,
        cache_status: Some(CacheStatus::Hit),
        elapsed: QUERY_TIME,
        fill_wait: Span::ZERO,
        finished: true,
        load_report: Vec::new(),
    };
    router.handle(now, Event::AttemptEnded(outcome), &mut Vec::new());
    Some(attempt)
}
