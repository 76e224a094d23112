//! What must hold for streams that were taken up.

use crate::streams::StreamFate;

/// Asserts that no stream has events of two versions.
pub fn assert_none_joined<'a>(fates: impl Iterator<Item = &'a StreamFate>) {
    let joined: Vec<_> = fates.filter(|fate| fate.is_joined()).collect();
    assert!(joined.is_empty(), "events of two versions: {joined:#?}");
}

/// Asserts that all streams went on whose version serves.
pub fn assert_none_lost<'a>(fates: impl Iterator<Item = &'a StreamFate>) {
    let lost: Vec<_> = fates.filter(|fate| fate.is_lost()).collect();
    assert!(lost.is_empty(), "not continued although the version serves: {lost:#?}");
}

/// Asserts that no try has run whose answer says that it did not.
pub fn assert_refusals_are_true<'a>(fates: impl Iterator<Item = &'a StreamFate>) {
    let untrue: Vec<_> = fates.filter(|fate| fate.is_falsely_refused()).collect();
    assert!(untrue.is_empty(), "refused although it ran: {untrue:#?}");
}
