//! Log lines for limits that acted, bounded in rate.

use std::net::IpAddr;

use model::{FastMap, Micros};

use crate::limits::{ClientLimits, LimitKind};
use crate::logging::event_line;

/// Minimum time between two lines for the same limit. A crowd meets a limit thousands of times a second.
const LINE_INTERVAL: Micros = Micros::from_secs(1);

/// What happened at a limit since its last line.
#[derive(Clone, Copy, Debug, Default)]
struct LimitRecord {
    count: u64,
    logged_at: Option<Micros>,
}

/// Counts how often limits acted, for lines that are written once a second.
#[derive(Debug, Default)]
pub(crate) struct LimitLog {
    records: FastMap<&'static str, LimitRecord>,
}

impl LimitLog {
    /// Records that a limit acted on a connection from an address; returns the line that is due.
    pub(crate) fn record(
        &mut self,
        now: Micros,
        kind: LimitKind,
        address: IpAddr,
        limits: &ClientLimits,
    ) -> Option<String> {
        let record = self.records.entry(kind.counter()).or_default();
        record.count += 1;
        if record.logged_at.is_some_and(|logged_at| now < logged_at + LINE_INTERVAL) {
            return None;
        }
        record.logged_at = Some(now);
        let count = std::mem::take(&mut record.count);
        Some(event_line(
            "client_limit",
            vec![
                ("limit", kind.counter().into()),
                ("value", kind.value(limits).into()),
                ("setting", kind.setting().into()),
                ("count", count.into()),
                ("address", address.to_string().into()),
            ],
        ))
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::limits::tests::small_limits;

    /// Guards against a log that grows with each connection of a crowd.
    #[test]
    fn a_limit_is_logged_once_a_second_with_its_count() {
        let mut log = LimitLog::default();
        let address = IpAddr::from([10, 0, 0, 9]);
        let limits = small_limits();
        let mut lines = Vec::new();
        for millis in 0..2_500 {
            let now = Micros::from_millis(millis);
            lines.extend(log.record(now, LimitKind::Memory, address, &limits));
        }
        assert_eq!(lines.len(), 3);
        assert!(lines[1].contains("\"count\":1000"), "{}", lines[1]);
        assert!(lines[1].contains("10.0.0.9") && lines[1].contains("limits.memory-mb"));
    }
}
