//! List of contacts on the log, through which daemons join if no control plane keeps such a list.
//!
//! A few daemons of each data centre list themselves again whenever the log has expired their records.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::configuration::log::{Log, Stream};
use crate::configuration::relay::{jitter, rendezvous_order};
use crate::membership::controller::Membership;
use crate::membership::datagram::{Join, Welcome};
use crate::peer::LinkPool;
use crate::peer::server::JOIN_PATH;
use crate::shared_state::SharedState;
use crate::units::{DataCentre, Millis, Offset};

/// Latest records of the contacts stream that a daemon reads.
const RECENT_RECORDS: u64 = 32;
/// Daemons of a data centre that keep themselves listed.
const LISTED_PER_DATA_CENTRE: usize = 2;
/// Time between two checks of a daemon's registration, on average.
pub const RENEWAL_INTERVAL: Duration = Duration::from_mins(2);

/// One record of the `contacts` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Address to join through.
    pub peer: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// Access of one daemon to the list.
#[derive(Debug)]
pub struct Contacts {
    /// State shared by the daemon's controllers.
    pub shared: Arc<SharedState>,
    /// Log with the list.
    pub log: Log,
    /// Connections to peers.
    pub links: Arc<LinkPool>,
    /// Membership controller.
    pub membership: Arc<Membership>,
}

impl Contacts {
    /// Reads the latest contacts; there are none while the log is unavailable.
    pub async fn read_recent(&self) -> Vec<Contact> {
        let Ok(bounds) = self.log.bounds(Stream::Contacts).await else {
            return Vec::new();
        };
        let from = bounds
            .first
            .0
            .max(bounds.head.0.saturating_sub(RECENT_RECORDS));
        let page = self
            .log
            .read(Stream::Contacts, Offset(from), Millis(0))
            .await;
        let records = page.map(|page| page.records).unwrap_or_default();
        records
            .iter()
            .filter_map(|stored| serde_json::from_str(&stored.value).ok())
            .collect()
    }

    /// Keeps a bounded number of contacts of each data centre on the log, and joins unknown ones.
    pub async fn maintain(&self) {
        let settings = &self.shared.settings;
        loop {
            let order = rendezvous_order(&self.shared.roster().members, &settings.data_centre);
            let is_publisher = order
                .iter()
                .take(LISTED_PER_DATA_CENTRE)
                .any(|peer| *peer == settings.identity());
            let contact = Contact {
                peer: settings.identity(),
                data_centre: settings.data_centre.clone(),
            };
            if is_publisher && !self.read_recent().await.contains(&contact) {
                let _ = self.log.append(Stream::Contacts, &contact).await;
            }
            self.join_unknown().await;
            tokio::time::sleep(RENEWAL_INTERVAL / 2 + jitter(RENEWAL_INTERVAL)).await;
        }
    }

    /// Joins contacts that are not members, which heals a partition that outlasts the retention of gone members.
    async fn join_unknown(&self) {
        let roster = self.shared.roster();
        let join = Join {
            member: self.membership.me(),
        };
        for contact in self.read_recent().await {
            if roster.member(contact.peer).is_some() || contact.peer == join.member.peer {
                continue;
            }
            if let Ok(welcome) = self
                .links
                .send::<_, Welcome>(contact.peer, JOIN_PATH, &join)
                .await
            {
                self.membership
                    .merge_members(&welcome.members, &welcome.stable_revisions);
            }
        }
    }
}
