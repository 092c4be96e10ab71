//! Splits changes that don't fit into one message.

/// Returns the lengths of the messages for changes with these ascending `revisions`, with at most
/// `max_length` changes each. Changes of one revision stay together, even if there are more.
///
/// ```
/// # use monsoonspread_decisions::change_feed::split_by_revision;
/// assert_eq!(split_by_revision(&[5, 6, 6, 7], 2), [1, 2, 1]);
/// ```
pub fn split_by_revision(revisions: &[u64], max_length: usize) -> Vec<usize> {
    let mut lengths = Vec::new();
    let mut length = 0;
    for group in revisions.chunk_by(|a, b| a == b) {
        if length > 0 && length + group.len() > max_length {
            lengths.push(length);
            length = 0;
        }
        length += group.len();
    }
    if length > 0 {
        lengths.push(length);
    }
    lengths
}
