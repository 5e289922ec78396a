//! Summary of the mesh that `jackdawctl status` prints.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

use crate::membership::member::Member;
use crate::operation::state::Brief;
use crate::units::{DataCentre, Version};

/// Summary of one data centre.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// Number of daemons in the membership view.
    pub daemons: usize,
    /// Number of daemons that are ready.
    pub ready: usize,
    /// Lowest active version.
    pub lowest: Version,
    /// Highest active version.
    pub highest: Version,
    /// Number of teams in the highest active version.
    pub teams: usize,
    /// Operator addresses of daemons that are behind or did not respond.
    pub laggards: Vec<SocketAddr>,
}

/// Summarises the members' responses; a daemon is behind if its version is below `expected`.
#[must_use]
pub fn summarise(responses: &[(Member, Option<Brief>)], expected: Version) -> Vec<Summary> {
    let mut summaries: Vec<Summary> = Vec::new();
    for (member, brief) in responses {
        let position = summaries.binary_search_by(|s| s.data_centre.cmp(&member.data_centre));
        let index = position.unwrap_or_else(|index| {
            let summary = Summary {
                data_centre: member.data_centre.clone(),
                daemons: 0,
                ready: 0,
                lowest: Version(u64::MAX),
                highest: Version(0),
                teams: 0,
                laggards: Vec::new(),
            };
            summaries.insert(index, summary);
            index
        });
        let summary = &mut summaries[index];
        summary.daemons += 1;
        if let Some(brief) = brief {
            summary.ready += usize::from(brief.ready);
            summary.lowest = summary.lowest.min(brief.version);
            if brief.version >= summary.highest {
                summary.highest = brief.version;
                summary.teams = brief.teams;
            }
        }
        if brief.as_ref().is_none_or(|brief| brief.version < expected) {
            summary.laggards.push(member.operator);
        }
    }
    summaries
}

/// Formats the summaries as a table.
#[must_use]
pub fn table(summaries: &[Summary]) -> String {
    let head = format!(
        "{:<24}{:>9}{:>7}{:>9}{:>9}{:>7}{:>8}",
        "data centre", "daemons", "ready", "lowest", "highest", "teams", "behind"
    );
    let rows = summaries.iter().map(|s| {
        format!(
            "{:<24}{:>9}{:>7}{:>9}{:>9}{:>7}{:>8}",
            s.data_centre.as_str(),
            s.daemons,
            s.ready,
            s.lowest.0,
            s.highest.0,
            s.teams,
            s.laggards.len()
        )
    });
    std::iter::once(head)
        .chain(rows)
        .collect::<Vec<_>>()
        .join("\n")
}
