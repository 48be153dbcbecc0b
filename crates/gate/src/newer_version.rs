//! Versions of the configuration that other nodes have before this one.
//!
//! A forwarded request names the version by which the other node identified its client. Once a node
//! has used a newer version in this way, it must not serve requests by its own older one: the key of
//! one of them may have been removed. Such requests wait for the newer version, and are refused as not
//! run if it takes long. A node that cannot get the version, or that was sent a wrong one, serves by
//! its own again after the bound for a configuration change.

use model::Micros;

use crate::Gate;
use crate::request::{HOLD_TIMEOUT, RequestId, RequestStage};

/// Time before a request that waits for a newer version is tried again: a fifth of the time that
/// relays need at most to pass a change on.
const VERSION_RETRY_INTERVAL: Micros = Micros::from_millis(50);

const OUTDATED_TEXT: &str = "not run, this node awaits a newer configuration, retry after 100 ms";

/// The newest version that another node has used.
#[derive(Debug, Default)]
pub(crate) struct NewerVersion {
    version: u64,
    /// Since when this node's version has been older.
    behind_since: Option<Micros>,
}

impl NewerVersion {
    /// Records the version of another node. While this node remains behind, still newer versions do
    /// not extend the time in which older ones are refused.
    fn observe(&mut self, now: Micros, own: u64, version: u64) {
        if version > own {
            self.version = self.version.max(version);
            self.behind_since.get_or_insert(now);
        }
    }

    /// Records this node's version.
    pub(crate) fn observe_own(&mut self, own: u64) {
        if own >= self.version {
            self.behind_since = None;
        }
    }

    /// Returns true if a version is older than one that was used less than `bound` ago.
    fn outdates(&self, now: Micros, bound: Micros, version: u64) -> bool {
        version < self.version && self.behind_since.is_some_and(|since| now < since + bound)
    }
}

impl Gate {
    /// Records the version by which another node identified a client.
    pub(crate) fn observe_version(&mut self, version: u64) {
        self.newer_version.observe(self.now, self.table.version, version);
    }

    /// Returns true if a request was identified by an older version than this node has used.
    pub(crate) fn is_outdated(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.get(&id) else { return false };
        let version = request.caller.as_ref().map_or(self.table.version, |caller| caller.version);
        self.newer_version.outdates(self.now, self.settings.configuration_bound, version)
    }

    /// Holds a request until this node has the newer version.
    pub(crate) fn wait_for_version(&mut self, id: RequestId) {
        let now = self.now;
        let Some(request) = self.requests.get_mut(&id) else { return };
        request.database = None;
        if now >= request.arrived + HOLD_TIMEOUT {
            self.count("requests_outdated");
            return self.refuse(id, self.refusal_code(id), OUTDATED_TEXT);
        }
        request.stage = RequestStage::BackingOff(now + VERSION_RETRY_INTERVAL);
        self.backing_off.push(id);
    }
}
