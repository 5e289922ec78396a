//! Validation of documents.
//!
//! One pass finds all faults, each with the path of the field and a remedy, so that an operator
//! can correct them together.

use snafu::ResultExt;

use crate::authority;
use crate::configuration::document::{Bounds, Document, Group, Retry, Route};
use crate::configuration::fault::Fault;
use crate::error::{DocumentSnafu, Error, Result};
use crate::teams::key::Key;
use crate::teams::team::Team;

/// Longest name of a resource, in bytes.
pub const MAX_NAME_BYTES: usize = 128;
/// Longest name of a team, in bytes. Targets receive the name, so it is not shortened to that of
/// other resources when a control plane has accepted it.
pub const MAX_TEAM_NAME_BYTES: usize = 1_024;
/// Most resources of one kind in a document.
pub const MAX_RESOURCES: usize = 10_000;
/// Longest time-out of a route, in milliseconds.
pub const MAX_TIMEOUT_MS: u64 = 86_400_000;
/// Most attempts of one request.
pub const MAX_ATTEMPTS: u32 = 10;
/// Smallest bound on a request head that the HTTP server supports, in bytes.
pub const MIN_HEAD_BYTES: u32 = 8_192;
const MAX_PERCENT: u8 = 100;

impl Document {
    /// Parses and validates a document, and sorts its resources.
    ///
    /// # Errors
    ///
    /// [`Error::Document`] when the text is not JSON of the expected shape, [`Error::Faults`] with all
    /// faults when the document is invalid.
    pub fn parse(text: &[u8]) -> Result<Self> {
        let document: Self = serde_json::from_slice(text).context(DocumentSnafu)?;
        let faults = edit(&document);
        if faults.is_empty() {
            Ok(document.sorted())
        } else {
            Err(Error::Faults { faults })
        }
    }
}

/// Returns all faults of a document that an operator publishes.
///
/// Unlike an accepted version it must not contain the digests that stand for keys in a printed one:
/// publishing them would replace the keys.
#[must_use]
pub fn edit(document: &Document) -> Vec<Fault> {
    let mut faults = self::document(document);
    let masked = document.teams.iter().flat_map(|team| {
        let masked = team.keys.iter().filter(|key| key.is_masked());
        masked.map(|_| Fault {
            path: format!("teams[{:?}].keys", team.name),
            problem: "a digest of a printed document stands for a key".to_owned(),
            remedy: "write the key itself".to_owned(),
        })
    });
    faults.extend(masked);
    faults
}

/// Returns all faults of `document`.
#[must_use]
pub fn document(document: &Document) -> Vec<Fault> {
    let mut check = Checker {
        faults: Vec::new(),
        duplicates: duplicate_routes(&document.routes),
    };
    let longest = MAX_NAME_BYTES;
    check.names("routes", document.routes.iter().map(|r| &*r.name), longest);
    check.names("groups", document.groups.iter().map(|g| &*g.name), longest);
    check.names(
        "retries",
        document.retries.iter().map(|r| &*r.name),
        longest,
    );
    let longest = MAX_TEAM_NAME_BYTES;
    check.names("teams", document.teams.iter().map(|t| &*t.name), longest);
    check.teams(&document.teams);
    for (index, route) in document.routes.iter().enumerate() {
        check.route(index, route, document);
    }
    for (index, group) in document.groups.iter().enumerate() {
        check.group(index, group);
    }
    for (index, retry) in document.retries.iter().enumerate() {
        check.retry(index, retry);
    }
    check.bounds(&document.bounds);
    check.faults
}

/// Indices of routes that match the same requests as an earlier one, each with the index of the
/// first such route; sorted.
#[must_use]
pub fn duplicate_routes(routes: &[Route]) -> Vec<(usize, usize)> {
    let key = |route: &Route| {
        (
            route.host.as_deref().map(authority::normalize),
            route.method.clone(),
        )
    };
    let keys: Vec<_> = routes
        .iter()
        .map(|route| (&route.path, key(route)))
        .collect();
    let mut order: Vec<usize> = (0..routes.len()).collect();
    order.sort_by(|a, b| keys[*a].cmp(&keys[*b]).then(a.cmp(b)));
    let alike = order.chunk_by(|a, b| keys[*a] == keys[*b]);
    let duplicates = alike.flat_map(|alike| alike[1..].iter().map(|later| (*later, alike[0])));
    let mut duplicates: Vec<(usize, usize)> = duplicates.collect();
    duplicates.sort_unstable();
    duplicates
}

struct Checker {
    faults: Vec<Fault>,
    duplicates: Vec<(usize, usize)>,
}

impl Checker {
    fn require(&mut self, holds: bool, path: String, problem: String, remedy: &str) {
        if !holds {
            self.faults.push(Fault {
                path,
                problem,
                remedy: remedy.to_owned(),
            });
        }
    }

