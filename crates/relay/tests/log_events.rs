//! The documented log events match the catalogue.

use std::path::Path;

use monsoonspread_relay::event::{CATALOGUE, catalogue_markdown};

#[test]
fn docs_page_lists_every_event() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/LOG-EVENTS-RELAY.md");
    let text = std::fs::read_to_string(page).expect("the docs page is readable");
    assert!(
        text.ends_with(&catalogue_markdown()),
        "docs/LOG-EVENTS-RELAY.md is out of date; replace its table with the output of monsoonspread --print-log-events"
    );
}

#[test]
fn event_numbers_are_unique_and_ascending() {
    assert!(
        CATALOGUE
            .windows(2)
            .all(|pair| pair[0].number < pair[1].number)
    );
}
