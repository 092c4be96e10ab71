//! Decoding of ownership tables from the key-value service.

use monsoonspread_borders::{CasOutcome, Stored};

use super::store_calls::{decode, write_result};

#[test]
fn malformed_table_is_an_error_rather_than_absent() {
    let stored = Stored {
        key: "/monsoonspread/ownership/zone-1".to_owned(),
        value: b"not a table".to_vec(),
        mod_revision: 7,
    };
    assert!(decode(&stored).is_err());
    let conflict = CasOutcome::Conflict {
        current: Some(stored),
    };
    assert!(write_result(conflict).is_err());
}