    fn names<'a>(&mut self, kind: &str, names: impl Iterator<Item = &'a str>, longest: usize) {
        let remedy = format!("use 1 to {longest} bytes");
        let mut seen: Vec<&str> = Vec::new();
        for (index, name) in names.enumerate() {
            let path = format!("{kind}[{index}].name");
            let fits = !name.is_empty() && name.len() <= longest;
            let problem = format!("the name has {} bytes", name.len());
            self.require(fits, path.clone(), problem, &remedy);
            match seen.binary_search(&name) {
                Ok(_) => {
                    let problem = format!("duplicate name {name:?}");
                    self.require(false, path, problem, "give each resource its own name");
                }
                Err(index) => seen.insert(index, name),
            }
        }
        let problem = format!("{} resources", seen.len());
        let fits = seen.len() <= MAX_RESOURCES;
        self.require(
            fits,
            kind.to_owned(),
            problem,
            "split the document: at most 10000 of a kind",
        );
    }

    fn route(&mut self, index: usize, route: &Route, document: &Document) {
        let at = |field: &str| format!("routes[{index}].{field}");
        let rooted = route.path.starts_with('/');
        let problem = format!("{:?} is not absolute", route.path);
        self.require(rooted, at("path"), problem, "begin the path with a slash");
        let known = document.groups.iter().any(|g| g.name == route.group);
        let problem = format!("no group is named {:?}", route.group);
        self.require(
            known,
            at("group"),
            problem,
            "add the group or name another one",
        );
        for (part, share) in route.split.iter().enumerate() {
            let known = document.groups.iter().any(|g| g.name == share.group);
            let problem = format!("no group is named {:?}", share.group);
            let path = at(&format!("split[{part}].group"));
            self.require(known, path, problem, "add the group or name another one");
        }
        let total: u64 = route
            .split
            .iter()
            .map(|share| u64::from(share.weight))
            .sum();
        let fits = route.split.is_empty() || (1..=u64::from(u32::MAX)).contains(&total);
        let problem = format!("the weights add up to {total}");
        self.require(fits, at("split"), problem, "give a part a weight above 0");
        let known = document.retries.iter().any(|r| r.name == route.retry);
        let problem = format!("no retry rule is named {:?}", route.retry);
        self.require(
            known,
            at("retry"),
            problem,
            "add the rule or name another one",
        );
        let fits = (1..=MAX_TIMEOUT_MS).contains(&route.timeout_ms.0);
        let problem = format!("{} ms", route.timeout_ms);
        self.require(fits, at("timeout_ms"), problem, "use 1 to 86400000 ms");
        if let Some(method) = &route.method {
            let valid = http::Method::from_bytes(method.as_bytes()).is_ok()
                && method.bytes().all(|b| b.is_ascii_uppercase());
            let problem = format!("{method:?} is not an HTTP method");
            self.require(
                valid,
                at("method"),
                problem,
                "write it in capitals, such as GET",
            );
        }
        if let Some(host) = &route.host {
            let valid = authority::is_host(host);
            let problem = format!("{host:?} is not a host name");
            self.require(
                valid,
                at("host"),
                problem,
                "leave out scheme, port and path",
            );
        }
        let duplicate = self
            .duplicates
            .binary_search_by_key(&index, |duplicate| duplicate.0);
        if let Ok(found) = duplicate {
            let first = &document.routes[self.duplicates[found].1];
            let problem = format!("matches the same requests as {:?}", first.name);
            self.require(false, at("path"), problem, "remove one of the two");
        }
    }

    fn group(&mut self, index: usize, group: &Group) {
        let at = |field: &str| format!("groups[{index}].{field}");
        let problem = format!("{:?} is not a service name", group.service.as_str());
        let remedy = "use 1 to 64 letters, digits, dots, dashes or underscores";
        self.require(group.service.is_valid(), at("service"), problem, remedy);
        let fits = group.slots.is_none_or(|slots| slots.0 > 0);
        self.require(
            fits,
            at("slots"),
            "0 slots accept no calls".into(),
            "use 1 or more",
        );
        let fits = group.ejection.max_share.0 <= MAX_PERCENT;
        let problem = format!("{} percent", group.ejection.max_share);
        self.require(fits, at("ejection.max_share"), problem, "use 0 to 100");
        let fits = group.ejection.failures > 0;
        let problem = "0 failures would eject every target".to_owned();
        self.require(fits, at("ejection.failures"), problem, "use 1 or more");
    }

    fn bounds(&mut self, bounds: &Bounds) {
        let at = |field: &str| format!("bounds.{field}");
        let fits = bounds.max_head >= MIN_HEAD_BYTES;
        let problem = format!("{} bytes", bounds.max_head);
        self.require(fits, at("max_head"), problem, "use 8192 or more");
        for (field, time) in [("head_ms", bounds.head_ms), ("idle_ms", bounds.idle_ms)] {
            let fits = (1..=MAX_TIMEOUT_MS).contains(&time.0);
            self.require(
                fits,
                at(field),
                format!("{time} ms"),
                "use 1 to 86400000 ms",
            );
        }
    }

    /// Requires that each name can be sent, and that each key has text and a single holder.
    fn teams(&mut self, teams: &[Team]) {
        let mut seen: Vec<(&Key, &str)> = Vec::new();
        for (index, team) in teams.iter().enumerate() {
            self.require(
                team.is_name_sendable(),
                format!("teams[{index}].name"),
                format!(
                    "targets cannot receive the name {:?} in a header",
                    team.name
                ),
                "leave out control characters, and spaces at its ends",
            );
            for (position, key) in team.keys.iter().enumerate() {
                let path = format!("teams[{index}].keys[{position}]");
                let has_text = !key.expose().is_empty();
                self.require(
                    has_text,
                    path.clone(),
                    "the key is empty".into(),
                    "use at least one character",
                );
                match seen.binary_search_by(|(other, _)| (*other).cmp(key)) {
                    Ok(found) => {
                        let problem = format!("{key} is held by {:?} already", seen[found].1);
                        self.require(false, path, problem, "give each team keys of its own");
                    }
                    Err(at) => seen.insert(at, (key, &team.name)),
                }
            }
        }
    }

    fn retry(&mut self, index: usize, retry: &Retry) {
        let at = |field: &str| format!("retries[{index}].{field}");
        let fits = (1..=MAX_ATTEMPTS).contains(&retry.attempts);
        let problem = format!("{} attempts", retry.attempts);
        self.require(fits, at("attempts"), problem, "use 1 to 10");
        let fits = retry.budget.0 <= MAX_PERCENT;
        let problem = format!("{} percent", retry.budget);
        self.require(fits, at("budget"), problem, "use 0 to 100");
    }
}
