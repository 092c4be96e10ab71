//! How an answer marks the end of its body.

use displaydoc::Display;

/// How an answer marks the end of its body.
#[derive(Clone, Copy, Debug, Display, Eq, PartialEq)]
pub enum Framing {
    /// length
    Length,
    /// chunks
    Chunks,
    /// connection
    Connection,
}

impl Framing {
    /// Returns the framing of an answer, given its transfer codings and whether it has a length or
    /// can't have a body.
    ///
    /// ```
    /// # use monsoonspread_decisions::answer_end::Framing;
    /// assert_eq!(Framing::new(["gzip, Chunked"], true), Framing::Chunks);
    /// assert_eq!(Framing::new([], true), Framing::Length);
    /// assert_eq!(Framing::new([], false), Framing::Connection);
    /// ```
    pub fn new<'a>(codings: impl IntoIterator<Item = &'a str>, has_length: bool) -> Self {
        let last = codings
            .into_iter()
            .flat_map(|value| value.split(','))
            .map(str::trim)
            .filter(|coding| !coding.is_empty())
            .last();
        match last {
            Some(coding) if coding.eq_ignore_ascii_case("chunked") => Self::Chunks,
            Some(_) => Self::Connection,
            None if has_length => Self::Length,
            None => Self::Connection,
        }
    }
}
