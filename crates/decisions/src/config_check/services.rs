//! Check of services and their engines.

use monsoonspread_model::fleet::{EngineShape, RelayService, RoutingConfig};

use super::{Finding, Place, check_names};

pub(super) fn check(config: &RoutingConfig, findings: &mut Vec<Finding>) {
    let names = config.services.iter().map(|service| service.name.as_str());
    check_names(names, |name| Place::Service(name.to_owned()), findings);
    for service in &config.services {
        let mut targets = config.routes.iter().flat_map(|route| &route.targets);
        if !targets.any(|target| target.service == service.name) {
            let problem = "no route sends requests to it";
            findings.push(Finding::warning(place(service), problem));
        }
        if service.max_connections == 0 {
            let problem = "its servers accept no connections";
            findings.push(Finding::error(place(service), problem));
        }
        if let Some(engine) = &service.engine {
            check_engine(service, engine, findings);
        }
    }
}

fn check_engine(service: &RelayService, engine: &EngineShape, findings: &mut Vec<Finding>) {
    let mut error = |problem: String| findings.push(Finding::error(place(service), problem));
    if engine.batch_places == 0 {
        error("its engines run no requests at once".to_owned());
    }
    if engine.kv_tokens == 0 {
        error("its engines have no memory for tokens".to_owned());
    }
    if engine.models.is_empty() {
        error("its engines have no model".to_owned());
    }
    for model in &engine.models {
        if model.size_mb > engine.weights_mb {
            error(format!(
                "model \"{}\" of {} MB exceeds the engines' memory of {} MB",
                model.name, model.size_mb, engine.weights_mb
            ));
        }
    }
    for model in &engine.models {
        let fitting = engine.adapters_beside(std::slice::from_ref(&model.name));
        if fitting < engine.adapter_slots as usize && model.size_mb <= engine.weights_mb {
            let problem = format!(
                "{} adapter slots can't be filled: memory beside model \"{}\" is enough for {fitting}",
                engine.adapter_slots, model.name
            );
            findings.push(Finding::warning(place(service), problem));
        }
    }
}

fn place(service: &RelayService) -> Place {
    Place::Service(service.name.to_string())
}
