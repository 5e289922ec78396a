//! What the operator's command does at a daemon.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use futures_util::StreamExt;
use futures_util::stream;
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
use crate::operation::survey::{Summary, summarise, table};
use crate::rollout::progress::Progress;
use crate::units::{EditId, Version};

/// Time for one answer.
const PATIENCE: Duration = Duration::from_secs(12);
/// Time for one daemon's health.
const HEALTH_PATIENCE: Duration = Duration::from_secs(2);
/// Daemons asked at the same time.
const PARALLEL: usize = 32;
/// Pause between two looks of `status --watch`.
const LOOK: Duration = Duration::from_millis(200);
/// Tries to publish one edit.
const TRIES: usize = 3;

/// The command with its connection to a daemon.
#[derive(Debug)]
pub struct Command {
    client: Client,
    daemon: SocketAddr,
    json: bool,
}

impl Command {
    /// A command to `daemon` that prints JSON or text.
    #[must_use]
    pub fn new(daemon: SocketAddr, json: bool) -> Self {
        Self {
            client: Client::new(),
            daemon,
            json,
        }
    }

    /// Checks a document; needs no daemon.
    ///
    /// # Errors
    ///
    /// What failed, with its remedy.
    pub fn check(&self, file: &str) -> Result<()> {
        let document = read(file)?;
        let hash = format!("{:016x}", document.hash());
        let (routes, groups) = (document.routes.len(), document.groups.len());
        self.say(
            &serde_json::json!({ "valid": true, "routes": routes, "groups": groups, "hash": hash }),
            || format!("valid: {routes} routes, {groups} groups, hash {hash}"),
        );
        Ok(())
    }

