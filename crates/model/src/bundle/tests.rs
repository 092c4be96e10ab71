use ed25519_dalek::SigningKey;
use quickcheck::{Arbitrary, Gen};

use super::*;
use crate::AdapterName;

const VALID_SOURCE: &str = r#"
version = 12
base_models = ["barometer-8b"]
[callers.bench]
key_sha256 = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"
groups = ["benches"]
max_in_flight = 64
[adapters.needle-7]
base_model = "barometer-8b"
versions = [1, 2]
default_version = 2
group = "benches"
priority = 5
[services.records]
group = "benches"
[services.records.calls.commit-offset]
repeatable = false
timeout_ms = 2000
"#;

fn valid_bundle() -> Bundle {
    read_source("valid.toml", VALID_SOURCE).unwrap()
}

#[test]
fn a_valid_bundle_resolves_versions_and_calls() {
    let bundle = valid_bundle();
    let caller = "bench".into();
    let resolve = |model: &str| bundle.resolve(&caller, &model.parse().unwrap());
    assert_eq!(
        resolve("needle-7").unwrap().adapter.to_string(),
        "needle-7@2"
    );
    assert_eq!(resolve("needle-7@1").unwrap().adapter.version, 1);
    assert_eq!(
        resolve("needle-7@3").unwrap_err().message,
        "version 3 of adapter \"needle-7\" is not offered in bundle 12"
    );
    assert!(
        !bundle
            .call(&caller, "records", "commit-offset")
            .unwrap()
            .repeatable
    );
    let stranger = "stranger".into();
    let refusal = bundle.resolve(&stranger, &"needle-7".parse().unwrap());
    assert!(refusal.unwrap_err().not_run);
}

#[test]
fn all_findings_of_a_bad_bundle_come_together() {
    let text = VALID_SOURCE
        .replace("default_version = 2", "default_version = 3\ncolour = 1")
        .replace(
            "group = \"benches\"\npriority = 5",
            "group = \"cards\"\npriority = 50",
        )
        .replace("repeatable = false", "");
    let findings = read_source("bad.toml", &text).unwrap_err().to_string();
    let expected = "bad.toml:11: adapters.needle-7.default_version: version 3 is not in versions\n\
                    bad.toml:12: adapters.needle-7.colour: is not a known key\n\
                    bad.toml:13: adapters.needle-7.group: no caller is in group \"cards\"\n\
                    bad.toml:14: adapters.needle-7.priority: must be from 0 to 9\n";
    assert!(findings.starts_with(expected), "{findings}");
    assert!(findings.contains("repeatable: is missing"), "{findings}");
}

#[test]
fn a_source_file_round_trips() {
    assert_eq!(
        read_source("again.toml", &write_source(&valid_bundle())),
        Ok(valid_bundle())
    );
}

#[test]
fn only_accepted_keys_and_untouched_manifests_verify() {
    let key = SigningKey::from_bytes(&[1; 32]);
    let other = SigningKey::from_bytes(&[2; 32]);
    let content = encode(&valid_bundle());
    let manifest = Manifest::sign(BundleVersion(12), &content, &key);
    let verifier = Verifier::new(vec![key.verifying_key()]);
    assert!(verifier.verify(&manifest));
    assert!(!Verifier::new(vec![other.verifying_key()]).verify(&manifest));
    let newer = Manifest {
        version: BundleVersion(13),
        ..manifest.clone()
    };
    assert!(!verifier.verify(&newer));
    let other_content = Manifest {
        digest: digest(b"other"),
        ..manifest
    };
    assert!(!verifier.verify(&other_content));
}

#[test]
fn parts_are_joined_only_when_each_is_the_signed_one() {
    let content = vec![7; MAX_PART_BYTES + 1];
    let parts: Vec<Vec<u8>> = split(&content).into_iter().map(<[u8]>::to_vec).collect();
    let digests: Vec<String> = parts.iter().map(|part| digest(part)).collect();
    assert_eq!(join(&digests, &parts).unwrap(), content);
    let mut wrong = parts.clone();
    wrong[1][0] = 8;
    assert!(matches!(
        join(&digests, &wrong),
        Err(EncodingError::WrongPart { index: 1, .. })
    ));
    assert!(join(&digests, &parts[..1]).is_err());
}

#[test]
fn a_delta_turns_any_bundle_into_any_other() {
    for seed in 0..50 {
        let mut random = Gen::from_size_and_seed(20, seed);
        let (old, new) = (any_bundle(&mut random, 1), any_bundle(&mut random, 2));
        let delta = BundleDelta::between(&old, &new);
        assert_eq!(delta.apply(&old), Some(new.clone()), "seed {seed}");
        assert_eq!(delta.apply(&new), None, "seed {seed}");
    }
}

#[test]
fn arbitrary_bytes_and_text_never_panic() {
    for seed in 0..200 {
        let mut random = Gen::from_size_and_seed(200, seed);
        let bytes = Vec::<u8>::arbitrary(&mut random);
        let _ = decode(&bytes);
        let _ = crate::message::decode(&bytes);
        let text = String::arbitrary(&mut random);
        let _ = read_source("noise.toml", &text);
        let cut = &VALID_SOURCE[..usize::arbitrary(&mut random) % VALID_SOURCE.len()];
        let _ = read_source("cut.toml", cut);
    }
}

fn any_bundle(random: &mut Gen, version: u64) -> Bundle {
    let mut bundle = valid_bundle();
    bundle.version = BundleVersion(version);
    let template = bundle.adapters[&AdapterName::from("needle-7")].clone();
    for number in Vec::<u8>::arbitrary(random) {
        let entry = AdapterEntry {
            priority: u8::arbitrary(random),
            ..template.clone()
        };
        let name = format!("needle-{}", number % 16);
        bundle.adapters.insert(name.into(), entry);
    }
    bundle
}

#[test]
fn the_sample_is_valid_and_fits_two_parts() {
    let sample = Bundle::sample(BundleVersion(1), 3_000);
    assert_eq!(
        read_source("sample.toml", &write_source(&sample)),
        Ok(sample.clone())
    );
    assert!(split(&encode(&sample)).len() <= 2);
}
