//! Tests of the catalogue against `docs/LOG-EVENTS.md` and of the log format.

use std::path::Path;

use super::{CATALOGUE, Event, catalogue_markdown};

#[test]
fn page_matches_catalogue() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/LOG-EVENTS.md");
    let current = std::fs::read_to_string(page).unwrap();
    assert!(
        current == catalogue_markdown(),
        "docs/LOG-EVENTS.md differs from the catalogue; regenerate it with \
         `monsoonspread-entry --print-log-events`"
    );
}

#[test]
fn numbers_are_unique_and_ascending() {
    assert!(CATALOGUE.windows(2).all(|pair| pair[0].code < pair[1].code));
}

#[test]
fn fields_with_spaces_are_quoted() {
    let event = Event::ListUnavailable {
        error: "no route to host",
    };
    assert_eq!(
        event.to_string(),
        "MS1401 instance list unavailable error=\"no route to host\""
    );
}
