use std::fs;

/// Clock ticks a second in `/proc`, fixed on Linux.
const TICKS: f64 = 100.0;

/// Processor time that a process has used, in seconds.
pub fn processor_seconds(id: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let behind = stat.rsplit_once(')').map_or("", |(_, behind)| behind);
    let fields: Vec<f64> = behind.split_whitespace().filter_map(|f| f.parse().ok()).collect();
    // The state is no number, so that user and system time are the 11th and 12th of the others.
    fields.get(10..12).map_or(0.0, |both| both.iter().sum::<f64>() / TICKS)
}

/// Resident memory of a process, in KiB.
pub fn resident_kib(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}
