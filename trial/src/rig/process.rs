//! Memory and CPU time of a process, as the kernel counts them.

use std::fs;

/// Clock ticks per second in `/proc` on Linux (`USER_HZ`).
const TICKS_PER_SECOND: f64 = 100.0;

/// Resource usage of a process.
#[derive(Debug, Clone, Copy, Default)]
pub struct Usage {
    /// Resident memory, in KiB.
    pub rss_kib: u64,
    /// CPU time so far, in seconds.
    pub cpu_s: f64,
}

impl Usage {
    /// Reads the usage of a process; zero if it has ended.
    #[must_use]
    pub fn of_process(pid: u32) -> Self {
        let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
        let rss = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
        let rss = rss.and_then(|text| text.split_whitespace().next()?.parse().ok());
        let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
        // The second field is the name in parentheses, which may contain spaces.
        let fields = stat.rsplit(')').next().unwrap_or_default();
        let ticks = fields.split_whitespace().skip(11).take(2);
        let ticks: f64 = ticks.filter_map(|text| text.parse::<f64>().ok()).sum();
        Self {
            rss_kib: rss.unwrap_or(0),
            cpu_s: ticks / TICKS_PER_SECOND,
        }
    }
}
