//! What other tasks see of the members.

use monsoonspread_model::InstanceName;
use monsoonspread_model::message::Health;

/// Instances that follow the key-value service for their whole zone.
const WATCHERS_PER_ZONE: usize = 2;

/// The members of the zone.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct MembersView {
    /// Every member with its health, this instance included.
    pub members: Vec<(InstanceName, Health)>,
    /// Names of members that answer, in order.
    pub live: Vec<InstanceName>,
}

impl MembersView {
    /// Whether `instance` follows the key-value service for the zone.
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
