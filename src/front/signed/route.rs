//! Finds the object that a path names, according to the operator's routes.

use crate::config::signed::Route;
use crate::interface::{GroupId, ObjectId};

/// A route's position in the operator's file, counted from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteIndex(pub usize);

/// The object that a path names, with the route that was matched.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTarget {
    /// The route that matches the path.
    pub route: RouteIndex,
    /// The object's ID.
    pub object: ObjectId,
    /// The object's group: `{group}` of the path, or else the route's own.
    pub group: GroupId,
    /// The part of the object; 0 if the route has no `{part}`.
    pub part: u32,
}

/// Finds the object that a path names by the first route that matches it; `None` if no route does.
pub fn find_target(routes: &[Route], path: &str) -> Option<RequestTarget> {
    routes.iter().enumerate().find_map(|(index, route)| match_route(RouteIndex(index), route, path))
}

/// Matches a path with a route, segment by segment.
fn match_route(index: RouteIndex, route: &Route, path: &str) -> Option<RequestTarget> {
    let mut patterns = route.path.split('/');
    let mut segments = path.split('/');
    let group = GroupId(route.group);
    let mut target = RequestTarget { route: index, object: ObjectId(0), group, part: 0 };
    loop {
        let (pattern, segment) = match (patterns.next(), segments.next()) {
            (None, None) => return Some(target),
            (pattern, segment) => (pattern?, segment?),
        };
        match pattern {
            "{object}" => target.object = ObjectId(parse_object(segment)?),
            "{group}" => target.group = GroupId(parse_decimal(segment)?),
            "{part}" => target.part = parse_decimal(segment)?,
            _ if pattern == segment => {}
            _ => return None,
        }
    }
}

/// Parses an object's ID of exactly 16 hexadecimal digits in lower case, so that each object has only one
/// path.
fn parse_object(segment: &str) -> Option<u64> {
    let is_lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    let is_valid = segment.len() == 16 && segment.bytes().all(is_lower_hex);
    u64::from_str_radix(segment, 16).ok().filter(|_| is_valid)
}

/// Parses a number without leading zeros or a sign, so that each number has only one form in a path.
fn parse_decimal(segment: &str) -> Option<u32> {
    let number: u32 = segment.parse().ok()?;
    (number.to_string() == segment).then_some(number)
}

#[cfg(test)]
mod tests;
