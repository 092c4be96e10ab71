use monsoonspread_model::{RefusalReason, RequestClass};

use super::{Ending, Outcome, Summary};
use crate::plan::{Phase, PlannedRequest};

fn outcome(ending: Ending, first_token_ms: Option<u64>, total_ms: u64) -> Outcome {
    let request = PlannedRequest {
        id: 1,
        phase: Phase::Swing,
        at_us: 0,
        adapter: 1,
        class: RequestClass::Short,
        tokens: 8,
        prompt_tokens: 8,
        deadline_ms: 1_000,
        caller: 1,
        zone: 0,
        at_crest: true,
    };
    Outcome {
        request,
        ending,
        first_token_us: first_token_ms.map(|ms| ms * 1_000),
        total_us: total_ms * 1_000,
        sent_late_us: 0,
        said_not_run: false,
        tries: 1,
    }
}

#[test]
fn only_whole_answers_by_the_deadline_are_in_time() {
    assert!(outcome(Ending::Answered, Some(1_000), 5_000).in_time());
    assert!(!outcome(Ending::Answered, Some(1_001), 5_000).in_time());
    assert!(!outcome(Ending::Broken("closed".to_owned()), Some(10), 20).in_time());
    assert!(!outcome(Ending::GaveUp, None, 1_000).in_time());
}

#[test]
fn a_summary_counts_each_ending_and_those_who_gave_up_as_waiting() {
    let outcomes = [
        outcome(Ending::Answered, Some(100), 200),
        outcome(Ending::GaveUp, None, 1_000),
        outcome(Ending::Refused(RefusalReason::Overloaded), None, 3),
        outcome(Ending::Wrong("needle-2".to_owned()), Some(50), 80),
    ];
    let summary = Summary::of(outcomes.iter());
    assert_eq!((summary.sent, summary.in_time, summary.answered), (4, 1, 1));
    assert_eq!((summary.gave_up, summary.wrong), (1, 1));
    assert_eq!(summary.refused.get("overloaded"), Some(&1));
    assert_eq!(summary.first_token.count, 3);
    assert_eq!(summary.first_token.p99_ms.round(), 1_000.0);
    assert_eq!(summary.total.count, 1);
}
