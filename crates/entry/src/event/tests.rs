//! The catalogue agrees with the page.

use std::path::Path;

use super::{CATALOGUE, Event, catalogue_markdown};

#[test]
fn page_agrees_with_catalogue() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/LOG-EVENTS.md");
    let written = std::fs::read_to_string(page).unwrap();
    assert!(
        written == catalogue_markdown(),
        "docs/LOG-EVENTS.md differs from the catalogue; write it anew with \
         `monsoonspread-entry --print-log-events`"
    );
}

#[test]
fn numbers_grow_and_are_unique() {
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
