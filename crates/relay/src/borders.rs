//! The platform as this process meets it.

use std::rc::Rc;

use monsoonspread_borders::relay::{Dialect, EngineControl, FleetStore};

/// The platform as this process meets it.
#[derive(Clone)]
pub struct Borders {
    /// What lasts.
    pub store: Rc<dyn FleetStore>,
    /// Orders to engines.
    pub engines: Rc<dyn EngineControl>,
    /// Headers of requests and answers.
    pub dialect: Rc<dyn Dialect>,
}
