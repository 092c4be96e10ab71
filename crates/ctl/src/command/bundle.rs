//! Commands on bundles.

use std::path::{Path, PathBuf};

use monsoonspread_borders::StoreError;
use monsoonspread_model::bundle::{Manifest, Verifier, write_source};
use monsoonspread_model::{Bundle, BundleVersion, UnixMs};
use serde_json::json;

use super::output::{Output, print_text};
use super::{read_bundle, read_text, store, write_text};
use crate::cli::{BundleCommand, FleetArgs, RollOutArgs, StoreArgs};
use crate::diff::diff;
use crate::error::{CtlError, Lagging};
use crate::fleet_status::{FleetStatus, NoProgress, Progress, ProgressLine};
use crate::key_file;
use crate::roll_out::{BundleStore, InForce, RollOut};
use crate::signed_bundle::{SignedBundle, SignedBundleError};

/// Carries out one command on bundles.
pub(super) async fn run(command: &BundleCommand, output: Output) -> Result<(), CtlError> {
    match command {
        BundleCommand::Sample {
            adapters,
            bundle_version,
            out,
        } => sample(*adapters, *bundle_version, out.as_deref()),
        BundleCommand::Check { file } => check(file, output),
        BundleCommand::Diff { file, from, store } => {
            let new = read_bundle(file)?;
            let old = match from {
                Some(from) => read_bundle(from)?,
                None => bundle_in_force(store).await?,
            };
            show_diff(&old, &new, output);
            Ok(())
        }
        BundleCommand::Sign { file, key, out } => sign(file, key, out.as_deref(), output),
        BundleCommand::RollOut(args) => roll_out(args, output).await,
        BundleCommand::Status(args) => status(args, output).await,
        BundleCommand::History(args) => history(args, output).await,
    }
}

fn sample(adapters: usize, version: u64, out: Option<&Path>) -> Result<(), CtlError> {
    let text = write_source(&Bundle::sample(BundleVersion(version), adapters));
    match out {
        Some(out) => write_text(out, &text),
        None => {
            print_text(&mut std::io::stdout(), &text);
            Ok(())
        }
    }
}

fn check(file: &Path, output: Output) -> Result<(), CtlError> {
    let bundle = match read_bundle(file) {
        Err(CtlError::Findings(findings)) if output.is_json() => {
            output.result(&json!({ "findings": findings }), &[]);
            return Err(CtlError::Findings(findings));
        }
        result => result?,
    };
    let line = format!(
        "bundle {} is good: {} adapters, {} callers, {} services",
        bundle.version,
        bundle.adapters.len(),
        bundle.callers.len(),
        bundle.services.len()
    );
    let value = json!({
        "version": bundle.version,
        "adapters": bundle.adapters.len(),
        "callers": bundle.callers.len(),
        "services": bundle.services.len(),
    });
    output.result(&value, &[line]);
    Ok(())
}

async fn bundle_in_force(addresses: &[std::net::SocketAddr]) -> Result<Bundle, CtlError> {
    let store = BundleStore::new(store(addresses));
    let Some(manifest) = store.in_force().await?.manifest else {
        return Ok(Bundle::default());
    };
    let bundle = store.bundle(&manifest).await?;
    bundle.ok_or(CtlError::BundleUnreadable(manifest.version.0))
}

fn show_diff(old: &Bundle, new: &Bundle, output: Output) {
    let changes = diff(old, new);
    let head = format!(
        "bundle {} -> {}: {} changes",
        old.version,
        new.version,
        changes.len()
    );
    let lines = changes.iter().map(ToString::to_string);
    let lines = std::iter::once(head).chain(lines).collect::<Vec<_>>();
    let value = json!({ "from": old.version, "to": new.version, "changes": changes });
    output.result(&value, &lines);
}

fn sign(file: &Path, key: &Path, out: Option<&Path>, output: Output) -> Result<(), CtlError> {
    let bundle = read_bundle(file)?;
    let signed = SignedBundle::sign(bundle, &key_file::read(key)?);
    let manifest = signed.manifest();
    let out = out.map_or_else(|| signed_path(file), Path::to_owned);
    write_text(&out, &format!("{:#}\n", json!(manifest)))?;
    let line = format!(
        "bundle {} is signed: digest {}, manifest in \"{}\"",
        manifest.version,
        manifest.digest,
        out.display()
    );
    output.result(manifest, &[line]);
    Ok(())
}

