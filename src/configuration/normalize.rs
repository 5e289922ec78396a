//! Normalization of documents that an external control plane has accepted.
//!
//! A control plane validates documents by limits of its own. If daemons rejected a version because a value
//! exceeds the limits of [`check`](super::check), the whole fleet would stay at the previous version. Such a
//! value is therefore replaced by the nearest supported one, and the rest of the version becomes active.
//! Contradictions, such as a route to a missing group, stay for [`check`](super::check) to reject, and so does a
//! time-out of over a day, which is a mistake in the unit.
//!
//! Normalization is deterministic: every daemon gets the same document from the same version.
//!
//! ```
//! use jackdawpulley::configuration::document::Document;
//! use jackdawpulley::configuration::normalize::normalize;
//!
//! let mut document = Document::default();
//! document.bounds.max_head = 4_096;
//! let (document, faults) = normalize(document);
//! assert_eq!(document.bounds.max_head, 8_192);
//! assert_eq!(faults.len(), 1);
//! ```

use xxhash_rust::xxh3::xxh3_64;

use crate::authority;
use crate::configuration::check::{
    MAX_ATTEMPTS, MAX_NAME_BYTES, MAX_TEAM_NAME_BYTES, MAX_TIMEOUT_MS, MIN_HEAD_BYTES,
    duplicate_routes,
};
use crate::configuration::document::{Bounds, Document, Retry, Route, Share};
use crate::configuration::fault::Fault;
use crate::teams::key::Key;
use crate::teams::team::Team;
use crate::units::{Millis, Service};

/// Bytes that are kept of a name that is too long; a hash of the whole name is appended.
const KEPT_NAME_BYTES: usize = 96;

/// Replaces unsupported values and sorts the resources; returns a fault for each change.
#[must_use]
pub fn normalize(mut document: Document) -> (Document, Vec<Fault>) {
    let mut faults = Vec::new();
    normalize_groups(&mut document, &mut faults);
    document = document.sorted();
    drop_duplicate_groups(&mut document, &mut faults);
    for route in &mut document.routes {
        route.host = route.host.take().map(|host| authority::normalize(&host));
        normalize_split(route, &mut faults);
        normalize_timeout(route, &mut faults);
    }
    drop_unmatched_routes(&mut document.routes, &mut faults);
    drop_duplicate_routes(&mut document.routes, &mut faults);
    normalize_names(&mut document.routes, &mut faults);
    for retry in &mut document.retries {
        normalize_attempts(retry, &mut faults);
    }
    normalize_bounds(&mut document.bounds, &mut faults);
    normalize_teams(&mut document.teams, &mut faults);
    (document.sorted(), faults)
}

fn fault(path: String, problem: String, remedy: &str) -> Fault {
    Fault {
        path,
        problem,
        remedy: remedy.to_owned(),
    }
}

/// Gives each group a valid name, also where routes refer to it, and a valid service.
fn normalize_groups(document: &mut Document, faults: &mut Vec<Fault>) {
    for group in &mut document.groups {
        let name = normalize_name(&group.name);
        let service = match group.service.as_str() {
            "" => Service::from_name(&name),
            service => Service::from_name(service),
        };
        if name != group.name || service != group.service {
            let path = format!("groups[{name:?}]");
            let problem = format!(
                "a name of {} bytes is empty, too long or has unsupported characters",
                group.service.as_str().len()
            );
            let remedy = format!("the daemons call its service {service}");
            faults.push(fault(path, problem, &remedy));
        }
        group.name = name;
        group.service = service;
    }
    for route in &mut document.routes {
        route.group = normalize_name(&route.group);
        for part in &mut route.split {
            part.group = normalize_name(&part.group);
        }
    }
}

fn drop_duplicate_groups(document: &mut Document, faults: &mut Vec<Fault>) {
    document.groups.dedup_by(|later, first| {
        let repeated = later.name == first.name;
        if repeated {
            let path = format!("groups[{:?}]", later.name);
            faults.push(fault(
                path,
                "duplicate name".into(),
                "the first one is used",
            ));
        }
        repeated
    });
}

