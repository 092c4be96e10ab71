//! What a bundle would change, and for whom.

mod change;
#[cfg(test)]
mod tests;

pub use change::{Change, ChangeKind};

use std::collections::BTreeSet;
use std::sync::Arc;

use monsoonspread_model::bundle::{AdapterEntry, BundleDelta, CallerEntry, ServiceEntry};
use monsoonspread_model::{Bundle, CallerName};

/// Lists what changes from `old` to `new`, adapters first.
///
/// ```
/// # use monsoonspread_model::{Bundle, BundleVersion};
/// let old = Bundle::sample(BundleVersion(1), 2);
/// let new = Bundle::sample(BundleVersion(2), 3);
/// let changes = monsoonspread_ctl::diff::diff(&old, &new);
/// assert_eq!(changes[0].to_string(), "adapter \"needle-0002\" added: versions 1 2, default 2, group needle, priority 3; for callers bench");
/// ```
pub fn diff(old: &Bundle, new: &Bundle) -> Vec<Change> {
    let delta = BundleDelta::between(old, new);
    let adapters = delta.adapters.iter().map(|(name, entry)| {
        let before = old.adapters.get(name);
        let groups = [before, entry.as_ref()].map(|entry| entry.map(|entry| &entry.group));
        Change {
            thing: "adapter",
            name: name.to_string(),
            kind: ChangeKind::of(before.is_some(), entry.is_some()),
            details: adapter_details(before, entry.as_ref()),
            callers: callers_of(old, new, groups),
        }
    });
    let callers = delta.callers.iter().map(|(name, entry)| {
        let before = old.callers.get(name);
        Change {
            thing: "caller",
            name: name.to_string(),
            kind: ChangeKind::of(before.is_some(), entry.is_some()),
            details: caller_details(before, entry.as_ref()),
            callers: BTreeSet::from([name.clone()]),
        }
    });
    let services = delta.services.iter().map(|(name, entry)| {
        let before = old.services.get(name);
        let groups = [before, entry.as_ref()].map(|entry| entry.map(|entry| &entry.group));
        Change {
            thing: "service",
            name: name.to_string(),
            kind: ChangeKind::of(before.is_some(), entry.is_some()),
            details: service_details(before, entry.as_ref()),
            callers: callers_of(old, new, groups),
        }
    });
    adapters.chain(callers).chain(services).collect()
}

/// Callers in the group before or after.
fn callers_of(
    old: &Bundle,
    new: &Bundle,
    [before, after]: [Option<&Arc<str>>; 2],
) -> BTreeSet<CallerName> {
    let in_group = |bundle: &Bundle, group: Option<&Arc<str>>| {
        bundle
            .callers
            .iter()
            .filter(|(_, caller)| group.is_some_and(|group| caller.groups.contains(group)))
            .map(|(name, _)| name.clone())
            .collect::<BTreeSet<_>>()
    };
    &in_group(old, before) | &in_group(new, after)
}

fn adapter_details(old: Option<&AdapterEntry>, new: Option<&AdapterEntry>) -> Vec<String> {
    compare(
        old,
        new,
        &[
            ("base model", &|entry| entry.base_model.to_string()),
            ("versions", &|entry| words(&entry.versions)),
            ("default", &|entry| entry.default_version.to_string()),
            ("group", &|entry| entry.group.to_string()),
            ("priority", &|entry| entry.priority.to_string()),
        ],
    )
}

fn caller_details(old: Option<&CallerEntry>, new: Option<&CallerEntry>) -> Vec<String> {
    let mut details = compare(
        old,
        new,
        &[
            ("groups", &|entry| words(&entry.groups)),
            ("priority", &|entry| entry.priority.to_string()),
            ("in flight", &|entry| entry.max_in_flight.to_string()),
        ],
    );
    if let (Some(old), Some(new)) = (old, new)
        && old.key_sha256 != new.key_sha256
    {
        details.push("key replaced".to_owned());
    }
    details
}

fn service_details(old: Option<&ServiceEntry>, new: Option<&ServiceEntry>) -> Vec<String> {
    compare(
        old,
        new,
        &[
            ("group", &|entry| entry.group.to_string()),
            ("calls", &|entry| {
                let calls = entry.calls.iter().map(|(name, call)| {
                    let once = if call.repeatable { "" } else { " (once)" };
                    format!("{name}{once} {} ms", call.timeout_ms)
                });
                calls.collect::<Vec<_>>().join(", ")
            }),
        ],
    )
}

/// A field's name and its text.
type Field<'a, T> = (&'a str, &'a dyn Fn(&T) -> String);

fn compare<T>(old: Option<&T>, new: Option<&T>, fields: &[Field<'_, T>]) -> Vec<String> {
    fields
        .iter()
        .filter_map(|(name, text)| match (old, new) {
            (None, Some(new)) if *name != "base model" => Some(format!("{name} {}", text(new))),
            (Some(old), Some(new)) if text(old) != text(new) => {
                Some(format!("{name} {} -> {}", text(old), text(new)))
            }
            _ => None,
        })
        .collect()
}

fn words(items: &[impl ToString]) -> String {
    let texts = items.iter().map(ToString::to_string);
    texts.collect::<Vec<_>>().join(" ")
}
