//! Fault tests of bundle distribution: losses, partitions, forgeries and a store outage.

mod mesh;

use monsoonspread_model::message::{BundleContent, BundleNotice};
use monsoonspread_model::{BundleVersion, MeshMessage, bundle};
use quickcheck::{Arbitrary, Gen, QuickCheck};

use self::mesh::{Mesh, bundle, manifest};

const SEED: u64 = 20_261_204;
const NODES: usize = 5;
const VERSIONS: u64 = 12;

#[derive(Clone, Copy, Debug)]
enum Step {
    Round,
    Publish(usize, u64),
    /// A signed bundle of any version arrives again.
    Replay(usize, u64),
    /// A bundle arrives unsigned (`true`) or with altered content.
    Forge(usize, u64, bool),
    Cut(usize, u8),
    Store(bool),
    Corrupt(bool),
}

impl Arbitrary for Step {
    fn arbitrary(g: &mut Gen) -> Self {
        let node = usize::arbitrary(g) % NODES;
        let version = u64::arbitrary(g) % VERSIONS + 1;
        match u8::arbitrary(g) % 16 {
            0..=6 => Self::Round,
            7 | 8 => Self::Publish(node, version),
            9 | 10 => Self::Replay(node, version),
            11 => Self::Forge(node, version, bool::arbitrary(g)),
            12 | 13 => Self::Cut(node, u8::arbitrary(g) % 2),
            14 => Self::Store(bool::arbitrary(g)),
            _ => Self::Corrupt(bool::arbitrary(g)),
        }
    }
}

fn whole(version: u64, altered: bool) -> BundleContent {
    let mut content = bundle(version);
    if altered {
        content.adapters.pop_first();
    }
    BundleContent::Whole {
        manifest: manifest(version),
        content: bundle::encode(&content),
    }
}

fn step(mesh: &mut Mesh, step: Step) {
    match step {
        Step::Round => mesh.round(),
        Step::Publish(node, version) => mesh.publish(node, version),
        Step::Replay(node, version) => {
            let content = whole(version, false);
            mesh.receive(0, node, MeshMessage::BundleContent(content));
        }
        Step::Forge(node, version, unsigned) => {
            let mut content = whole(version, !unsigned);
            if let BundleContent::Whole { manifest, .. } = &mut content {
                manifest.signature = if unsigned { "" } else { "signed" }.to_owned();
                let notice = BundleNotice {
                    manifest: manifest.clone(),
                };
                let before = mesh.nodes[node].version();
                mesh.receive(0, node, MeshMessage::BundleNotice(notice));
                mesh.receive(0, node, MeshMessage::BundleContent(content));
                assert_eq!(mesh.nodes[node].version(), before, "a forgery was adopted");
            }
        }
        Step::Cut(node, side) => mesh.sides[node] = side,
        Step::Store(up) => mesh.store_up = up,
        Step::Corrupt(corrupt) => mesh.corrupt = corrupt,
    }
}

/// Guards against a version rollback, adoption of altered content and a mesh that does not
/// converge. `Mesh` asserts on each adoption that versions increase and content is the signed one.
#[test]
fn versions_never_fall_and_a_healed_mesh_agrees() {
    fn holds(steps: Vec<Step>) -> bool {
        let mut mesh = Mesh::new(NODES, SEED);
        mesh.loss_percent = 20;
        for one in steps {
            step(&mut mesh, one);
        }
        mesh.sides = vec![0; NODES];
        mesh.corrupt = false;
        mesh.store_up = true;
        mesh.publish(0, VERSIONS + 1);
        mesh.store_up = false;
        mesh.rounds_until_version(VERSIONS + 1, 200).is_some()
    }
    QuickCheck::new()
        .rng(Gen::from_size_and_seed(80, SEED))
        .tests(300)
        .quickcheck(holds as fn(Vec<Step>) -> bool);
}

#[test]
fn one_reader_of_the_store_is_enough_for_a_whole_zone() {
    let mut mesh = Mesh::new(100, SEED);
    mesh.publish(3, 1);
    mesh.store_up = false;
    assert!(mesh.rounds_until_version(1, 20).is_some());
}

#[test]
fn peers_that_follow_get_deltas_and_a_new_one_gets_the_whole_bundle() {
    let mut mesh = Mesh::new(10, SEED);
    mesh.publish(0, 1);
    mesh.rounds_until_version(1, 40).unwrap();
    mesh.whole_sent = 0;
    for version in 2..6 {
        mesh.publish(0, version);
        mesh.rounds_until_version(version, 40).unwrap();
    }
    assert_eq!(mesh.whole_sent, 0);
    assert!(mesh.deltas_sent >= 4 * 9);
}

#[test]
fn a_partitioned_side_catches_up_in_one_delta_after_the_partition() {
    let mut mesh = Mesh::new(10, SEED);
    mesh.publish(0, 1);
    mesh.rounds_until_version(1, 40).unwrap();
    mesh.sides[9] = 1;
    for version in 2..8 {
        mesh.publish(0, version);
        (0..20).for_each(|_| mesh.round());
    }
    assert_eq!(mesh.nodes[9].version(), BundleVersion(1));
    (mesh.sides[9], mesh.whole_sent, mesh.deltas_sent) = (0, 0, 0);
    assert!(mesh.rounds_until_version(7, 40).is_some());
    assert_eq!((mesh.whole_sent, mesh.deltas_sent), (0, 1));
}

#[test]
fn a_larger_zone_needs_few_more_rounds() {
    let rounds = |count| {
        let mut mesh = Mesh::new(count, SEED);
        mesh.publish(0, 1);
        mesh.rounds_until_version(1, 100).unwrap()
    };
    assert!(rounds(1_000) <= rounds(10) + 20);
}