/// Adjusts the weights of a split so that their sum is above 0 and fits `u32`.
fn normalize_split(route: &mut Route, faults: &mut Vec<Fault>) {
    let total: u64 = route.split.iter().map(|part| u64::from(part.weight)).sum();
    if route.split.is_empty() || (1..=u64::from(u32::MAX)).contains(&total) {
        return;
    }
    let path = format!("routes[{:?}].split", route.name);
    let problem = format!("the weights add up to {total}");
    if total == 0 {
        faults.push(fault(path, problem, "equal weights are used"));
        route.split.iter_mut().for_each(|part| part.weight = 1);
    } else {
        faults.push(fault(path, problem, "the weights are scaled down"));
        scale_weights(&mut route.split, total);
    }
}

/// Scales weights with the sum `total` down so that their sum fits `u32`.
fn scale_weights(split: &mut [Share], total: u64) {
    // Leaves room for weights that are rounded up to 1.
    let largest = u64::from(u32::MAX / 2);
    for part in split.iter_mut().filter(|part| part.weight > 0) {
        let weight = (u128::from(part.weight) * u128::from(largest) / u128::from(total)).max(1);
        part.weight = u32::try_from(weight).unwrap_or(u32::MAX);
    }
}

/// Removes routes with a host that no request can name.
fn drop_unmatched_routes(routes: &mut Vec<Route>, faults: &mut Vec<Fault>) {
    routes.retain(|route| {
        let Some(host) = route.host.as_ref().filter(|host| !authority::is_host(host)) else {
            return true;
        };
        let path = format!("routes[{:?}].host", route.name);
        let problem = format!("{host:?} is not a host name");
        faults.push(fault(path, problem, "the route is left out"));
        false
    });
}

/// Removes routes that match the same requests as an earlier one.
fn drop_duplicate_routes(routes: &mut Vec<Route>, faults: &mut Vec<Fault>) {
    let duplicates = duplicate_routes(routes);
    for (later, first) in &duplicates {
        let path = format!("routes[{:?}]", routes[*later].name);
        let problem = format!("it matches the same requests as {:?}", routes[*first].name);
        faults.push(fault(path, problem, "the first one by name is used"));
    }
    let mut index = 0;
    routes.retain(|_| {
        index += 1;
        duplicates
            .binary_search_by_key(&(index - 1), |duplicate| duplicate.0)
            .is_err()
    });
}

/// Gives each route a unique valid name. The routes must be sorted by name.
fn normalize_names(routes: &mut [Route], faults: &mut Vec<Fault>) {
    let mut used: Vec<String> = Vec::with_capacity(routes.len());
    for route in routes {
        let mut name = normalize_name(&route.name);
        let mut count = 1;
        let index = loop {
            let Err(index) = used.binary_search(&name) else {
                count += 1;
                name = numbered_name(&route.name, count);
                continue;
            };
            break index;
        };
        used.insert(index, name.clone());
        if name != route.name {
            let path = format!("routes[{name:?}].name");
            let problem = format!(
                "a name of {} bytes is empty, too long or used before",
                route.name.len()
            );
            faults.push(fault(path, problem, "a generated name is used"));
            route.name = name;
        }
    }
}

/// A valid name of at most [`MAX_NAME_BYTES`]; not necessarily unique.
fn normalize_name(name: &str) -> String {
    if name.is_empty() {
        return "unnamed".to_owned();
    }
    if name.len() <= MAX_NAME_BYTES {
        return name.to_owned();
    }
    shortened_name(name)
}

/// The valid name of the resource that is number `count` of those named alike.
fn numbered_name(name: &str, count: u32) -> String {
    let numbered = format!("{}#{count}", normalize_name(name));
    if numbered.len() <= MAX_NAME_BYTES {
        return numbered;
    }
    format!("{}#{count}", shortened_name(name))
}

