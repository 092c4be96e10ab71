use monsoonspread_model::UnixMs;

use crate::memory_budget::{
    Admission, ConnectionBudget, ConnectionId, ConnectionKind, MachineShares,
};

const CALLERS: usize = 4;
const UNREAD: usize = 2;
const UNREAD_TIMEOUT_MS: u64 = 10_000;

fn budget() -> ConnectionBudget {
    let shares = MachineShares {
        max_unread: UNREAD,
        max_callers: CALLERS,
        max_peers: 3,
        max_unnamed_peers: 1,
        ..MachineShares::new(0, 0)
    };
    ConnectionBudget::new(shares, UNREAD_TIMEOUT_MS)
}

/// Opens all connections of callers, one a millisecond.
fn full() -> (ConnectionBudget, Vec<ConnectionId>) {
    let mut budget = budget();
    let mut open = Vec::new();
    for at in 0..CALLERS as u64 {
        match budget.open(UnixMs(at), ConnectionKind::Caller) {
            Admission::Admitted(id) => open.push(id),
            other => panic!("{other:?}"),
        }
    }
    (budget, open)
}

fn closed_for_a_new_one(budget: &mut ConnectionBudget, now: UnixMs) -> Option<ConnectionId> {
    match budget.open(now, ConnectionKind::Caller) {
        Admission::AdmittedInPlaceOf(_, closed) => Some(closed),
        Admission::Refused => None,
        Admission::Admitted(_) => panic!("a free connection"),
    }
}

/// Answers many connections that send nothing, or no complete head.
#[test]
fn the_one_that_was_idle_for_longest_is_closed() {
    let (mut budget, open) = full();
    budget.on_request(open[0]);
    budget.on_idle(UnixMs(100), open[0]);
    assert_eq!(
        closed_for_a_new_one(&mut budget, UnixMs(200)),
        Some(open[1])
    );
    assert_eq!(budget.count(ConnectionKind::Caller), CALLERS);
}

/// Guards against requests that are ended for new connections.
#[test]
fn connections_with_a_request_stay_open() {
    let (mut budget, open) = full();
    open.iter().for_each(|id| budget.on_request(*id));
    assert_eq!(closed_for_a_new_one(&mut budget, UnixMs(60_000)), None);
}

/// Answers clients that hold every connection with answers that they don't read.
#[test]
fn an_answer_that_stays_unread_yields_to_a_new_connection() {
    let (mut budget, open) = full();
    open.iter().for_each(|id| budget.on_request(*id));
    assert_eq!(budget.on_unread(UnixMs(100), open[2]), None);
    assert_eq!(closed_for_a_new_one(&mut budget, UnixMs(200)), None);
    assert_eq!(
        closed_for_a_new_one(&mut budget, UnixMs(2_000)),
        Some(open[2])
    );
}

/// Answers many clients that don't read their answers.
#[test]
fn too_many_unread_answers_close_the_oldest() {
    let (mut budget, open) = full();
    for (at, id) in open[..UNREAD].iter().enumerate() {
        assert_eq!(budget.on_unread(UnixMs(at as u64), *id), None);
    }
    assert_eq!(budget.on_unread(UnixMs(5_000), open[2]), Some(open[0]));
}

/// Answers many clients that stop reading at the same moment.
#[test]
fn too_many_unread_answers_are_closed_once_they_are_old_enough() {
    let (mut budget, open) = full();
    for id in &open {
        assert_eq!(budget.on_unread(UnixMs(10), *id), None);
    }
    assert!(budget.on_tick(UnixMs(500)).is_empty());
    assert_eq!(budget.on_tick(UnixMs(1_500)), &open[..CALLERS - UNREAD]);
    assert_eq!(budget.unread_count(), UNREAD);
}

/// Answers a client that takes nothing for a long time, without any shortage.
#[test]
fn a_client_that_takes_nothing_is_closed() {
    let (mut budget, open) = full();
    budget.on_unread(UnixMs(0), open[0]);
    budget.on_unread(UnixMs(0), open[1]);
    budget.on_read(open[1]);
    assert!(budget.on_tick(UnixMs(UNREAD_TIMEOUT_MS - 1)).is_empty());
    assert_eq!(budget.on_tick(UnixMs(UNREAD_TIMEOUT_MS)), [open[0]]);
}

/// Guards against callers that use up the connections of other instances.
#[test]
fn callers_take_no_connections_of_peers() {
    let (mut budget, _) = full();
    let peer = budget.open(UnixMs(9), ConnectionKind::Peer);
    assert!(matches!(peer, Admission::Admitted(_)));
}

/// Guards against limits that a request ended for a new connection doesn't lift.
#[test]
fn a_connection_beyond_the_limit_counts_until_one_is_closed() {
    let (mut budget, open) = full();
    open.iter().for_each(|id| budget.on_request(*id));
    let beyond = budget.open_beyond(UnixMs(9), ConnectionKind::Caller);
    budget.on_request(beyond);
    budget.close(open[0]);
    assert_eq!(closed_for_a_new_one(&mut budget, UnixMs(10)), None);
}

/// Answers connections to the listener of instances that don't name themselves.
#[test]
fn unnamed_peers_close_each_other_but_no_named_one() {
    let (mut budget, _) = full();
    let Admission::Admitted(named) = budget.open(UnixMs(0), ConnectionKind::Peer) else {
        panic!("a free connection");
    };
    budget.on_request(named);
    let Admission::Admitted(first) = budget.open(UnixMs(1), ConnectionKind::Peer) else {
        panic!("a free connection");
    };
    let second = budget.open(UnixMs(2), ConnectionKind::Peer);
    assert!(matches!(second, Admission::AdmittedInPlaceOf(_, closed) if closed == first));
}
