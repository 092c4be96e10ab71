//! What a diff names.

use std::sync::Arc;

use monsoonspread_model::{Bundle, BundleVersion};

use super::diff;

fn lines(old: &Bundle, new: &Bundle) -> Vec<String> {
    diff(old, new).iter().map(ToString::to_string).collect()
}

#[test]
fn a_changed_default_names_the_callers_that_see_it() {
    let old = Bundle::sample(BundleVersion(1), 2);
    let mut new = old.clone();
    let entry = new.adapters.get_mut("verse-0001").unwrap();
    entry.default_version = 1;
    assert_eq!(
        lines(&old, &new),
        ["adapter \"verse-0001\" changed: default 2 -> 1; for callers cards"]
    );
}

#[test]
fn a_move_between_groups_names_both_sides() {
    let old = Bundle::sample(BundleVersion(1), 2);
    let mut new = old.clone();
    new.adapters.get_mut("verse-0001").unwrap().group = Arc::from("needle");
    assert_eq!(
        lines(&old, &new),
        ["adapter \"verse-0001\" changed: group verse -> needle; for callers bench, cards"]
    );
}

#[test]
fn removed_callers_and_services_are_named() {
    let old = Bundle::sample(BundleVersion(1), 0);
    let mut new = old.clone();
    new.callers.remove("cards");
    new.services.remove("calendar");
    assert_eq!(
        lines(&old, &new),
        [
            "caller \"cards\" removed",
            "service \"calendar\" removed; for callers cards"
        ]
    );
}
