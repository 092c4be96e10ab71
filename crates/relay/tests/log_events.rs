//! The page of log events agrees with the catalogue.

use std::path::Path;

use monsoonspread_relay::event::{CATALOGUE, catalogue_markdown};

#[test]
fn the_page_lists_every_event() {
    let page = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../docs/LOG-EVENTS-RELAY.md");
    let text = std::fs::read_to_string(page).expect("the page");
    assert!(
        text.ends_with(&catalogue_markdown()),
        "docs/LOG-EVENTS-RELAY.md differs; end it with what monsoonspread --print-log-events prints"
    );
}

#[test]
fn numbers_are_given_once_and_grow() {
    assert!(
        CATALOGUE
            .windows(2)
            .all(|pair| pair[0].number < pair[1].number)
    );
}