/// Where the manifest of a bundle file is kept.
fn signed_path(file: &Path) -> PathBuf {
    file.with_extension("signed.json")
}

async fn roll_out(args: &RollOutArgs, output: Output) -> Result<(), CtlError> {
    let signed = read_signed(args)?;
    let version = signed.manifest().version;
    let deadline_unix_ms = UnixMs::now() + args.timeout_ms;
    let store = store(&args.fleet.store.store);
    let outcome = RollOut::new(store, deadline_unix_ms).run(&signed).await?;
    let progress: Box<dyn Progress> = match output.is_json() {
        true => Box::new(NoProgress),
        false => Box::new(ProgressLine::new(version.0)),
    };
    FleetStatus::new(&args.fleet.instance)
        .wait_for(version, deadline_unix_ms, &*progress)
        .await
        .map_err(|instances| {
            CtlError::Lagging(Lagging {
                version: version.0,
                instances,
            })
        })?;
    drop(progress);
    let instances = args.fleet.instance.len();
    let line = format!(
        "bundle {version} is in force, digest {}; {instances} instances report it",
        signed.manifest().digest
    );
    let value = json!({
        "version": version,
        "digest": signed.manifest().digest,
        "outcome": outcome,
        "instances": instances,
    });
    output.result(&value, &[line]);
    Ok(())
}

fn read_signed(args: &RollOutArgs) -> Result<SignedBundle, CtlError> {
    let bundle = read_bundle(&args.file)?;
    let path = args.signed.clone();
    let path = path.unwrap_or_else(|| signed_path(&args.file));
    let manifest = serde_json::from_str::<Manifest>(&read_text(&path)?)
        .map_err(|error| SignedBundleError::Unreadable(error.to_string()))?;
    let signed = SignedBundle::join(bundle, manifest)?;
    if !args.verify_key.is_empty() {
        signed.verify(&Verifier::from_hex(&args.verify_key)?)?;
    }
    Ok(signed)
}

async fn status(args: &FleetArgs, output: Output) -> Result<(), CtlError> {
    let store = BundleStore::new(store(&args.store.store));
    let in_force = store.in_force().await;
    let mut instances = FleetStatus::new(&args.instance).ask().await;
    instances.sort_by(|a, b| (&a.zone, &a.instance).cmp(&(&b.zone, &b.instance)));
    let version = in_force.as_ref().map_or(BundleVersion(0), InForce::version);
    let lagging = instances.iter().filter(|status| status.lags(version));
    let lagging = lagging.map(|status| status.address).collect::<Vec<_>>();
    let mut lines = vec![headline(&in_force)];
    lines.extend(instances.iter().map(|status| {
        let note = if status.lags(version) { "  LAGS" } else { "" };
        format!("{status}{note}")
    }));
    let value = json!({
        "in_force": in_force.as_ref().ok().and_then(|in_force| in_force.manifest.as_ref()),
        "instances": instances,
        "lagging": lagging,
    });
    output.result(&value, &lines);
    in_force.map(|_| ()).map_err(CtlError::from)
}

fn headline(in_force: &Result<InForce, StoreError>) -> String {
    match in_force {
        Err(error) => error.to_string(),
        Ok(InForce { manifest: None, .. }) => "no bundle is in force".to_owned(),
        Ok(InForce {
            manifest: Some(manifest),
            ..
        }) => format!(
            "bundle {} is in force, digest {}",
            manifest.version, manifest.digest
        ),
    }
}

async fn history(args: &StoreArgs, output: Output) -> Result<(), CtlError> {
    let history = BundleStore::new(store(&args.store)).history().await?;
    let lines = history
        .iter()
        .map(|manifest| format!("{:>6}  {}", manifest.version.0, manifest.digest))
        .collect::<Vec<_>>();
    output.result(&history, &lines);
    Ok(())
}
