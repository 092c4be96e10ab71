//! Lasting time of work from what engines announce.

use crate::capacity::AnnouncedLevel;

/// Announcements of an engine in 600 ms.
const BURST: usize = 10;

fn after(announced: impl IntoIterator<Item = u32>) -> Option<u32> {
    let mut level = AnnouncedLevel::default();
    for percent in announced {
        level.on_announced(percent);
    }
    level.percent()
}

/// A neighbour's load of 600 ms at 2.5 times the usual time isn't taken for the engine's own speed.
#[test]
fn noise_barely_moves_the_level() {
    let noisy = std::iter::repeat_n(55, 50).chain(std::iter::repeat_n(138, BURST));
    assert_eq!(after(noisy.clone()), Some(67));
    assert_eq!(after(noisy.chain([55])), Some(55));
}

/// An engine that turns slow for good is followed within some forty answers.
#[test]
fn a_lasting_change_is_followed() {
    let slow = std::iter::repeat_n(100, 5).chain(std::iter::repeat_n(220, 40));
    assert_eq!(after(slow), Some(220));
}

/// Engines that announce nothing have no level.
#[test]
fn nothing_announced_is_nothing_known() {
    assert_eq!(after([]), None);
}