    /// Publishes a document and waits for the verdict.
    ///
    /// # Errors
    ///
    /// What failed, with its remedy.
    pub async fn apply(
        &self,
        file: &str,
        base: Option<Version>,
        id: Option<&EditId>,
        force: bool,
    ) -> Result<()> {
        let document = read(file)?;
        let base = match (force, base) {
            (true, _) => Base::Head(self.get(self.daemon, "/config/head").await?),
            (false, Some(base)) => Base::Version(base),
            (false, None) => Base::Version(self.in_force().await?.version),
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
        self.say(
            &serde_json::json!({ "outcome": "accepted", "version": version, "id": id }),
            || format!("accepted as version {version}"),
        );
        Ok(())
    }

    /// Publishes an edit; asks again under the same identifier while its fate is unknown.
    async fn publish(&self, proposal: &Proposal) -> Result<Version> {
        let body = serde_json::to_vec(proposal).context(DocumentSnafu)?;
        for _ in 0..TRIES {
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
        Err(Error::Undecided {
            id: proposal.id.clone(),
        })
    }

    /// Shows the configuration in force.
    ///
    /// # Errors
    ///
    /// What failed, with its remedy.
    pub async fn show(&self) -> Result<()> {
        let in_force = self.in_force().await?;
        let text = serde_json::to_string_pretty(&in_force).context(DocumentSnafu)?;
        println!("{text}");
        Ok(())
    }

    /// Compares a document with the configuration in force.
    ///
    /// # Errors
    ///
    /// What failed, with its remedy.
    pub async fn diff(&self, file: &str) -> Result<()> {
        let document = read(file)?;
        let in_force = self.in_force().await?;
        let delta = Delta::between(&in_force.document, &document);
        let changes = delta.summary();
        self.say(
            &serde_json::json!({ "against": in_force.version, "changes": changes }),
            || {
                if changes.is_empty() {
                    format!("no difference to version {}", in_force.version)
                } else {
                    changes.join("\n")
                }
            },
        );
        Ok(())
    }

    /// Shows the versions of all daemons, once or until all run `watch`.
    ///
    /// # Errors
    ///
    /// What failed, with its remedy.
    pub async fn status(&self, watch: Option<Version>, patience: Duration) -> Result<()> {
        let deadline = Instant::now() + patience;
        loop {
            let summaries = self.survey(watch).await?;
            let behind = summaries
                .iter()
                .map(|summary| summary.laggards.len())
                .sum::<usize>();
            self.say(&serde_json::json!(summaries), || table(&summaries));
            if watch.is_none() || behind == 0 {
                return Ok(());
            }
            if Instant::now() >= deadline {
                let body = format!("{behind} daemon(s) are behind; look at their state");
                return Err(Error::Refused {
                    daemon: self.daemon,
                    status: 0,
                    body,
                });
            }
            tokio::time::sleep(LOOK).await;
        }
    }

    /// Asks every member for its version.
    async fn survey(&self, wanted: Option<Version>) -> Result<Vec<Summary>> {
        let members: Vec<Member> = self.get(self.daemon, "/members").await?;
        let asked = members.into_iter().map(|member| async move {
            let path = "/health/ready";
            let sent = self
                .client
                .exchange(
                    member.operator,
                    Method::GET,
                    path,
                    Vec::new(),
                    HEALTH_PATIENCE,
                )
                .await;
            let brief = sent
                .ok()
                .and_then(|answer| serde_json::from_slice::<Brief>(&answer.body).ok());
            (member, brief)
        });
        let answers: Vec<_> = stream::iter(asked)
            .buffer_unordered(PARALLEL)
            .collect()
            .await;
        let versions = answers.iter().filter_map(|(_, brief)| brief.as_ref());
        let newest = versions
            .map(|brief| brief.version)
            .max()
            .unwrap_or_default();
        Ok(summarise(&answers, wanted.unwrap_or(newest)))
    }

    /// Shows the roll-outs that a daemon knows.
    ///
    /// # Errors
    ///
    /// What failed, with its remedy.
    pub async fn rollouts(&self) -> Result<()> {
        let told: Vec<Progress> = self.get(self.daemon, "/rollouts").await?;
        self.say(&serde_json::json!(told), || {
            let lines: Vec<String> = told.iter().map(line).collect();
            let none = || "no roll-out has been ordered".to_owned();
            if lines.is_empty() {
                none()
            } else {
                lines.join("\n")
            }
        });
        Ok(())
    }

    /// Dumps the state of a daemon.
    ///
    /// # Errors
    ///
    /// What failed, with its remedy.
    pub async fn dump(&self, address: SocketAddr) -> Result<()> {
        let state: serde_json::Value = self.get(address, "/state").await?;
        let text = serde_json::to_string_pretty(&state).context(DocumentSnafu)?;
        println!("{text}");
        Ok(())
    }

    /// Asks a daemon to end its calls and stop.
    ///
    /// # Errors
    ///
    /// What failed, with its remedy.
    pub async fn drain(&self, address: SocketAddr) -> Result<()> {
        let (status, body) = self
            .exchange(address, Method::POST, "/drain", Vec::new())
            .await?;
        let brief: Brief = parse(address, status, &body)?;
        if !brief.stage.is_stopping() {
            let body = format!("it is {}", brief.stage);
            return Err(Error::Refused {
                daemon: address,
                status: status.as_u16(),
                body,
            });
        }
        self.say(&serde_json::json!(brief), || {
            format!("{address} is draining")
        });
        Ok(())
    }

    async fn in_force(&self) -> Result<InForce> {
        self.get(self.daemon, "/config").await
    }

    async fn get<T: DeserializeOwned>(&self, daemon: SocketAddr, path: &str) -> Result<T> {
        let (status, body) = self.exchange(daemon, Method::GET, path, Vec::new()).await?;
        parse(daemon, status, &body)
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
            .exchange(daemon, method, path, body, PATIENCE)
            .await;
        sent.map(|answer| (answer.status, answer.body))
            .map_err(|reason| Error::NoDaemon { daemon, reason })
    }

    fn say(&self, value: &serde_json::Value, text: impl FnOnce() -> String) {
        if self.json {
            println!("{value}");
        } else {
            println!("{}", text());
        }
    }
}

/// A roll-out for a person at a terminal.
fn line(progress: &Progress) -> String {
    let Progress { order, plan, .. } = progress;
    let stands = progress
        .verdict
        .map_or_else(|| plan.step.to_string(), |verdict| verdict.to_string());
    let percent = f64::from(plan.permille) / 10.0;
    let left = order.duration.0.saturating_sub(progress.age.0);
    format!(
        "{} to {}: {stands}, {percent:.1} % of the requests, {left} ms left",
        order.service, order.revision
    )
}

fn read(file: &str) -> Result<Document> {
    let text = std::fs::read(file).context(FileSnafu { path: file })?;
    Document::parse(&text)
}

fn parse<T: DeserializeOwned>(daemon: SocketAddr, status: StatusCode, body: &[u8]) -> Result<T> {
    serde_json::from_slice(body).map_err(|_| Error::Refused {
        daemon,
        status: status.as_u16(),
        body: String::from_utf8_lossy(body).into_owned(),
    })
}
