//! The messages of caught panics.

use std::any::Any;

/// Returns the message in a panic's payload; "a panic" if the payload is no text.
pub fn message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
    text.unwrap_or_else(|| "a panic".to_owned())
}
