//! Finds the object that a path names, by the operator's routes.

use crate::config::signed::Route;
use crate::interface::{GroupId, ObjectId};

/// A route, by its place in the operator's file.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RouteIndex(pub usize);

/// The object that a path names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTarget {
    /// The route that the path fits.
    pub route: RouteIndex,
    /// The object.
    pub object: ObjectId,
    /// Its group.
    pub group: GroupId,
    /// Its part.
    pub part: u32,
}

/// Finds the object that a path names by the first route that the path fits.
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

/// One object has one path: 16 hexadecimal digits, in lower case.
fn parse_object(segment: &str) -> Option<u64> {
    let is_lower_hex = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    let is_valid = segment.len() == 16 && segment.bytes().all(is_lower_hex);
    u64::from_str_radix(segment, 16).ok().filter(|_| is_valid)
}

/// One number has one path: no leading zeros and no sign.
fn parse_decimal(segment: &str) -> Option<u32> {
    let number: u32 = segment.parse().ok()?;
    (number.to_string() == segment).then_some(number)
}

#[cfg(test)]
mod tests;
