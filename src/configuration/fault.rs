//! A validation fault of a document, reported to the operator who wrote it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// A validation fault of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Path of the field, such as `routes[2].group`.
    pub path: String,
    /// What is wrong.
    pub problem: String,
    /// How to correct it.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.problem, self.remedy)
    }
}
