//! What each subcommand does.

use std::path::Path;

use serde::Serialize;

use crate::cli::{Cli, Command, CompareArgs, EmulateArgs, SlopesArgs};
use crate::compare;
use crate::emulator::{self, EmulatedRun, EmulatorSettings};
use crate::error::LoadError;
use crate::report;
use crate::slopes::{self, Slope};
use crate::workload::Workload;

/// Runs the command that was asked for.
///
/// # Errors
///
/// Fails when a file can't be read or written, or what it holds is faulty.
pub fn run(cli: &Cli) -> Result<(), LoadError> {
    match &cli.command {
        Command::Compare(args) => run_compare(args),
        Command::Slopes(args) => run_slopes(args),
        Command::Emulate(args) => run_emulate(args),
    }
}

fn run_compare(args: &CompareArgs) -> Result<(), LoadError> {
    let mut workload = read_workload(&args.workload)?;
    if let Some(seconds) = args.seconds {
        workload.phases = workload.phases.scaled_to(seconds as f64);
    }
    let runtime = tokio::runtime::Runtime::new().map_err(LoadError::Runtime)?;
    let comparison = runtime.block_on(compare::compare(&workload, &args.policies))?;
    print!("{}", report::table(&comparison));
    if let Some(directory) = &args.svg_dir {
        report::write_plots(directory, &comparison)?;
    }
    write_json(args.json.as_deref(), &comparison)
}

fn read_workload(file: &Path) -> Result<Workload, LoadError> {
    let text = std::fs::read_to_string(file).map_err(|source| LoadError::Read {
        file: file.to_owned(),
        source,
    })?;
    Workload::parse(&file.to_string_lossy(), &text).map_err(LoadError::Workload)
}

fn run_slopes(args: &SlopesArgs) -> Result<(), LoadError> {
    let probes = slopes::probes().into_iter();
    let chosen = probes.filter(|probe| probe.name.starts_with(&args.only));
    let slopes: Vec<Slope> = chosen.map(|probe| probe.run()).collect();
    print!("{}", slopes::table(&slopes));
    write_json(args.json.as_deref(), &slopes)
}

fn run_emulate(args: &EmulateArgs) -> Result<(), LoadError> {
    let settings = EmulatorSettings {
        requests_per_s: args.requests_per_s,
        seconds: args.seconds,
        seed: args.seed,
        announces: args.announces,
        uneven_every: args.uneven_every,
        uneven_percent: args.uneven_percent,
        ..EmulatorSettings::default()
    };
    let runs = args.instances.iter().flat_map(|instances| {
        let settings = settings.with_instances(*instances);
        let run = move |choice: &_| emulator::emulate(settings, *choice);
        args.choices.iter().map(run)
    });
    let runs: Vec<EmulatedRun> = runs.collect();
    print!("{}", emulator::run_table(&runs));
    if let Some(file) = &args.svg {
        emulator::write_plot(file, &runs)?;
    }
    write_json(args.json.as_deref(), &runs)
}

fn write_json<T: Serialize>(file: Option<&Path>, value: &T) -> Result<(), LoadError> {
    let Some(file) = file else {
        return Ok(());
    };
    let text = serde_json::to_string_pretty(value).expect("reports have text keys only");
    std::fs::write(file, text + "\n").map_err(|source| LoadError::Write {
        file: file.to_owned(),
        source,
    })
}
