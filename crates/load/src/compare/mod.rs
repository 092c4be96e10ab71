//! Comparing policies: the same plan against the same stand-ins, one policy after another.

mod aim;
mod audit;
mod cpu;
mod player;
mod report;
mod session;

pub use aim::{Aim, head_of_line, slowed};
pub use audit::Audit;
pub use cpu::{CpuMeter, cpu_s};
pub use player::Player;
pub use report::{Comparison, PhaseFigures, PhaseReport, PolicyReport, SecondReport};
pub use session::Session;

use crate::error::LoadError;
use crate::plan::Plan;
use crate::policy::PolicyName;
use crate::workload::Workload;

/// Runs `workload` under each of `policies`.
///
/// # Errors
///
/// Fails when stand-ins or a policy can't be started.
pub async fn compare(
    workload: &Workload,
    policies: &[PolicyName],
) -> Result<Comparison, LoadError> {
    let plan = Plan::new(workload);
    let mut reports = Vec::new();
    for name in policies {
        log::info!("{} runs", name.as_str());
        let session = Session::start(workload, &plan, *name).await?;
        reports.push(session.run(*name).await);
    }
    Ok(Comparison {
        workload: workload.name.clone(),
        seed: workload.seed,
        seconds: workload.phases.total_s(),
        policies: reports,
    })
}
