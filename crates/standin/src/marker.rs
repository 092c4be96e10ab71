//! Markers in prompts and bodies, by which tests follow one request.

const PREFIX: &str = "marker:";

/// The word after the first `marker:` in a text.
///
/// ```
/// # use monsoonspread_standin::marker::marker_of;
/// assert_eq!(marker_of("Read the note. marker:r-17 Thanks"), Some("r-17"));
/// assert_eq!(marker_of("Read the note."), None);
/// ```
pub fn marker_of(text: &str) -> Option<&str> {
    let start = text.find(PREFIX)? + PREFIX.len();
    let rest = &text[start..];
    let is_other = |c: char| !(c.is_ascii_alphanumeric() || c == '-' || c == '_');
    let end = rest.find(is_other).unwrap_or(rest.len());
    Some(&rest[..end]).filter(|marker| !marker.is_empty())
}
