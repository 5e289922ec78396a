//! Publishes edits through the daemons of a fleet, and runs the operator's command.

use std::process::Stdio;

use http::Method;
use jackdawpulley::configuration::document::Document;
use jackdawpulley::configuration::replica::{Base, Proposal};
use jackdawpulley::units::{EditId, Version};
use serde_json::Value;

use crate::rig::fleet::Fleet;
use crate::rig::session::{self, Failure};

/// Attempts to publish a document while the active version changes.
const MAX_ATTEMPTS: usize = 5;

impl Fleet {
    /// Publishes an edit through a daemon; returns the status and the JSON response.
    ///
    /// # Errors
    ///
    /// When there is no complete response.
    ///
    /// # Panics
    ///
    /// Never: an edit can always be serialized.
    pub async fn publish(&self, index: usize, edit: &Proposal) -> Result<(u16, Value), Failure> {
        let body = serde_json::to_string(edit).expect("plain data is JSON");
        let answer = session::send_once(
            self.hosts[index].operator_address(),
            Method::POST,
            "/config",
            &body,
        )
        .await?;
        let value = serde_json::from_slice(&answer.body).unwrap_or_default();
        Ok((answer.status.as_u16(), value))
    }

    /// Publishes a document on top of the active version and returns the new version.
    ///
    /// A daemon whose version is outdated reports a conflict with the version to publish on.
    ///
    /// # Panics
    ///
    /// When the edit is not accepted.
    pub async fn publish_document(&self, index: usize, document: Document) -> Version {
        let mut base = self.version(index).await.unwrap_or_default();
        for _ in 0..MAX_ATTEMPTS {
            let id = EditId(format!("trial-{:016x}", rand::random::<u64>()));
            let edit = Proposal {
                id,
                base: Base::Version(base),
                document: document.clone(),
            };
            let (status, answer) = self
                .publish(index, &edit)
                .await
                .expect("the daemon answers");
            if let (409, Some(current)) = (status, answer["current"].as_u64()) {
                base = Version(current);
                continue;
            }
            assert_eq!(status, 200, "the edit is accepted: {answer}");
            let version = answer["version"].as_u64();
            return Version(version.expect("an accepted edit has a version"));
        }
        panic!("all attempts conflicted; last reported active version: {base}");
    }

    /// Runs `jackdawctl` and returns its exit status and standard output.
    ///
    /// # Panics
    ///
    /// When the command can't be started.
    pub async fn run_ctl(&self, index: usize, args: &[&str]) -> (Option<i32>, String) {
        let daemon = self.hosts[index].operator_address().to_string();
        let mut command = tokio::process::Command::new(&self.program);
        command
            .args(["ctl", "--json", "--daemon", &daemon])
            .args(args)
            .stderr(Stdio::null());
        let output = command.output().await.expect("the program can be started");
        (
            output.status.code(),
            String::from_utf8_lossy(&output.stdout).into_owned(),
        )
    }
}
