//! Hot objects: which ones the operator names, and where a router sends their requests.

use crate::config::hcl_document::{unknown_name, Position};
use crate::config::settings::ProgramSettings;
use crate::control::settings::{ControlSettings, HotClass};
use crate::interface::{
    Action, AttemptOutcome, AttemptResult, CacheStatus, Class, ClassId, Event, FillAttempt, GroupId, Instant,
    ObjectId, Request, RequestId, ServerId, Settings, Span,
};
use crate::Router;
use std::collections::BTreeMap;

/// Requests by which a router is asked for a hot object: enough for its directory entry to pass any threshold.
const QUERY_COUNT: usize = 12;
/// The first queries go to the home and start delegates; the ones from here on show where it settled.
const FIRST_COUNTED_QUERY: usize = QUERY_COUNT / 2;
/// How long a query takes, as it is reported to the router.
const QUERY_TIME: Span = Span::from_millis(5);

/// Why a class cannot have hot objects.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum HotError {
    /// The configuration has no such class.
    #[error("{at}: {text}")]
    UnknownClass {
        /// Where the class is named.
        at: Position,
        /// Names the class and the closest ones that there are.
        text: String,
    },
    /// The class is never cached.
    #[error("{at}: class {class:?} is never kept: it has no popular objects")]
    NeverCached {
        /// Where the class is named.
        at: Position,
        /// The class.
        class: String,
    },
}

/// A hot object, of one class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct HotObject {
    pub(super) class: ClassId,
    pub(super) object: ObjectId,
}

/// Where a router sends a hot object's requests.
#[derive(Clone, Debug, Default, PartialEq)]
pub(super) struct Placement {
    /// By cache: who fills a miss there. The smallest distribute count makes their shares equal in the long run.
    pub(super) caches: BTreeMap<ServerId, Option<ServerId>>,
    /// The rank at which copies are cached.
    pub(super) rank: u8,
}

/// The hot objects that the operator's file names, sorted.
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

/// Asks a router where it sends an object's requests now; `None`: nowhere. Each query takes the next request number.
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

/// A request for a hot object as a client would send it.
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

/// Passes a request to a router, and that it was answered; returns what the router decided.
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
