use monsoonspread_model::RequestClass;

use super::{Phase, Plan};
use crate::workload::Workload;

fn workload() -> Workload {
    let text = include_str!("../../../../workloads/nalverk.toml");
    Workload::parse("nalverk.toml", text).expect("the shipped workload is valid")
}

#[test]
fn same_seed_gives_the_same_plan() {
    let workload = workload();
    assert_eq!(Plan::new(&workload), Plan::new(&workload));
}

#[test]
fn phases_without_and_with_long_work_differ_only_in_it() {
    let plan = Plan::new(&workload());
    let without: Vec<u64> = plan
        .of(Phase::WithoutLong)
        .map(|request| request.at_us)
        .collect();
    let with: Vec<u64> = plan
        .of(Phase::WithLong)
        .filter(|request| request.class != RequestClass::Long)
        .map(|request| request.at_us)
        .collect();
    assert_eq!(without, with);
    assert!(plan.of(Phase::WithLong).count() > with.len());
}

#[test]
fn crests_raise_the_arrivals() {
    let workload = workload();
    let plan = Plan::new(&workload);
    let steady = plan.of(Phase::WithLong).count() as f64 / workload.phases.steady_s;
    let swing = plan.of(Phase::Swing).count() as f64 / workload.phases.swing_s;
    assert!(plan.of(Phase::Swing).any(|request| request.at_crest));
    assert!(plan.of(Phase::WithLong).all(|request| !request.at_crest));
    assert!(swing > steady * 1.2, "{swing} and {steady} a second");
}

#[test]
fn a_shift_makes_other_adapters_popular() {
    let workload = workload();
    let plan = Plan::new(&workload);
    let shift_us = (workload.adapters.shifts[0].at_share * workload.phases.swing_s * 1e6) as u64;
    let most_popular = |after: bool| {
        let mut counts = vec![0; workload.adapters.count as usize];
        plan.of(Phase::Swing)
            .filter(|request| (request.at_us > shift_us) == after)
            .for_each(|request| counts[request.adapter as usize] += 1);
        (0..counts.len()).max_by_key(|adapter| counts[*adapter])
    };
    assert_ne!(most_popular(false), most_popular(true));
}
