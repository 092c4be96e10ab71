//! How recently the configuration in force was known to be the newest.

use monsoonspread_decisions::config_age::{KeyVerdict, VouchChange};
use monsoonspread_model::UnixMs;

use crate::event::{Line, kind};
use crate::shared::Shared;

impl Shared {
    /// Whether the configuration in force has workspaces.
    pub fn has_workspaces(&self) -> bool {
        let fleet = self.fleet.borrow();
        let routes = fleet.routes();
        routes.is_some_and(|routes| !routes.config().workspaces.is_empty())
    }

    /// The configuration in force was the newest at `at`, a time before the store was asked.
    pub fn on_config_confirmed(&self, at: UnixMs) {
        self.config_age.borrow_mut().on_confirmed(at);
    }

    /// Decides on a request whose key is held by a workspace of the configuration in force, or is not.
    pub fn key_verdict(&self, is_held: bool) -> KeyVerdict {
        self.config_age.borrow().verdict(self.now(), is_held)
    }

    /// Returns how long ago the configuration was known to be the newest, in milliseconds; `None` if it
    /// never was.
    pub fn config_age_ms(&self) -> Option<u64> {
        self.config_age.borrow().age_ms(self.now())
    }

    /// Logs when known keys cease to admit requests, and when they do again.
    pub fn check_config_age(&self) {
        if !self.has_workspaces() {
            return;
        }
        let change = self.config_age.borrow_mut().on_tick(self.now());
        let kind = match change {
            None => return,
            Some(VouchChange::Stopped) => &kind::CONFIG_UNCONFIRMED,
            Some(VouchChange::Resumed) => &kind::CONFIG_CONFIRMED,
        };
        let age_ms = self.config_age_ms().unwrap_or(0);
        Line::new(kind).field("confirmed_ms_ago", age_ms).log();
    }
}
