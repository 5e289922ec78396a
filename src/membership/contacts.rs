//! The log's list of daemons to join through, where no platform keeps one.
//!
//! A few daemons of each data centre keep themselves listed, whatever the log expires.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::{Deserialize, Serialize};

use crate::board::Board;
use crate::configuration::log::{Log, Stream};
use crate::configuration::relay::{jitter, rendezvous_order};
use crate::membership::datagram::{Join, Welcome};
use crate::membership::probe::Membership;
use crate::peer::Links;
use crate::peer::server::JOIN;
use crate::units::{DataCentre, Millis, Offset};

/// Records of the contacts stream that a joiner looks at.
const CONTACTS_READ: u64 = 32;
/// Daemons of a data centre that keep a contact.
const CONTACTS_KEPT: usize = 2;
/// Time between two renewals of a contact, on average.
pub const RENEWAL: Duration = Duration::from_mins(2);

/// One record of the `contacts` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Address to join through.
    pub peer: SocketAddr,
    /// Its data centre.
    pub data_centre: DataCentre,
}

/// The list, as one daemon reads it and keeps itself on it.
#[derive(Debug)]
pub struct Contacts {
    /// The blackboard.
    pub board: Arc<Board>,
    /// The platform log.
    pub log: Log,
    /// Connections to peers.
    pub links: Arc<Links>,
    /// The membership view.
    pub membership: Arc<Membership>,
}

impl Contacts {
    /// The latest contacts of the log.
    pub async fn listed(&self) -> Vec<Contact> {
        let Ok(bounds) = self.log.bounds(Stream::Contacts).await else {
            return Vec::new();
        };
        let from = bounds
            .first
            .0
            .max(bounds.head.0.saturating_sub(CONTACTS_READ));
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

    /// Keeps a bounded number of contacts of each data centre fresh on the log.
    pub async fn keep(&self) {
        let settings = &self.board.settings;
        loop {
            let order = rendezvous_order(&self.board.roster().members, &settings.data_centre);
            let mine = order
                .iter()
                .take(CONTACTS_KEPT)
                .any(|peer| *peer == settings.identity());
            let contact = Contact {
                peer: settings.identity(),
                data_centre: settings.data_centre.clone(),
            };
            if mine && !self.listed().await.contains(&contact) {
                let _ = self.log.append(Stream::Contacts, &contact).await;
            }
            self.meet_strangers().await;
            tokio::time::sleep(RENEWAL / 2 + jitter(RENEWAL)).await;
        }
    }

    /// Heals a split that outlived the memory of gone members: joins contacts it does not know.
    async fn meet_strangers(&self) {
        let roster = self.board.roster();
        let join = Join {
            member: self.membership.me(),
        };
        for contact in self.listed().await {
            if roster.member(contact.peer).is_some() || contact.peer == join.member.peer {
                continue;
            }
            if let Ok(welcome) = self
                .links
                .send::<_, Welcome>(contact.peer, JOIN, &join)
                .await
            {
                self.membership.learn(&welcome.members, &welcome.usual);
            }
        }
    }
}
