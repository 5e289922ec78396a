//! The difference between two documents, by named resource.
//!
//! A delta holds the upserts and removals that turn a base into another document, and the hash of
//! the result. [`Delta::apply`] returns exactly that document or an error.
//!
//! ```
//! use jackdawpulley::configuration::delta::Delta;
//! use jackdawpulley::configuration::document::{Document, Retry};
//! use jackdawpulley::units::{Millis, Percent};
//!
//! let old = Document::default();
//! let rule = Retry {
//!     name: "none".into(),
//!     attempts: 1,
//!     budget: Percent(0),
//!     backoff_ms: Millis(0),
//! };
//! let new = Document { retries: vec![rule], ..Document::default() };
//! let delta = Delta::between(&old, &new);
//! assert_eq!(delta.apply(&old).unwrap(), new);
//! ```

use serde::{Deserialize, Serialize};

use crate::configuration::document::{Bounds, Document, Group, Retry, Route};
use crate::error::{DeltaSnafu, Result};
use crate::teams::team::Team;

/// Changes that turn one document into another.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Delta {
    /// Hash of the resulting document.
    pub hash: u64,
    routes: Edits<Route>,
    groups: Edits<Group>,
    retries: Edits<Retry>,
    /// Absent in records of earlier releases.
    #[serde(default)]
    teams: Edits<Team>,
    bounds: Option<Bounds>,
}

#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
struct Edits<T> {
    upserts: Vec<T>,
    removals: Vec<String>,
}

trait Named: Clone + PartialEq {
    fn name(&self) -> &str;
}

impl Named for Route {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Group {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Retry {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Named for Team {
    fn name(&self) -> &str {
        &self.name
    }
}

impl Delta {
    /// The changes from `old` to `new`, both of which must be sorted.
    #[must_use]
    pub fn between(old: &Document, new: &Document) -> Self {
        Self {
            hash: new.hash(),
            routes: Edits::between(&old.routes, &new.routes),
            groups: Edits::between(&old.groups, &new.groups),
            retries: Edits::between(&old.retries, &new.retries),
            teams: Edits::between(&old.teams, &new.teams),
            bounds: (old.bounds != new.bounds).then_some(new.bounds),
        }
    }

    /// One human-readable line for each change.
    #[must_use]
    pub fn summary(&self) -> Vec<String> {
        let kinds = [
            self.routes.summary("route"),
            self.groups.summary("group"),
            self.retries.summary("retry rule"),
            self.teams.summary("team"),
            self.bounds
                .map(|_| "set bounds".to_owned())
                .into_iter()
                .collect(),
        ];
        kinds.concat()
    }

    /// Applies the changes to `base`.
    ///
    /// # Errors
    ///
    /// [`Error::Delta`](crate::Error::Delta) when the hash of the result differs from [`hash`](Self::hash).
    pub fn apply(&self, base: &Document) -> Result<Document> {
        let document = Document {
            routes: self.routes.apply(&base.routes),
            groups: self.groups.apply(&base.groups),
            retries: self.retries.apply(&base.retries),
            teams: self.teams.apply(&base.teams),
            bounds: self.bounds.unwrap_or(base.bounds),
        };
        // If `base` is not the document that the delta was computed from, the result mixes two
        // documents. The hash covers the whole result, so such a mix is rejected.
        if document.hash() == self.hash {
            Ok(document)
        } else {
            DeltaSnafu.fail()
        }
    }
}

impl<T> Default for Edits<T> {
    fn default() -> Self {
        Self {
            upserts: Vec::new(),
            removals: Vec::new(),
        }
    }
}

impl<T: Named> Edits<T> {
    fn between(old: &[T], new: &[T]) -> Self {
        let upserts = new
            .iter()
            .filter(|item| find(old, item.name()) != Some(*item));
        let removals = old.iter().filter(|item| find(new, item.name()).is_none());
        Self {
            upserts: upserts.cloned().collect(),
            removals: removals.map(|item| item.name().to_owned()).collect(),
        }
    }

    fn summary(&self, kind: &str) -> Vec<String> {
        let upserts = self
            .upserts
            .iter()
            .map(|item| format!("set {kind} {}", item.name()));
        let removals = self
            .removals
            .iter()
            .map(|name| format!("remove {kind} {name}"));
        upserts.chain(removals).collect()
    }

    fn apply(&self, base: &[T]) -> Vec<T> {
        let removed = |name: &str| {
            self.removals
                .binary_search_by(|r| r.as_str().cmp(name))
                .is_ok()
        };
        let kept = base
            .iter()
            .filter(|item| !removed(item.name()) && find(&self.upserts, item.name()).is_none());
        let mut items: Vec<T> = kept.chain(&self.upserts).cloned().collect();
        items.sort_by(|a, b| a.name().cmp(b.name()));
        items
    }
}

fn find<'a, T: Named>(items: &'a [T], name: &str) -> Option<&'a T> {
    let index = items.binary_search_by(|item| item.name().cmp(name)).ok()?;
    items.get(index)
}
