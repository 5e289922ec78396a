//! Members that share the quotas, and the choice of collectors among them.

use std::cmp::Reverse;
use std::net::SocketAddr;

use xxhash_rust::xxh3::xxh3_64;

use crate::membership::member::{Health, Member, Stage};
use crate::membership::roster::Roster;
use crate::units::DataCentre;

/// Members by data centre.
#[derive(Debug, Clone, Default)]
pub struct Fleet {
    /// Data centre of this daemon.
    pub local: DataCentre,
    /// Sorted by name.
    sites: Vec<Site>,
}

/// Members of one data centre.
#[derive(Debug, Clone)]
pub struct Site {
    /// Name of the data centre.
    pub data_centre: DataCentre,
    /// Members that are not gone, in rendezvous order: the first is the collector. Those that are
    /// starting or stopping come last.
    pub candidates: Vec<SocketAddr>,
    /// Number of members that may be running, including gone ones that did not leave as planned.
    pub size: usize,
}

impl Fleet {
    /// The fleet of a roster.
    ///
    /// A member that is gone without having left may be on the other side of a partition, where it goes on
    /// admitting. It counts for as long as the membership retains it.
    #[must_use]
    pub fn of(roster: &Roster, local: &DataCentre) -> Self {
        let gone = roster.gone.iter().map(|departed| &departed.member);
        let lost = gone.filter(|member| member.health == Health::Gone);
        let live = roster.members.iter();
        Self::new(local, live.chain(lost))
    }

    /// The fleet that consists of `members`, each of them listed once.
    pub fn new<'a>(local: &DataCentre, members: impl Iterator<Item = &'a Member>) -> Self {
        let mut sites: Vec<Site> = Vec::new();
        let mut ranked: Vec<Vec<(bool, Reverse<u64>, SocketAddr)>> = Vec::new();
        for member in members {
            let found = sites.binary_search_by(|site| site.data_centre.cmp(&member.data_centre));
            let index = found.unwrap_or_else(|index| {
                let data_centre = member.data_centre.clone();
                let site = Site {
                    data_centre,
                    candidates: Vec::new(),
                    size: 0,
                };
                sites.insert(index, site);
                ranked.insert(index, Vec::new());
                index
            });
            sites[index].size += 1;
            if member.health.is_live() {
                let rank = xxh3_64(member.peer.to_string().as_bytes());
                ranked[index].push((member.stage != Stage::Serving, Reverse(rank), member.peer));
            }
        }
        for (site, mut ranked) in sites.iter_mut().zip(ranked) {
            // A collector that stops as planned is replaced while it still replies. Without that,
            // its data centre has no collector until the silence is noticed.
            ranked.sort_unstable();
            site.candidates = ranked.into_iter().map(|(_, _, peer)| peer).collect();
        }
        Self {
            local: local.clone(),
            sites,
        }
    }

    /// Number of members that may be running, at least one.
    #[must_use]
    pub fn size(&self) -> usize {
        self.sites
            .iter()
            .map(|site| site.size)
            .sum::<usize>()
            .max(1)
    }

    /// All data centres.
    #[must_use]
    pub fn sites(&self) -> &[Site] {
        &self.sites
    }

    /// The collector of this daemon's data centre and its successors.
    #[must_use]
    pub fn candidates(&self) -> &[SocketAddr] {
        let local = self.sites.iter().find(|s| s.data_centre == self.local);
        local.map_or(&[], |site| &site.candidates)
    }
}
