use crate::memory_budget::MachineShares;

/// The machines of the users' pages: memory in megabytes and descriptors.
const MACHINES: [(usize, usize); 5] = [
    (120, 3_075),
    (160, 4_100),
    (256, 4_096),
    (400, 10_250),
    (512, 8_192),
];

/// Guards against shares that together exceed a machine.
#[test]
fn shares_leave_room_for_the_process_itself() {
    for (memory_mb, descriptors) in MACHINES {
        let shares = MachineShares::new(memory_mb * 1_000_000, descriptors);
        let held =
            shares.body_bytes + shares.max_callers * 24 * 1024 + shares.max_unread * 128 * 1024;
        assert!(held <= memory_mb * 1_000_000 * 5 / 8, "{memory_mb} MB");
        assert!(2 * shares.max_callers * shares.small_body_bytes <= shares.small_bodies_bytes);
        // Each request takes a second descriptor to its upstream.
        assert!(
            2 * shares.max_callers + 200 <= descriptors,
            "{memory_mb} MB"
        );
    }
}

/// Guards against a machine too small for any connection.
#[test]
fn the_smallest_machine_still_serves() {
    let shares = MachineShares::new(0, 0);
    assert!(shares.max_callers > 0 && shares.max_peers > 0 && shares.max_unread > 0);
}
