use monsoonspread_model::UnixMs;

use super::StopPlan;

/// Guards against requests that wait beyond the end of the process, and against a process that is killed before its
/// plan is over, for any length of the grace period.
#[test]
fn requests_that_wait_are_refused_before_the_process_ends() {
    for grace_ms in 0..60_000 {
        let requested_at = UnixMs(1_000_000);
        let plan = StopPlan::new(requested_at, grace_ms);
        let in_order = [
            requested_at,
            plan.closes_idle_at,
            plan.last_request_at,
            plan.last_start_at,
            plan.ends_at,
            plan.exits_by,
            requested_at + grace_ms,
        ];
        assert!(in_order.is_sorted(), "{grace_ms} ms: {plan:?}");
        // Answers that have begun get as long as requests may wait for one.
        let wait_ms = plan.last_start_at.ms_since(plan.last_request_at);
        let answer_ms = plan.ends_at.ms_since(plan.last_start_at);
        assert!(answer_ms >= wait_ms, "{grace_ms} ms: {plan:?}");
    }
}

/// Guards against a change of the times on which the platform's checks of readiness rely.
#[test]
fn a_long_grace_period_leaves_time_for_the_platform_to_look_twice() {
    let plan = StopPlan::new(UnixMs(0), 8_000);
    assert_eq!(plan.closes_idle_at, UnixMs(2_500));
    assert_eq!(plan.last_request_at, UnixMs(2_700));
    assert_eq!(plan.ends_at, UnixMs(7_300));
}
