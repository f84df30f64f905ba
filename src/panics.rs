//! What a panic said, where one is caught.

use std::any::Any;

/// The text of a panic's payload.
pub fn message(panic: &(dyn Any + Send)) -> String {
    let text = panic.downcast_ref::<String>().cloned();
    let text = text.or_else(|| panic.downcast_ref::<&str>().map(|text| (*text).to_owned()));
    text.unwrap_or_else(|| "a panic".to_owned())
}
