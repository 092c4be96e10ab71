//! Grant messages decode to what was encoded, and their size stays within the control bandwidth.

use monsoonspread_model::message::{
    GrantAnswer, GrantId, GrantOutcome, GrantReply, GrantRequest, GrantReturn, MeshMessage,
    RequestId, decode, encode,
};
use monsoonspread_model::{AdapterRef, BundleVersion, Epoch, RequestClass, UnixMs};
use quickcheck::{Arbitrary, Gen};

/// Maximum size of the grant messages of one request: 17 requests/s in both directions then take
/// less than half of the 17 KB/s that a node has for control traffic.
const GRANT_ROUND_BYTES: usize = 240;

fn request(random: &mut Gen) -> GrantRequest {
    GrantRequest {
        request: RequestId(u64::arbitrary(random)),
        upstream: String::arbitrary(random).into(),
        adapter: AdapterRef::new(String::arbitrary(random), u32::arbitrary(random)),
        class: *random.choose(&RequestClass::ALL).unwrap(),
        priority: u8::arbitrary(random),
        caller: String::arbitrary(random).into(),
        tokens: u32::arbitrary(random),
        arrived_at_unix_ms: UnixMs(u64::from(u32::arbitrary(random))),
        deadline_unix_ms: UnixMs(u64::from(u32::MAX) + u64::from(u32::arbitrary(random))),
        bundle_version: BundleVersion(u64::arbitrary(random)),
        may_load: bool::arbitrary(random),
    }
}

#[test]
fn grant_messages_round_trip() {
    for seed in 0..200 {
        let mut random = Gen::from_size_and_seed(12, seed);
        let request = request(&mut random);
        let reply = MeshMessage::GrantReply(GrantReply {
            request: request.request,
            upstream: request.upstream.clone(),
            epoch: Epoch(u64::arbitrary(&mut random)),
            answer: GrantAnswer::Queued {
                expected_at_unix_ms: request.deadline_unix_ms,
            },
        });
        let returned = MeshMessage::GrantReturn(GrantReturn {
            upstream: request.upstream.clone(),
            grant: GrantId {
                epoch: Epoch(3),
                serial: u64::arbitrary(&mut random),
            },
            outcome: GrantOutcome::Broken,
            first_token_ms: Option::arbitrary(&mut random),
            token_gap_us: Option::arbitrary(&mut random),
            tokens: u32::arbitrary(&mut random),
        });
        for message in [MeshMessage::GrantRequest(request), reply, returned] {
            let bytes = encode(&message);
            assert_eq!(decode(&bytes).unwrap(), message, "seed {seed}");
            assert!(decode(&bytes[..bytes.len() - 1]).is_err(), "seed {seed}");
        }
    }
}

#[test]
fn one_grant_round_fits_the_control_bandwidth() {
    let mut random = Gen::from_size_and_seed(1, 1);
    let request = GrantRequest {
        request: RequestId(u64::from(u32::MAX)),
        upstream: "engine-0412".into(),
        adapter: AdapterRef::new("needle-00412", 3),
        caller: "nalverk-bench".into(),
        arrived_at_unix_ms: UnixMs(1_796_000_000_000),
        deadline_unix_ms: UnixMs(1_796_000_002_000),
        bundle_version: BundleVersion(12_345),
        tokens: 900,
        ..request(&mut random)
    };
    let grant = GrantId {
        epoch: Epoch(70_000),
        serial: 100_000,
    };
    let reply = GrantReply {
        request: request.request,
        upstream: request.upstream.clone(),
        epoch: grant.epoch,
        answer: GrantAnswer::Granted {
            grant,
            copy_epoch: grant.epoch,
            expires_at_unix_ms: UnixMs(1_796_000_600_000),
        },
    };
    let returned = GrantReturn {
        upstream: request.upstream.clone(),
        grant,
        outcome: GrantOutcome::Done,
        first_token_ms: Some(400),
        token_gap_us: Some(28_000),
        tokens: 900,
    };
    let bytes = encode(&MeshMessage::GrantRequest(request)).len()
        + encode(&MeshMessage::GrantReply(reply)).len()
        + encode(&MeshMessage::GrantReturn(returned)).len();
    assert!(bytes <= GRANT_ROUND_BYTES, "one round takes {bytes} bytes");
}
