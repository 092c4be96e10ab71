use super::{EmulatorSettings, EngineChoice, emulate};

/// Length of a run in which the first seconds, when copies are brought, are a small part.
const RUN_S: u64 = 20;

fn busiest_over_mean(instances: usize, choice: EngineChoice) -> f64 {
    let settings = EmulatorSettings {
        seconds: RUN_S,
        ..EmulatorSettings::default()
    };
    emulate(settings.with_instances(instances), choice).busiest_over_mean
}

/// A clump of requests on an engine is seen by the instances that did not send them.
#[test]
fn quotes_level_the_load_as_well_in_a_large_fleet_as_in_a_small_one() {
    let small = busiest_over_mean(7, EngineChoice::Quotes);
    let large = busiest_over_mean(195, EngineChoice::Quotes);
    assert!(large < 1.25 * small, "{small} and {large}");
}

#[test]
fn what_an_instance_saw_itself_fades_as_the_fleet_grows() {
    let own = busiest_over_mean(195, EngineChoice::OwnView);
    let quoted = busiest_over_mean(195, EngineChoice::Quotes);
    assert!(quoted < own, "{quoted} and {own}");
}

/// Every fourth engine works at half of the speed: by the time that requests take, none is filled
/// much more than the others.
#[test]
fn slow_engines_get_less_work() {
    let settings = EmulatorSettings {
        seconds: RUN_S,
        uneven_every: 4,
        ..EmulatorSettings::default()
    };
    let even = busiest_over_mean(195, EngineChoice::Quotes);
    let run = emulate(settings, EngineChoice::Quotes);
    assert!(
        run.busiest_over_mean_work < 1.25 * even,
        "{} and {even}",
        run.busiest_over_mean_work
    );
}

#[test]
fn a_run_depends_on_its_seed_only() {
    let settings = EmulatorSettings {
        seconds: 2,
        ..EmulatorSettings::default()
    };
    let run = || emulate(settings, EngineChoice::Quotes);
    let (first, second) = (run(), run());
    assert_eq!(first.first_event, second.first_event);
    assert_eq!(first.messages, second.messages);
}
