//! Changes that don't fit into one message.

/// Lengths of the parts in which changes with these ascending `revisions` are told, of at most
/// `most` changes each; those of one revision stay together, however many they are.
///
/// ```
/// # use monsoonspread_decisions::change_feed::split_by_revision;
/// assert_eq!(split_by_revision(&[5, 6, 6, 7], 2), [1, 2, 1]);
/// ```
pub fn split_by_revision(revisions: &[u64], most: usize) -> Vec<usize> {
    let mut lengths = Vec::new();
    let mut length = 0;
    for group in revisions.chunk_by(|a, b| a == b) {
        if length > 0 && length + group.len() > most {
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
