//! What a path names, by the operator's routes.

use crate::config::signed::Route;

/// What a path names.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RequestTarget {
    /// The route, by its place in the operator's file.
    pub route: usize,
    /// The object.
    pub object: u64,
    /// Its group.
    pub group: u32,
    /// Its part.
    pub part: u32,
}

/// The first route that a path fits.
pub fn place(routes: &[Route], path: &str) -> Option<RequestTarget> {
    routes.iter().enumerate().find_map(|(number, route)| fit(number, route, path))
}

fn fit(number: usize, route: &Route, path: &str) -> Option<RequestTarget> {
    let (mut forms, mut segments) = (route.path.split('/'), path.split('/'));
    let mut place = RequestTarget { route: number, object: 0, group: route.group, part: 0 };
    loop {
        let (form, segment) = match (forms.next(), segments.next()) {
            (None, None) => return Some(place),
            (form, segment) => (form?, segment?),
        };
        match form {
            "{object}" => place.object = object(segment)?,
            "{group}" => place.group = decimal(segment)?,
            "{part}" => place.part = decimal(segment)?,
            _ if form == segment => {}
            _ => return None,
        }
    }
}

/// One object has one path: 16 digits, in lower case.
fn object(segment: &str) -> Option<u64> {
    let fits = |b: u8| b.is_ascii_digit() || (b'a'..=b'f').contains(&b);
    let whole = segment.len() == 16 && segment.bytes().all(fits);
    u64::from_str_radix(segment, 16).ok().filter(|_| whole)
}

fn decimal(segment: &str) -> Option<u32> {
    let number: u32 = segment.parse().ok()?;
    (number.to_string() == segment).then_some(number)
}

#[cfg(test)]
mod tests;
