//! Output to readers that go away.

use std::io::{self, Write};

use super::output::print_text;

struct ClosedPipe;

impl Write for ClosedPipe {
    fn write(&mut self, _: &[u8]) -> io::Result<usize> {
        Err(io::ErrorKind::BrokenPipe.into())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[test]
fn a_reader_that_has_seen_enough_is_no_error() {
    print_text(&mut ClosedPipe, &"bundle 2 is in force");
    let mut open = Vec::new();
    print_text(&mut open, &"bundle 2 is in force");
    assert_eq!(open, b"bundle 2 is in force");
}
