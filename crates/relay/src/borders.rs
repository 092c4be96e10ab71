//! The platform interfaces that this process uses.

use std::rc::Rc;

use monsoonspread_borders::relay::{Dialect, EngineControl, FleetStore};

/// The platform interfaces that this process uses.
#[derive(Clone)]
pub struct Borders {
    /// Durable storage.
    pub store: Rc<dyn FleetStore>,
    /// Orders to engines.
    pub engines: Rc<dyn EngineControl>,
    /// Headers of requests and answers.
    pub dialect: Rc<dyn Dialect>,
}
