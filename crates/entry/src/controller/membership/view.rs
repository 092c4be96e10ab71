//! View of the members for other tasks.

use monsoonspread_model::InstanceName;
use monsoonspread_model::message::Health;

/// Instances of a zone that watch the key-value service on behalf of the whole zone.
const WATCHERS_PER_ZONE: usize = 2;

/// Members of the zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MembersView {
    /// Every member with its health, this instance included.
    pub members: Vec<(InstanceName, Health)>,
    /// Names of the members that are alive or suspect, in order; the first are the zone's watchers.
    pub live: Vec<InstanceName>,
}

impl MembersView {
    /// Returns whether `instance` watches the key-value service on behalf of the zone.
    ///
    /// ```
    /// # use monsoonspread_entry::controller::membership::MembersView;
    /// let view = MembersView { members: Vec::new(), live: vec!["entry-1".into()] };
    /// assert!(view.is_watcher(&"entry-1".into()));
    /// ```
    pub fn is_watcher(&self, instance: &InstanceName) -> bool {
        self.live
            .iter()
            .take(WATCHERS_PER_ZONE)
            .any(|live| live == instance)
    }
}
