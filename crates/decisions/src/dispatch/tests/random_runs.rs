//! Random interleavings with lost, late, reordered and duplicated messages.

use monsoonspread_model::message::{GrantAnswer, GrantReply};
use monsoonspread_model::{Epoch, Refusal, RefusalReason, RequestClass};
use quickcheck::{Arbitrary, Gen};

use super::world::{UPSTREAMS, World, upstream};
use crate::dispatch::{DispatchSettings, EndKind};

const RUNS: u64 = 300;
const STEPS: usize = 400;
const REQUESTS: u64 = 40;

#[test]
fn each_request_gets_one_correct_result_despite_message_faults() {
    for seed in 0..RUNS {
        let mut random = Gen::from_size_and_seed(100, seed);
        run(&mut random);
    }
}

fn run(random: &mut Gen) {
    let mut world = World::new(DispatchSettings::default());
    let mut late: Vec<GrantReply> = Vec::new();
    let mut next = 0;
    let mut epochs = [1_u64; UPSTREAMS];
    for _ in 0..STEPS {
        match below(random, 10) {
            0 if next < REQUESTS => {
                let class = *random.choose(&RequestClass::ALL).unwrap();
                let resumable = bool::arbitrary(random);
                world.request(next, class, resumable);
                next += 1;
            }
            1 | 2 => answer(random, &mut world, &mut late, &epochs),
            3 if !late.is_empty() => {
                let index = below(random, late.len());
                let reply = late[index].clone();
                if bool::arbitrary(random) {
                    late.swap_remove(index);
                }
                world.deliver(&reply);
            }
            4 | 5 => progress(random, &mut world),
            6 => {
                let number = below(random, UPSTREAMS);
                epochs[number] += 1;
                world.announce(&upstream(number), Epoch(epochs[number]));
            }
            7 => world.advance(below(random, 60) as u64),
            8 if bool::arbitrary(random) => world.advance(300),
            _ => {}
        }
    }
    for reply in late {
        world.deliver(&reply);
    }
    world.advance(80_000);
    world.check_end();
}

/// The owner answers a random grant request: in time, late or twice.
fn answer(random: &mut Gen, world: &mut World, late: &mut Vec<GrantReply>, epochs: &[u64]) {
    if world.grant_requests.is_empty() {
        return;
    }
    let index = below(random, world.grant_requests.len());
    let (request, target) = world.grant_requests[index].clone();
    let number = (0..UPSTREAMS)
        .find(|number| upstream(*number) == target)
        .unwrap();
    let old = bool::arbitrary(random) && bool::arbitrary(random);
    let epoch = epochs[number] - u64::from(old && epochs[number] > 1);
    let answer = match below(random, 6) {
        0..=2 => world.grant(epoch),
        3 => GrantAnswer::Queued {
            expected_at_unix_ms: world.now + below(random, 3_000) as u64,
        },
        4 => GrantAnswer::NotRun(Refusal::not_run(RefusalReason::Overloaded, "full")),
        _ => GrantAnswer::NotOwner,
    };
    let reply = GrantReply {
        request,
        upstream: target,
        epoch: Epoch(epoch),
        answer,
    };
    match below(random, 4) {
        0 => late.push(reply),
        1 => {
            late.push(reply.clone());
            world.deliver(&reply);
        }
        _ => world.deliver(&reply),
    }
}

/// A random generation produces its first token or ends.
fn progress(random: &mut Gen, world: &mut World) {
    let running: Vec<_> = world.running.keys().copied().collect();
    let Some((request, attempt)) = random.choose(&running).copied() else {
        return;
    };
    let kinds = [
        EndKind::Done,
        EndKind::Unreachable,
        EndKind::Refused,
        EndKind::CopyMissing,
        EndKind::Broken,
        EndKind::WrongAdapter,
    ];
    match below(random, 3) {
        0 => world.first_token(request, attempt),
        1 => {
            world.first_token(request, attempt);
            let kind = *random.choose(&[EndKind::Done, EndKind::Broken]).unwrap();
            world.end(request, attempt, kind);
        }
        _ => world.end(request, attempt, *random.choose(&kinds).unwrap()),
    }
}

fn below(random: &mut Gen, bound: usize) -> usize {
    usize::arbitrary(random) % bound
}
