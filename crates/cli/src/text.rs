//! Formatting of tables and times.

/// Formats rows under a header with aligned columns. Columns with only numeric cells are right-aligned.
pub(crate) fn table(header: &[&str], rows: &[Vec<String>]) -> String {
    let width = |column: usize| {
        let cells = rows.iter().filter_map(|row| row.get(column));
        let widest = cells.map(|cell| cell.chars().count()).max().unwrap_or(0);
        widest.max(header[column].chars().count())
    };
    let is_numeric = |column: usize| {
        let cell = |row: &Vec<String>| {
            row.get(column).is_some_and(|cell| cell == "-" || cell.parse::<f64>().is_ok())
        };
        !rows.is_empty() && rows.iter().all(cell)
    };
    let columns: Vec<(usize, bool)> =
        (0..header.len()).map(|column| (width(column), is_numeric(column))).collect();
    let mut text = String::new();
    let header: Vec<String> = header.iter().map(|cell| cell.to_string()).collect();
    for row in std::iter::once(&header).chain(rows) {
        let mut line = String::new();
        for (cell, (width, right)) in row.iter().zip(&columns) {
            if !line.is_empty() {
                line.push_str("  ");
            }
            match right {
                true => line.push_str(&format!("{cell:>width$}")),
                false => line.push_str(&format!("{cell:<width$}")),
            }
        }
        text.push_str(line.trim_end());
        text.push('\n');
    }
    text
}

/// Formats a Unix time in seconds as UTC date and time.
pub(crate) fn utc_time(seconds: u64) -> String {
    let (days, rest) = (seconds / 86_400, seconds % 86_400);
    // Converts days to a civil date, with years that start in March so that the leap day comes last.
    let shifted_days = days + 719_468;
    let (era, day_of_era) = (shifted_days / 146_097, shifted_days % 146_097);
    let year_of_era =
        (day_of_era - day_of_era / 1_460 + day_of_era / 36_524 - day_of_era / 146_096) / 365;
    let day_of_year = day_of_era - (365 * year_of_era + year_of_era / 4 - year_of_era / 100);
    let shifted_month = (5 * day_of_year + 2) / 153;
    let day = day_of_year - (153 * shifted_month + 2) / 5 + 1;
    let month = if shifted_month < 10 { shifted_month + 3 } else { shifted_month - 9 };
    let year = era * 400 + year_of_era + u64::from(month <= 2);
    let (hour, minute, second) = (rest / 3_600, rest / 60 % 60, rest % 60);
    format!("{year:04}-{month:02}-{day:02}T{hour:02}:{minute:02}:{second:02}Z")
}

/// Formats a JSON value as a table cell.
pub(crate) fn cell(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => "-".to_string(),
        serde_json::Value::String(text) => text.clone(),
        serde_json::Value::Object(pairs) => {
            let pairs: Vec<String> =
                pairs.iter().map(|(key, value)| format!("{key}={}", cell(value))).collect();
            pairs.join(", ")
        }
        serde_json::Value::Array(items) => items.iter().map(cell).collect::<Vec<_>>().join(", "),
        other => other.to_string(),
    }
}
