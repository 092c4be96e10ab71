//! A whole comparison at a small size.

use monsoonspread_load::compare::{Aim, compare};
use monsoonspread_load::plan::{Phase, Plan};
use monsoonspread_load::policy::PolicyName;
use monsoonspread_load::report;
use monsoonspread_load::workload::Workload;

fn workload() -> Workload {
    let text = include_str!("tiny.toml");
    Workload::parse("tiny.toml", text).unwrap_or_else(|findings| panic!("{findings}"))
}

#[tokio::test(flavor = "multi_thread")]
async fn each_policy_answers_or_refuses_the_whole_plan() {
    let workload = workload();
    let planned = Plan::new(&workload).requests.len() as u64;
    let policies = [
        PolicyName::Random,
        PolicyName::LeastLoaded,
        PolicyName::Hash,
        PolicyName::Monsoonspread,
    ];
    let comparison = compare(&workload, &policies).await.unwrap();
    for report in &comparison.policies {
        let answered: u64 = report.phases.iter().map(|phase| phase.all.answered).sum();
        let refused = report
            .phases
            .iter()
            .flat_map(|phase| phase.all.refused.values());
        let refused: u64 = refused.sum();
        assert!(answered > 0, "{}", report.policy);
        assert_eq!(answered + refused, planned, "{}", report.policy);
        assert_eq!(report.audit.wrong_runs, 0, "{}", report.policy);
        assert_eq!(report.audit.wrong_answers, 0, "{}", report.policy);
        assert_eq!(report.audit.false_not_run, 0, "{}", report.policy);
        assert!(report.phase(Phase::WithLong).figures.fleet.tokens > 0);
    }
    assert_eq!(Aim::all(&comparison).len(), 4);
    assert!(report::table(&comparison).contains("monsoonspread"));
}
