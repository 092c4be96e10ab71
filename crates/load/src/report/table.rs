//! Comparisons as one table for a terminal.

use std::collections::BTreeMap;

use monsoonspread_model::RequestClass;

use crate::compare::{Aim, Comparison, PhaseReport, PolicyReport, head_of_line, slowed};
use crate::plan::Phase;
use crate::record::{Quantiles, Summary};

/// Width of the column of names.
const NAME_WIDTH: usize = 46;
/// Width of a policy's column.
const COLUMN_WIDTH: usize = 24;

/// Writes a comparison as a table with a column for each policy, and the aims below it.
pub fn table(comparison: &Comparison) -> String {
    let mut rows = Rows::new(comparison);
    rows.heading("workload");
    latencies(&mut rows);
    blocking(&mut rows);
    crest(&mut rows);
    loads(&mut rows);
    slowness(&mut rows);
    correctness(&mut rows);
    machine(&mut rows);
    let aims = Aim::all(comparison);
    let aims = aims.iter().map(|aim| format!("{aim}\n"));
    std::iter::once(rows.text).chain(aims).collect()
}

/// Rows written so far.
struct Rows<'a> {
    comparison: &'a Comparison,
    text: String,
}

impl<'a> Rows<'a> {
    fn new(comparison: &'a Comparison) -> Self {
        Self {
            comparison,
            text: String::new(),
        }
    }

    fn heading(&mut self, _: &str) {
        let Comparison {
            workload,
            seed,
            seconds,
            ..
        } = self.comparison;
        let title = format!("{workload}, seed {seed}, {seconds:.0} s a policy");
        self.row(&title, |report| report.policy.to_owned());
    }

    fn row(&mut self, name: &str, cell: impl Fn(&PolicyReport) -> String) {
        let mut line = format!("{name:<NAME_WIDTH$}");
        for report in &self.comparison.policies {
            line.push_str(&format!("{:>COLUMN_WIDTH$}", cell(report)));
        }
        self.text.push_str(line.trim_end());
        self.text.push('\n');
    }

    fn phase_row(&mut self, phase: Phase, name: &str, cell: impl Fn(&PhaseReport) -> String) {
        self.row(name, |report| cell(report.phase(phase)));
    }
}

fn latencies(rows: &mut Rows<'_>) {
    for phase in [Phase::WithLong, Phase::Swing] {
        for class in RequestClass::ALL {
            let name = format!("{} {}", phase.as_str(), class.as_str());
            rows.phase_row(
                phase,
                &format!("{name} first token p50/95/99 ms"),
                |report| quantiles(&report.class(class).first_token),
            );
            rows.phase_row(phase, &format!("{name} total p50/95/99 ms"), |report| {
                quantiles(&report.class(class).total)
            });
            rows.phase_row(phase, &format!("{name} in time"), |report| {
                in_time(report.class(class))
            });
        }
    }
}

fn blocking(rows: &mut Rows<'_>) {
    let short = RequestClass::Short;
    rows.phase_row(
        Phase::WithoutLong,
        "short without long, first token p99 ms",
        |report| format!("{:.0}", report.class(short).first_token.p99_ms),
    );
    rows.phase_row(
        Phase::WithLong,
        "short with long, first token p99 ms",
        |report| format!("{:.0}", report.class(short).first_token.p99_ms),
    );
    rows.row("head-of-line ratio", |report| {
        format!("{:.2}", head_of_line(report))
    });
    rows.phase_row(Phase::WithoutLong, "short without long in time", |report| {
        in_time(report.class(short))
    });
}

fn crest(rows: &mut Rows<'_>) {
    rows.phase_row(Phase::Swing, "at the crest in time", |report| {
        in_time(&report.crest)
    });
    rows.phase_row(Phase::Swing, "at the crest refused / gave up", |report| {
        let refused: u64 = report.crest.refused.values().sum();
        format!("{refused} / {}", report.crest.gave_up)
    });
}

fn loads(rows: &mut Rows<'_>) {
    for phase in [Phase::WithLong, Phase::Swing] {
        let name = phase.as_str();
        rows.phase_row(phase, &format!("{name} loads a second"), |report| {
            format!("{:.1}", report.loads_per_s())
        });
        rows.phase_row(phase, &format!("{name} answers for each load"), |report| {
            format!("{:.1}", report.answers_per_load())
        });
        rows.phase_row(phase, &format!("{name} waited for loads, s"), |report| {
            format!("{:.1}", report.figures.load_wait_ms as f64 / 1_000.0)
        });
        rows.phase_row(phase, &format!("{name} mean batch"), |report| {
            format!("{:.2}", report.figures.fleet.mean_batch())
        });
    }
}

fn slowness(rows: &mut Rows<'_>) {
    for phase in [Phase::WithLong, Phase::Slowed] {
        rows.phase_row(
            phase,
            &format!("{} all first token p99 ms", phase.as_str()),
            |report| format!("{:.0}", report.all.first_token.p99_ms),
        );
        rows.phase_row(
            phase,
            &format!("{} all in time", phase.as_str()),
            |report| in_time(&report.all),
        );
    }
    rows.row("slowed ratio", |report| format!("{:.2}", slowed(report)));
}

fn correctness(rows: &mut Rows<'_>) {
    for reason in refusal_reasons(rows.comparison) {
        rows.row(&format!("refused: {reason}"), |report| {
            let refused = report
                .phases
                .iter()
                .filter_map(|phase| phase.all.refused.get(reason));
            refused.sum::<u64>().to_string()
        });
    }
    let total = |of: fn(&Summary) -> u64| {
        move |report: &PolicyReport| {
            let sum: u64 = report.phases.iter().map(|phase| of(&phase.all)).sum();
            sum.to_string()
        }
    };
    rows.row("gave up at the deadline", total(|all| all.gave_up));
    rows.row("broken answers", total(|all| all.broken));
    rows.row("wrong answers", |report| {
        report.audit.wrong_answers.to_string()
    });
    rows.row("runs on a wrong adapter", |report| {
        report.audit.wrong_runs.to_string()
    });
    rows.row("requests run more than once", |report| {
        report.audit.run_again.to_string()
    });
    rows.row("false \"not run\"", |report| {
        report.audit.false_not_run.to_string()
    });
    rows.row("pin violations", |report| {
        let violations = report
            .phases
            .iter()
            .map(|phase| phase.figures.fleet.pin_violations);
        violations.sum::<u64>().to_string()
    });
}

fn machine(rows: &mut Rows<'_>) {
    rows.row("worst send lag, ms", |report| {
        format!("{:.1}", report.worst_send_lag_ms)
    });
    rows.row("busy cores", |report| format!("{:.1}", report.busy_cores));
}

fn refusal_reasons(comparison: &Comparison) -> Vec<&'static str> {
    let all = comparison.policies.iter().flat_map(|report| &report.phases);
    let reasons: BTreeMap<&'static str, ()> = all
        .flat_map(|phase| phase.all.refused.keys())
        .map(|reason| (*reason, ()))
        .collect();
    reasons.into_keys().collect()
}

fn quantiles(quantiles: &Quantiles) -> String {
    let Quantiles {
        p50_ms,
        p95_ms,
        p99_ms,
        ..
    } = quantiles;
    format!("{p50_ms:.0} / {p95_ms:.0} / {p99_ms:.0}")
}

fn in_time(summary: &Summary) -> String {
    let share = summary.in_time_share() * 100.0;
    format!("{} of {} = {share:.1} %", summary.in_time, summary.sent)
}
