//! Server-sent events in an answer's text.

/// One event.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SseEvent {
    /// Its name, empty for a plain one.
    pub name: String,
    /// Its data.
    pub data: String,
}

/// Reads the events of a whole answer.
///
/// ```
/// # use monsoonspread_demo::client::events_of;
/// assert_eq!(events_of("data: [DONE]\n\n")[0].data, "[DONE]");
/// ```
pub fn events_of(text: &str) -> Vec<SseEvent> {
    text.split("\n\n")
        .filter(|block| !block.trim().is_empty())
        .map(event_of)
        .collect()
}

fn event_of(block: &str) -> SseEvent {
    let field = |name: &str| {
        let lines = block.lines().filter_map(|line| line.strip_prefix(name));
        lines.collect::<Vec<_>>().join("\n")
    };
    SseEvent {
        name: field("event: "),
        data: field("data: "),
    }
}
