//! Implementation of the verbs of `jackdawctl`.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::{StreamExt, stream};
use http::{Method, StatusCode};
use serde::de::DeserializeOwned;
use snafu::ResultExt;

use crate::configuration::delta::Delta;
use crate::configuration::document::Document;
use crate::configuration::replica::{Base, Proposal};
use crate::error::{DocumentSnafu, Error, FileSnafu, Result};
use crate::http_client::Client;
use crate::membership::member::Member;
use crate::operation::operator::{InForce, Published};
use crate::operation::state::Brief;
use crate::operation::status::{Summary, summarise, table};
use crate::rollout::progress::Progress;
use crate::units::{EditId, Version};

/// Longest wait for a response: above the daemon's own bound on publishing an edit.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(12);
/// Longest wait for the health of one daemon.
const HEALTH_TIMEOUT: Duration = Duration::from_secs(2);
/// Maximum number of daemons queried concurrently.
const MAX_CONCURRENT_REQUESTS: usize = 32;
/// Polling interval of `status --watch`.
const WATCH_PERIOD: Duration = Duration::from_millis(200);
/// Maximum number of attempts to publish an edit.
const MAX_PUBLISH_ATTEMPTS: usize = 3;

/// Runs the verbs against one daemon.
#[derive(Debug)]
pub struct Command {
    client: Client,
    daemon: SocketAddr,
    json: bool,
}

impl Command {
    /// Creates a command for `daemon` that prints JSON or text.
    #[must_use]
    pub fn new(daemon: SocketAddr, json: bool) -> Self {
        Self {
            client: Client::new(),
            daemon,
            json,
        }
    }

    /// Checks a document, without a daemon.
    ///
    /// # Errors
    ///
    /// The document cannot be read or has faults.
    pub fn check(&self, file: &str) -> Result<()> {
        let document = read_document(file)?;
        let hash = format!("{:016x}", document.hash());
        let (routes, groups) = (document.routes.len(), document.groups.len());
        self.print(
            &serde_json::json!({ "valid": true, "routes": routes, "groups": groups, "hash": hash }),
            || format!("valid: {routes} routes, {groups} groups, hash {hash}"),
        );
        Ok(())
    }

    /// Publishes a document and waits for the verdict.
    ///
    /// # Errors
    ///
    /// The document cannot be read or has faults, or the edit was not accepted.
    pub async fn apply(
        &self,
        file: &str,
        base: Option<Version>,
        id: Option<&EditId>,
        force: bool,
    ) -> Result<()> {
        let document = read_document(file)?;
        let base = match (force, base) {
            (true, _) => Base::Head(self.get(self.daemon, "/config/head").await?),
            (false, Some(base)) => Base::Version(base),
            (false, None) => Base::Version(self.active_config().await?.version),
        };
        let id = id
            .cloned()
            .unwrap_or_else(|| EditId(format!("ctl-{:016x}", rand::random::<u64>())));
        let version = self
            .publish(&Proposal {
                id: id.clone(),
                base,
                document,
            })
            .await?;
        self.print(
            &serde_json::json!({ "outcome": "accepted", "version": version, "id": id }),
            || format!("accepted as version {version}"),
        );
        Ok(())
    }

    /// Publishes an edit; retries with the same identifier while its outcome is unknown.
    async fn publish(&self, proposal: &Proposal) -> Result<Version> {
        let body = serde_json::to_vec(proposal).context(DocumentSnafu)?;
        for _ in 0..MAX_PUBLISH_ATTEMPTS {
            let sent = self
                .exchange(self.daemon, Method::POST, "/config", body.clone())
                .await;
            let published = sent
                .ok()
                .and_then(|(_, body)| serde_json::from_slice(&body).ok());
            match published {
                Some(Published::Accepted { version }) => return Ok(version),
                Some(Published::Conflict { current, .. }) => {
                    return Err(Error::Conflict { current });
                }
                Some(Published::Invalid { faults, .. }) => return Err(Error::Faults { faults }),
                Some(Published::Unknown { message, .. }) if !self.json => eprintln!("{message}"),
                Some(Published::Unknown { .. }) | None => {}
            }
        }
        Err(Error::OutcomeUnknown {
            id: proposal.id.clone(),
        })
    }

    /// Prints the active configuration.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached or refuses the request.
    pub async fn show(&self) -> Result<()> {
        let active = self.active_config().await?;
        let text = serde_json::to_string_pretty(&active).context(DocumentSnafu)?;
        println!("{text}");
        Ok(())
    }

    /// Prints the differences between the active configuration and a document.
    ///
    /// # Errors
    ///
    /// The document cannot be read or has faults, or the daemon cannot be reached.
    pub async fn diff(&self, file: &str) -> Result<()> {
        let document = read_document(file)?;
        let active = self.active_config().await?;
        // The daemon shows digests of keys, which are compared with those of the document.
        let delta = Delta::between(&active.document, &document.masked());
        let changes = delta.summary();
        self.print(
            &serde_json::json!({ "against": active.version, "changes": changes }),
            || {
                if changes.is_empty() {
                    format!("no difference to version {}", active.version)
                } else {
                    changes.join("\n")
                }
            },
        );
        Ok(())
    }

