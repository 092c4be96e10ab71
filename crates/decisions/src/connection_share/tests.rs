use super::idle_connections;

/// Load: a crest at 80 instances before a server with 540 connections, after which each keeps what it may.
#[test]
fn idle_connections_of_all_instances_leave_room_for_requests() {
    for (max_connections, instances) in [(540, 80), (490, 71), (100, 7), (430, 61)] {
        let idle = idle_connections(max_connections, instances) * instances;
        assert!(
            idle <= max_connections as usize / 2,
            "{idle} of {max_connections}"
        );
    }
}

/// Guards against an instance that opens a connection for each request, or divides by no instances.
#[test]
fn an_instance_keeps_at_least_one_connection() {
    assert_eq!(idle_connections(10, 1_700), 1);
    assert_eq!(idle_connections(0, 0), 1);
}
