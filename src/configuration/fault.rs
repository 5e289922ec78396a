//! One fault of a document, told to the operator who wrote it.

use std::fmt;

use serde::{Deserialize, Serialize};

/// One fault of a document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fault {
    /// Where it is, as `routes[2].group`.
    pub path: String,
    /// What is wrong.
    pub problem: String,
    /// What to do about it.
    pub remedy: String,
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}; {}", self.path, self.problem, self.remedy)
    }
}
