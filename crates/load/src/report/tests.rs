use std::collections::BTreeMap;

use super::table;
use crate::compare::{Aim, Audit, Comparison, PhaseFigures, PhaseReport, PolicyReport};
use crate::fleet::FleetTotals;
use crate::plan::Phase;
use crate::record::{Quantiles, Summary};

fn phase(phase: Phase, p99_ms: f64, in_time: u64, load_wait_ms: u64) -> PhaseReport {
    let summary = Summary {
        sent: 100,
        in_time,
        first_token: Quantiles {
            p99_ms,
            ..Quantiles::default()
        },
        ..Summary::default()
    };
    let classes = ["short", "ordinary", "long"].map(|class| (class, summary.clone()));
    let figures = PhaseFigures {
        phase,
        length_s: 10.0,
        fleet: FleetTotals::default(),
        load_wait_ms,
    };
    PhaseReport {
        figures,
        all: summary.clone(),
        classes: BTreeMap::from(classes),
        crest: summary,
    }
}

fn policy(policy: &'static str, with_long_ms: f64, in_time: u64, wait_ms: u64) -> PolicyReport {
    PolicyReport {
        policy,
        phases: vec![
            phase(Phase::WarmUp, 0.0, 0, 9_999),
            phase(Phase::WithoutLong, 100.0, 100, wait_ms),
            phase(Phase::WithLong, with_long_ms, 100, wait_ms),
            phase(Phase::Slowed, 150.0, 100, wait_ms),
            phase(Phase::Swing, 100.0, in_time, wait_ms),
        ],
        swing_seconds: Vec::new(),
        audit: Audit::default(),
        worst_send_lag_ms: 0.0,
        busy_cores: 0.0,
    }
}

fn comparison() -> Comparison {
    Comparison {
        workload: "sample".to_owned(),
        seed: 1,
        seconds: 50.0,
        policies: vec![
            policy("random", 300.0, 20, 1_000),
            policy("hash", 200.0, 40, 500),
            policy("monsoonspread", 110.0, 50, 200),
        ],
    }
}

#[test]
fn aims_compare_with_the_best_baseline() {
    let aims = Aim::all(&comparison());
    let reached: Vec<bool> = aims.iter().map(Aim::reached).collect();
    assert_eq!(reached, [true, false, true, true]);
    assert_eq!(aims[1].ratio, 1.25);
    let by_request = |waited_ms: f64, swing: f64| waited_ms / (3.0 * 100.0 + swing);
    let ratio = by_request(200.0, 50.0) / by_request(500.0, 40.0);
    assert!((aims[2].ratio - ratio).abs() < 1e-9);
}

#[test]
fn the_table_has_a_column_for_each_policy_and_the_aims() {
    let text = table(&comparison());
    let first = text.lines().next().unwrap_or_default();
    assert!(first.contains("random") && first.contains("monsoonspread"));
    assert!(text.contains("at the crest in time"));
    assert!(text.contains("NOT reached requests in time at the crest"));
}
