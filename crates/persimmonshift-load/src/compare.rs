//! Prints the metrics of two `drive` results side by side, with their ratio.

use crate::{args::CompareArgs, drive::DriveResult, Error};

pub(crate) fn run(args: &CompareArgs) -> Result<String, Error> {
    let (before, after) = (read_result(&args.before)?, read_result(&args.after)?);
    let rows = [
        ("answered", before.answered as f64, after.answered as f64),
        ("in time", before.in_time as f64, after.in_time as f64),
        ("not run", before.not_run as f64, after.not_run as f64),
        ("unknown", before.unknown as f64, after.unknown as f64),
        ("p50 ms", before.p50_ms, after.p50_ms),
        ("p99 ms", before.p99_ms, after.p99_ms),
        ("p99.9 ms", before.p999_ms, after.p999_ms),
        ("max ms", before.max_ms, after.max_ms),
    ];
    let mut text = format!("{:<10} {:>12} {:>12} {:>8}", "", "before", "after", "ratio");
    for (name, before, after) in rows {
        let ratio = if before > 0.0 {
            after / before
        } else {
            f64::NAN
        };
        text += &format!("\n{name:<10} {before:>12.2} {after:>12.2} {ratio:>8.2}");
    }
    Ok(text)
}

fn read_result(path: &str) -> Result<DriveResult, Error> {
    let read_error = |reason: String| Error::new("read", format!("{path}: {reason}"));
    let text = std::fs::read_to_string(path).map_err(|err| read_error(err.to_string()))?;
    serde_json::from_str(&text).map_err(|err| read_error(err.to_string()))
}
