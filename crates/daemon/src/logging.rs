//! Logging to stderr. A line has time, level, module, and a message with key=value fields.

use std::time::{SystemTime, UNIX_EPOCH};

use log::LevelFilter;

/// Installs a logger to stderr with a level (`error`, `warn`, `info`, `debug`, `trace`).
///
/// # Errors
///
/// Fails if the level is unknown, or if a logger is already installed.
pub fn start_logging(level: &str) -> anyhow::Result<()> {
    let level: LevelFilter =
        level.parse().map_err(|_| anyhow::anyhow!("unknown log level {level:?}"))?;
    fern::Dispatch::new()
        .format(|out, message, record| {
            let time = format_time(SystemTime::now());
            out.finish(format_args!("{time} {} {} {message}", record.level(), record.target()));
        })
        .level(level)
        .filter(|metadata| {
            metadata.level() <= log::Level::Warn || is_project_target(metadata.target())
        })
        .chain(std::io::stderr())
        .apply()?;
    Ok(())
}

/// Returns whether a target belongs to this project. Libraries log warnings and errors only.
fn is_project_target(target: &str) -> bool {
    const CRATES: [&str; 5] = ["daemon", "node", "platform", "rpc", "cicadawickd"];
    let name = target.split("::").next().unwrap_or(target);
    CRATES.contains(&name)
}

/// Formats a time as RFC 3339 in UTC with milliseconds.
fn format_time(time: SystemTime) -> String {
    let elapsed = time.duration_since(UNIX_EPOCH).unwrap_or_default();
    let (days, seconds) = (elapsed.as_secs() / 86_400, elapsed.as_secs() % 86_400);
    let (year, month, day) = civil_date(days);
    let (hour, minute, second) = (seconds / 3_600, seconds / 60 % 60, seconds % 60);
    let millis = elapsed.subsec_millis();
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}.{millis:03}Z")
}

/// Converts days since 1970-01-01 to a date of the proleptic Gregorian calendar. Years are counted
/// from March, so that the leap day is the last day of a year.
fn civil_date(days: u64) -> (u64, u64, u64) {
    const DAYS_PER_ERA: u64 = 146_097;
    // 0000-03-01 is 719,468 days before 1970-01-01.
    let days = days + 719_468;
    let (era, day_of_era) = (days / DAYS_PER_ERA, days % DAYS_PER_ERA);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let month_from_march = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * month_from_march + 2) / 5 + 1;
    let month = if month_from_march < 10 { month_from_march + 3 } else { month_from_march - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    (year, month, day)
}