    /// Prints the versions of all daemons, once or until all of them run `watch`.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or daemons are behind when `timeout` has passed.
    pub async fn status(&self, watch: Option<Version>, timeout: Duration) -> Result<()> {
        let deadline = Instant::now() + timeout;
        loop {
            let summaries = self.collect_versions(watch).await?;
            let behind = summaries
                .iter()
                .map(|summary| summary.laggards.len())
                .sum::<usize>();
            self.print(&serde_json::json!(summaries), || table(&summaries));
            if watch.is_none() || behind == 0 {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let body = format!("{behind} daemon(s) are behind; check their state");
                return Err(Error::Refused {
                    daemon: self.daemon,
                    status: 0,
                    body,
                });
            }
            tokio::time::sleep(WATCH_PERIOD).await;
        }
    }

    /// Queries the version of every member.
    async fn collect_versions(&self, expected: Option<Version>) -> Result<Vec<Summary>> {
        let members: Vec<Member> = self.get(self.daemon, "/members").await?;
        let requests = members.into_iter().map(|member| async move {
            let path = "/health/ready";
            let sent = self
                .client
                .exchange(
                    member.operator,
                    Method::GET,
                    path,
                    Vec::new(),
                    HEALTH_TIMEOUT,
                )
                .await;
            let brief = sent
                .ok()
                .and_then(|response| serde_json::from_slice::<Brief>(&response.body).ok());
            (member, brief)
        });
        let responses: Vec<_> = stream::iter(requests)
            .buffer_unordered(MAX_CONCURRENT_REQUESTS)
            .collect()
            .await;
        let versions = responses.iter().filter_map(|(_, brief)| brief.as_ref());
        let newest = versions
            .map(|brief| brief.version)
            .max()
            .unwrap_or_default();
        Ok(summarise(&responses, expected.unwrap_or(newest)))
    }

    /// Prints the rollouts known to a daemon.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached or refuses the request.
    pub async fn rollouts(&self) -> Result<()> {
        let rollouts: Vec<Progress> = self.get(self.daemon, "/rollouts").await?;
        self.print(&serde_json::json!(rollouts), || {
            let lines: Vec<String> = rollouts.iter().map(describe_rollout).collect();
            let none = || "no rollout has been ordered".to_owned();
            if lines.is_empty() {
                none()
            } else {
                lines.join("\n")
            }
        });
        Ok(())
    }

    /// Prints the state of a daemon.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached or refuses the request.
    pub async fn dump(&self, address: SocketAddr) -> Result<()> {
        let state: serde_json::Value = self.get(address, "/state").await?;
        let text = serde_json::to_string_pretty(&state).context(DocumentSnafu)?;
        println!("{text}");
        Ok(())
    }

    /// Asks a daemon to finish its calls and stop.
    ///
    /// # Errors
    ///
    /// The daemon cannot be reached, or does not begin to stop.
    pub async fn drain(&self, address: SocketAddr) -> Result<()> {
        let (status, body) = self
            .exchange(address, Method::POST, "/drain", Vec::new())
            .await?;
        let brief: Brief = parse_response(address, status, &body)?;
        if !brief.stage.is_stopping() {
            let body = format!("the daemon is {}", brief.stage);
            return Err(Error::Refused {
                daemon: address,
                status: status.as_u16(),
                body,
            });
        }
        self.print(&serde_json::json!(brief), || {
            format!("{address} is draining")
        });
        Ok(())
    }

    async fn active_config(&self) -> Result<InForce> {
        self.get(self.daemon, "/config").await
    }

    async fn get<T: DeserializeOwned>(&self, daemon: SocketAddr, path: &str) -> Result<T> {
        let (status, body) = self.exchange(daemon, Method::GET, path, Vec::new()).await?;
        parse_response(daemon, status, &body)
    }

    async fn exchange(
        &self,
        daemon: SocketAddr,
        method: Method,
        path: &str,
        body: Vec<u8>,
    ) -> Result<(StatusCode, Vec<u8>)> {
        let sent = self
            .client
            .exchange(daemon, method, path, body, REQUEST_TIMEOUT)
            .await;
        sent.map(|response| (response.status, response.body))
            .map_err(|reason| Error::DaemonUnreachable { daemon, reason })
    }

    fn print(&self, value: &serde_json::Value, text: impl FnOnce() -> String) {
        if self.json {
            println!("{value}");
        } else {
            println!("{}", text());
        }
    }
}

/// Formats a rollout as one line of text.
fn describe_rollout(progress: &Progress) -> String {
    let Progress { order, plan, .. } = progress;
    let status = progress
        .verdict
        .map_or_else(|| plan.step.to_string(), |verdict| verdict.to_string());
    let percent = f64::from(plan.permille) / 10.0;
    let left = order.duration.0.saturating_sub(progress.age.0);
    format!(
        "{} to {}: {status}, {percent:.1} % of the requests, {left} ms left",
        order.service, order.revision
    )
}

fn read_document(file: &str) -> Result<Document> {
    let text = std::fs::read(file).context(FileSnafu { path: file })?;
    Document::parse(&text)
}

fn parse_response<T: DeserializeOwned>(
    daemon: SocketAddr,
    status: StatusCode,
    body: &[u8],
) -> Result<T> {
    serde_json::from_slice(body).map_err(|_| Error::Refused {
        daemon,
        status: status.as_u16(),
        body: String::from_utf8_lossy(body).into_owned(),
    })
}
