use std::fs;

/// Unit of CPU times in `/proc`, fixed on Linux.
const CLOCK_TICKS_PER_SECOND: f64 = 100.0;

/// CPU time that a process has used in user and kernel mode, in seconds; 0 if it can't be read.
pub fn cpu_seconds(pid: u32) -> f64 {
    let stat = fs::read_to_string(format!("/proc/{pid}/stat")).unwrap_or_default();
    let after_name = stat.rsplit_once(')').map_or("", |(_, after_name)| after_name);
    let fields: Vec<f64> = after_name.split_whitespace().filter_map(|f| f.parse().ok()).collect();
    // Parsing drops the process state, which is not a number; of the remaining fields, the 11th and
    // 12th are user and system time.
    fields.get(10..12).map_or(0.0, |times| times.iter().sum::<f64>() / CLOCK_TICKS_PER_SECOND)
}

/// Resident memory of a process, in KiB; 0 if it can't be read.
pub fn resident_kib(pid: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{pid}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    line.and_then(|line| line.trim().trim_end_matches(" kB").parse().ok()).unwrap_or(0)
}