/// Begins like `name` and ends with a hash of it.
fn shortened_name(name: &str) -> String {
    let kept = name.floor_char_boundary(KEPT_NAME_BYTES);
    format!("{}#{:016x}", &name[..kept], xxh3_64(name.as_bytes()))
}

/// Begins like `name`, without its control characters, and ends with a hash of it.
fn generated_name(name: &str) -> String {
    let kept = &name[..name.floor_char_boundary(KEPT_NAME_BYTES)];
    let kept: String = kept.trim().chars().filter(|c| !c.is_control()).collect();
    format!("{kept}#{:016x}", xxh3_64(name.as_bytes()))
}

/// Gives each team a valid name, and leaves each name and each key with its first holder.
///
/// A team with an invalid name stays: without it, its callers would be refused, and in a document
/// without any other team nobody would need a key.
fn normalize_teams(teams: &mut Vec<Team>, faults: &mut Vec<Fault>) {
    for team in teams.iter_mut() {
        let fits = (1..=MAX_TEAM_NAME_BYTES).contains(&team.name.len());
        if !fits || !team.is_name_sendable() {
            let generated = generated_name(&team.name);
            let path = format!("teams[{generated:?}].name");
            let problem = format!(
                "a name of {} bytes is empty, too long or not a header value",
                team.name.len()
            );
            faults.push(fault(path, problem, "a generated name is used"));
            team.name = generated;
        }
    }
    teams.sort_by(|a, b| a.name.cmp(&b.name));
    teams.dedup_by(|later, first| {
        let repeated = later.name == first.name;
        if repeated {
            let path = format!("teams[{:?}]", later.name);
            faults.push(fault(
                path,
                "duplicate name".into(),
                "their keys are joined",
            ));
            first.keys.append(&mut later.keys);
        }
        repeated
    });
    let mut used: Vec<Key> = Vec::new();
    for team in teams {
        let name = &team.name;
        team.keys.retain(|key| {
            let found = used.binary_search(key);
            let is_usable = found.is_err() && !key.expose().is_empty();
            if let Err(index) = found {
                used.insert(index, key.clone());
            }
            if !is_usable {
                let path = format!("teams[{name:?}].keys");
                let problem = format!("{key} is empty or held already");
                faults.push(fault(path, problem, "its first holder keeps it"));
            }
            is_usable
        });
    }
}

fn normalize_attempts(retry: &mut Retry, faults: &mut Vec<Fault>) {
    let fitting = retry.attempts.clamp(1, MAX_ATTEMPTS);
    if retry.attempts != fitting {
        let path = format!("retries[{:?}].attempts", retry.name);
        let problem = format!("{} attempts", retry.attempts);
        faults.push(fault(path, problem, "the nearest of 1 to 10 is used"));
        retry.attempts = fitting;
    }
}

/// Replaces a time-out of 0, with which a route answers nothing.
fn normalize_timeout(route: &mut Route, faults: &mut Vec<Fault>) {
    if route.timeout_ms == Millis(0) {
        let path = format!("routes[{:?}].timeout_ms", route.name);
        faults.push(fault(path, "0 ms".into(), "1 ms is used"));
        route.timeout_ms = Millis(1);
    }
}

fn normalize_time(path: String, time: &mut Millis, faults: &mut Vec<Fault>) {
    let fitting = Millis(time.0.clamp(1, MAX_TIMEOUT_MS));
    if *time != fitting {
        let problem = format!("{time} ms");
        let remedy = "the nearest of 1 to 86400000 ms is used";
        faults.push(fault(path, problem, remedy));
        *time = fitting;
    }
}

fn normalize_bounds(bounds: &mut Bounds, faults: &mut Vec<Fault>) {
    if bounds.max_head < MIN_HEAD_BYTES {
        let problem = format!("{} bytes", bounds.max_head);
        faults.push(fault("bounds.max_head".into(), problem, "8192 is used"));
        bounds.max_head = MIN_HEAD_BYTES;
    }
    normalize_time("bounds.head_ms".into(), &mut bounds.head_ms, faults);
    normalize_time("bounds.idle_ms".into(), &mut bounds.idle_ms, faults);
}
