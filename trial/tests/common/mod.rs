//! Helpers that several test files share.
#![allow(dead_code, reason = "each test file uses some of the helpers")]

pub mod faulty_target;

use std::path::PathBuf;

use jackdaw_trial::rig::deployment::{Deployment, Placement};
use jackdaw_trial::rig::fleet::Fleet;
use jackdawpulley::configuration::document::Document;
use jackdawpulley::units::{DataCentre, Millis, Service};

/// Starts a fleet without hosts that runs the program of this build.
pub async fn fleet(options: &[&str]) -> Fleet {
    Fleet::start(PathBuf::from(env!("CARGO_BIN_EXE_jackdaw-trial")), options).await
}

/// Hosts of the service `shelf`, spread over data centres named `dc-0`, `dc-1` and so on.
pub fn places(count: usize, centres: usize) -> Vec<Placement> {
    (0..count)
        .map(|index| Placement {
            data_centre: DataCentre(format!("dc-{}", index % centres)),
            service: Some(Service::from("shelf")),
        })
        .collect()
}

/// A valid document whose content depends on `number`.
pub fn document(number: u64) -> Document {
    let mut document = Deployment::Kalahari.document();
    document.retries[0].backoff_ms = Millis(number);
    document
}
