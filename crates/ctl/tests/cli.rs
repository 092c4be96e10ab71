//! The command's exit codes and messages.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::PathBuf;
use std::process::{Command, Output};

/// A directory of its own for each test, removed at its end.
struct Directory(PathBuf);

impl Directory {
    fn new(test: &str) -> Self {
        let path = std::env::temp_dir().join(format!("{test}-{}", std::process::id()));
        fs::create_dir_all(&path).expect("a directory");
        Self(path)
    }

    fn run(&self, arguments: &[&str]) -> Output {
        Command::new(env!("CARGO_BIN_EXE_monsoonspread-ctl"))
            .args(arguments)
            .current_dir(&self.0)
            .output()
            .expect("the command runs")
    }

    fn succeeds(&self, arguments: &[&str]) -> String {
        let output = self.run(arguments);
        assert!(output.status.success(), "{output:?}");
        String::from_utf8(output.stdout).expect("text")
    }

    fn fails(&self, arguments: &[&str], code: i32) -> String {
        let output = self.run(arguments);
        assert_eq!(output.status.code(), Some(code), "{output:?}");
        String::from_utf8(output.stderr).expect("text")
    }
}

impl Drop for Directory {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}

#[test]
fn a_sample_is_checked_and_signed_with_a_key_of_its_owner_only() {
    let directory = Directory::new("ctl-sign");
    let public = directory.succeeds(&["key", "new", "--out", "op.key"]);
    assert_eq!(public, directory.succeeds(&["key", "show", "op.key"]));
    directory.succeeds(&["bundle", "sample", "--adapters", "5", "--out", "b.toml"]);
    let checked = directory.succeeds(&["bundle", "check", "b.toml"]);
    assert!(
        checked.starts_with("bundle 1 is good: 5 adapters"),
        "{checked}"
    );
    directory.succeeds(&["bundle", "sign", "b.toml", "--key", "op.key"]);
    let open = fs::Permissions::from_mode(0o640);
    fs::set_permissions(directory.0.join("op.key"), open).expect("a new mode");
    let refused = directory.fails(&["bundle", "sign", "b.toml", "--key", "op.key"], 2);
    assert!(refused.contains("has mode 0640"), "{refused}");
    let exists = directory.fails(&["key", "new", "--out", "op.key"], 2);
    assert!(exists.contains("can't be written"), "{exists}");
}

#[test]
fn every_finding_has_its_place() {
    let directory = Directory::new("ctl-check");
    let text = directory.succeeds(&["bundle", "sample", "--adapters", "2"]);
    let text = text
        .replace("priority = 3", "priority = 30")
        .replace("default_version = 2", "default_version = 7");
    fs::write(directory.0.join("b.toml"), text).expect("a file");
    let findings = directory.fails(&["bundle", "check", "b.toml"], 2);
    let lines = findings.lines().collect::<Vec<_>>();
    assert_eq!(lines.len(), 4, "{findings}");
    assert!(
        lines.iter().all(|line| line.starts_with("b.toml:")),
        "{findings}"
    );
    assert!(findings.contains("adapters.verse-0001.default_version: version 7"));
}

#[test]
fn a_bundle_changed_after_signing_is_not_rolled_out() {
    let directory = Directory::new("ctl-changed");
    directory.succeeds(&["key", "new", "--out", "op.key"]);
    directory.succeeds(&["bundle", "sample", "--adapters", "2", "--out", "b.toml"]);
    directory.succeeds(&["bundle", "sign", "b.toml", "--key", "op.key"]);
    directory.succeeds(&["bundle", "sample", "--adapters", "3", "--out", "b.toml"]);
    let store = ["--store", "127.0.0.1:1"];
    let arguments = [&["bundle", "roll-out", "b.toml"][..], &store].concat();
    let refused = directory.fails(&arguments, 2);
    assert!(
        refused.contains("bundle 1 was changed after it was signed"),
        "{refused}"
    );
}

#[test]
fn a_store_that_is_not_there_is_a_failure() {
    let directory = Directory::new("ctl-store");
    let error = directory.fails(&["bundle", "history", "--store", "127.0.0.1:1"], 1);
    assert!(
        error.contains("the key-value service can't be reached"),
        "{error}"
    );
}
