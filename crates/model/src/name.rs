//! Cheaply cloneable names with a type parameter for the kind of the named object.

use std::fmt;
use std::marker::PhantomData;
use std::sync::Arc;

use serde::de::{self, Deserialize, Deserializer, Visitor};
use serde::ser::{Serialize, Serializer};

/// Marker types for the kinds of named objects.
pub mod kind {
    /// A fine-tuned adapter.
    #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
    pub enum Adapter {}
    /// A base model.
    #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
    pub enum BaseModel {}
    /// A client program that sends requests.
    #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
    pub enum Caller {}
    /// An entry instance.
    #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
    pub enum Instance {}
    /// A plain service.
    #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
    pub enum Service {}
    /// A model engine or a server of a plain service.
    #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
    pub enum Upstream {}
    /// A workspace, whose callers share keys, a rank and a quota.
    #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
    pub enum Workspace {}
    /// An availability zone.
    #[derive(Clone, Copy, Debug, Eq, Hash, Ord, PartialEq, PartialOrd)]
    pub enum Zone {}
}

/// Name of an adapter.
pub type AdapterName = Name<kind::Adapter>;
/// Name of a base model.
pub type BaseModelName = Name<kind::BaseModel>;
/// Name of a caller.
pub type CallerName = Name<kind::Caller>;
/// Name of an entry instance.
pub type InstanceName = Name<kind::Instance>;
/// Name of a plain service.
pub type ServiceName = Name<kind::Service>;
/// Name of an upstream.
pub type UpstreamName = Name<kind::Upstream>;
/// Name of a workspace.
pub type WorkspaceName = Name<kind::Workspace>;
/// Name of an availability zone.
pub type ZoneName = Name<kind::Zone>;

/// An immutable name of an object of kind `K`; clones share the text.
///
/// ```
/// use monsoonspread_model::ZoneName;
/// let zone = ZoneName::from("vestland-1");
/// assert_eq!(zone.as_str(), "vestland-1");
/// ```
pub struct Name<K> {
    text: Arc<str>,
    kind: PhantomData<fn() -> K>,
}

impl<K> Name<K> {
    /// Returns the text of the name.
    ///
    /// ```
    /// # use monsoonspread_model::AdapterName;
    /// assert_eq!(AdapterName::from("needle-7").as_str(), "needle-7");
    /// ```
    pub fn as_str(&self) -> &str {
        &self.text
    }
}

impl<K> From<&str> for Name<K> {
    fn from(text: &str) -> Self {
        Self {
            text: Arc::from(text),
            kind: PhantomData,
        }
    }
}

impl<K> From<String> for Name<K> {
    fn from(text: String) -> Self {
        Self::from(text.as_str())
    }
}

impl<K> AsRef<str> for Name<K> {
    fn as_ref(&self) -> &str {
        &self.text
    }
}

impl<K> std::borrow::Borrow<str> for Name<K> {
    fn borrow(&self) -> &str {
        &self.text
    }
}

impl<K> Clone for Name<K> {
    fn clone(&self) -> Self {
        Self {
            text: Arc::clone(&self.text),
            kind: PhantomData,
        }
    }
}

impl<K> fmt::Debug for Name<K> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(&self.text, f)
    }
}

impl<K> fmt::Display for Name<K> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

impl<K> PartialEq for Name<K> {
    fn eq(&self, other: &Self) -> bool {
        self.text == other.text
    }
}

impl<K> Eq for Name<K> {}

impl<K> PartialOrd for Name<K> {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl<K> Ord for Name<K> {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.text.cmp(&other.text)
    }
}

impl<K> std::hash::Hash for Name<K> {
    fn hash<H: std::hash::Hasher>(&self, state: &mut H) {
        self.text.hash(state);
    }
}

impl<K> Serialize for Name<K> {
    fn serialize<S: Serializer>(&self, serializer: S) -> Result<S::Ok, S::Error> {
        serializer.serialize_str(&self.text)
    }
}

impl<'de, K> Deserialize<'de> for Name<K> {
    fn deserialize<D: Deserializer<'de>>(deserializer: D) -> Result<Self, D::Error> {
        deserializer.deserialize_str(NameVisitor(PhantomData))
    }
}

struct NameVisitor<K>(PhantomData<fn() -> K>);

impl<K> Visitor<'_> for NameVisitor<K> {
    type Value = Name<K>;

    fn expecting(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("a name")
    }

    fn visit_str<E: de::Error>(self, text: &str) -> Result<Self::Value, E> {
        Ok(Name::from(text))
    }
}
