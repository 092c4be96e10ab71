mod fleet;
mod quotas;

use monsoonspread_model::fleet::RateLimit;
use monsoonspread_model::{InstanceName, UnixMs, UpstreamName};

use super::{PermitAnswer, PermitIssuer, PermitTerms, ReturnSchedule, issuer};

const NOW: UnixMs = UnixMs(1_000_000);
/// Span over which upstreams count requests, in milliseconds.
const WINDOW_MS: u64 = 4_000;

fn server() -> UpstreamName {
    "server-1".into()
}

fn terms(per_s: f64, wait_until: UnixMs) -> PermitTerms {
    PermitTerms {
        incarnation: 1,
        limit: RateLimit::new(per_s).expect("a limit"),
        is_confirmed: true,
        wait_until,
    }
}

fn unconfirmed(per_s: f64, wait_until: UnixMs) -> PermitTerms {
    PermitTerms {
        is_confirmed: false,
        ..terms(per_s, wait_until)
    }
}

/// Times at which requests may be sent that come each millisecond and wait for up to `patience_ms`.
fn send_times(
    issuer: &mut PermitIssuer,
    ms: u64,
    terms: impl Fn(UnixMs) -> PermitTerms,
) -> Vec<u64> {
    let requests = (0..ms).filter_map(|at| {
        let now = NOW + at;
        match issuer.on_request(now, &server(), terms(now)) {
            PermitAnswer::SendAt(at) => Some(at.0),
            PermitAnswer::Denied(free_at) => {
                assert!(free_at > now);
                None
            }
        }
    });
    requests.collect()
}

fn busiest_window(times: &[u64]) -> usize {
    let starts = times.iter();
    let windows = starts.map(|start| {
        let window = *start..*start + WINDOW_MS;
        times.iter().filter(|at| window.contains(at)).count()
    });
    windows.max().unwrap_or(0)
}

/// Most requests that a server may get in a window: the platform's rule.
fn allowed(per_s: f64) -> usize {
    (1.5 * per_s * WINDOW_MS as f64 / 1_000.0 + 5.0) as usize
}

/// Guards against more requests in any window than the platform allows, whether or not they wait, and
/// against leaving a part of what the server accepts unused.
#[test]
fn permits_keep_to_the_limit_and_use_it() {
    for per_s in [0.0, 0.3, 1.0, 2.2, 7.5, 40.0, 100.0] {
        for patience_ms in [0, 250, 2_000] {
            let mut issuer = PermitIssuer::new();
            let times = send_times(&mut issuer, 20_000, |now| terms(per_s, now + patience_ms));
            assert!(busiest_window(&times) <= allowed(per_s), "{per_s}");
            let expected = (per_s * 20.0) as usize;
            assert!(times.len() >= expected, "{per_s}: {}", times.len());
        }
    }
}

/// Guards against a pause that lets all permits of the pause be sent at once.
#[test]
fn an_idle_time_allows_only_a_small_burst() {
    let mut issuer = PermitIssuer::new();
    send_times(&mut issuer, 10, |now| terms(10.0, now));
    let later = NOW + 60_000;
    let at_once = (0..100).filter(|_| {
        let answer = issuer.on_request(later, &server(), terms(10.0, later));
        answer == PermitAnswer::SendAt(later)
    });
    assert_eq!(at_once.count(), 6);
}

/// Guards against two issuers, of which one is partitioned from the store, that each spend the limit.
#[test]
fn a_confirmed_and_an_unconfirmed_issuer_keep_to_the_limit_together() {
    for per_s in [0.5, 2.0, 7.5, 40.0] {
        let mut times = send_times(&mut PermitIssuer::new(), 20_000, |now| terms(per_s, now));
        let unconfirmed = send_times(&mut PermitIssuer::new(), 20_000, |now| {
            unconfirmed(per_s, now)
        });
        times.extend(unconfirmed);
        assert!(busiest_window(&times) <= allowed(per_s), "{per_s}");
    }
}

/// Guards against permits of an earlier incarnation that delay those of the next one.
#[test]
fn a_restarted_server_starts_with_a_new_schedule() {
    let mut issuer = PermitIssuer::new();
    for _ in 0..10 {
        issuer.on_request(NOW, &server(), terms(0.5, NOW + 60_000));
    }
    let next = PermitTerms {
        incarnation: 2,
        ..terms(0.5, NOW)
    };
    assert_eq!(
        issuer.on_request(NOW, &server(), next),
        PermitAnswer::SendAt(NOW)
    );
}

/// Guards against a request that jumps the queue of those that wait for a permit.
#[test]
fn permits_are_issued_in_order() {
    let mut issuer = PermitIssuer::new();
    let mut last = UnixMs(0);
    for number in 0..10 {
        let now = NOW + number;
        let answer = issuer.on_request(now, &server(), terms(2.0, now + 60_000));
        let PermitAnswer::SendAt(at) = answer else {
            panic!("no permit: {answer:?}");
        };
        assert!(at > last);
        last = at;
    }
    let now = NOW + 10;
    let answer = issuer.on_request(now, &server(), terms(2.0, now));
    assert_eq!(answer, PermitAnswer::Denied(last + 500));
}

/// Guards against refused clients that return all at once, out of order, or later than is of use.
#[test]
fn refused_clients_return_in_order_at_the_rate_of_the_service() {
    let mut schedule = ReturnSchedule::default();
    let service = "records";
    let mut returns = Vec::new();
    for number in 0..200 {
        let now = NOW + number * 10;
        returns.push(schedule.on_refused(now, &service, now + 300, 10.0));
    }
    assert_eq!(returns[0], NOW + 300);
    assert!(returns.is_sorted());
    let in_first_second = returns.iter().filter(|at| at.ms_since(NOW) < 1_300);
    assert_eq!(in_first_second.count(), 10);
    assert!(returns.iter().all(|at| at.ms_since(NOW) <= 7_000));
    // Once the overload is over, nobody waits for those that were refused.
    let later = NOW + 60_000;
    assert_eq!(schedule.on_refused(later, &service, later, 10.0), later);
}

#[test]
fn memory_is_bounded() {
    let mut issuer = PermitIssuer::new();
    for number in 0..5_000_u64 {
        let name = format!("server-{number}");
        issuer.on_request(
            NOW + number,
            &name.as_str().into(),
            terms(1.0, NOW + number),
        );
    }
    assert_eq!(issuer.rates(NOW).count(), 2_048);
}

/// Guards against a change of one instance that moves the issuers of many upstreams.
#[test]
fn a_leaving_instance_moves_only_its_own_upstreams() {
    let instances: Vec<InstanceName> = (0..8)
        .map(|n| format!("node-{n}").as_str().into())
        .collect();
    let mut of_last = 0;
    for number in 0..800 {
        let upstream: UpstreamName = format!("server-{number}").as_str().into();
        let before = issuer(&upstream, instances.iter());
        let after = issuer(&upstream, instances[..7].iter());
        if before == instances.last() {
            of_last += 1;
        } else {
            assert_eq!(before, after);
        }
    }
    assert!((50..150).contains(&of_last), "{of_last}");
}
