//! Fences of a failover, and the comparison of the fenced logs.

use std::collections::BTreeSet;

use model::{DatabaseRole, Micros, Name};

use crate::backend::{BackendAnswer, BackendCommand, TermPosition};
use crate::connection::OPEN_TIMEOUT;
use crate::database::CommandPurpose;
use crate::event::ConnectionId;
use crate::failover::{FailoverStage, STEP_RETRY_INTERVAL};
use crate::log_comparison::LogCoverage;
use crate::{Gate, fields};

/// Time that failovers of a cluster without synchronous replicas wait for a database with the known
/// log to return. There an acknowledged commit may be at the primary only, so its loss is accepted.
const ASYNCHRONOUS_LOG_TIMEOUT: Micros = Micros::from_millis(9_000);

/// Time that replicas get to report before they are fenced: opening a connection and waiting in a
/// queue.
const PROBE_TIMEOUT: Micros = Micros::from_millis(500);

/// Connections beyond the limit for requests that commands of failovers may open to a database.
const CONTROL_CONNECTIONS: u32 = 1;

/// Time for which a lift or a late demotion waits for a connection. The promotion lease is kept
/// while a lift waits.
const LIFT_TIMEOUT: Micros = OPEN_TIMEOUT;

impl Gate {
    /// Demotes the old primary, if it answers, before the new one is chosen.
    pub(crate) fn demote_old_primary(&mut self, cluster: &Name) {
        if let Some(reason) = self.missing_log_reason(cluster) {
            return self.abort_failover(cluster, reason);
        }
        let Some(failover) = self.failovers.running.get(cluster) else { return };
        let old = failover.old_primary.as_ref().and_then(|old| self.databases.get(old));
        if !old.is_some_and(|old| old.is_responsive(self.now)) {
            if self.must_demote(cluster) {
                return self.abort_failover(cluster, "a replica and the primary do not answer");
            }
            return self.choose_new_primary(cluster);
        }
        self.set_stage(cluster, FailoverStage::Demoting);
        self.request_demotion(cluster);
    }

    /// Returns true if the failover may not promote before the old primary has confirmed its demotion: a
    /// replica that is not fenced could let it commit.
    fn must_demote(&self, cluster: &Name) -> bool {
        self.failovers
            .running
            .get(cluster)
            .is_some_and(|failover| !failover.left_out.is_empty() && failover.old_primary.is_some())
    }

    /// Goes on without the answer to the demotion, or asks again if it is needed.
    pub(crate) fn demotion_overdue(&mut self, cluster: &Name) {
        if self.must_demote(cluster) {
            self.set_stage(cluster, FailoverStage::Demoting);
            return self.request_demotion(cluster);
        }
        self.choose_new_primary(cluster);
    }

    /// Sends the demotion of a running failover, or opens a connection for it.
    pub(crate) fn request_demotion(&mut self, cluster: &Name) {
        let Some(failover) = self.failovers.running.get(cluster) else { return };
        let Some(old) = failover.old_primary.clone() else { return };
        if !failover.in_flight && !self.send_demotion(cluster, &old) {
            self.open_control_connection(&old);
        }
    }

    /// Sends what failovers want of a database on its idle connections, ahead of requests.
    pub(crate) fn send_failover_commands(&mut self, name: &Name) {
        let state = &self.failovers;
        if state.running.is_empty() && state.lifts.is_empty() && state.demotions.is_empty() {
            return;
        }
        let Some(database) = self.databases.get(name) else { return };
        let cluster = database.listed.cluster.clone();
        self.send_lift(name);
        self.send_late_demotion(name);
        self.send_fence(&cluster, name);
        self.send_demotion(&cluster, name);
    }

    /// Returns true if this node holds the promotion lease under which the cluster's failover was
    /// announced.
    fn holds_lease_of_failover(&self, cluster: &Name) -> bool {
        let token = self.promotion_lease.fencing_token(self.now);
        let failover = self.failovers.running.get(cluster);
        failover.is_some_and(|failover| token == Some(failover.fencing_token))
    }

    /// Sends the demotion of a running failover to the old primary if it is due and a connection is
    /// idle; returns true if it was sent.
    fn send_demotion(&mut self, cluster: &Name, name: &Name) -> bool {
        let Some(failover) = self.failovers.running.get(cluster) else { return false };
        let due = failover.stage == FailoverStage::Demoting
            && !failover.in_flight
            && failover.old_primary.as_ref() == Some(name);
        let term = failover.term;
        if !due || !self.holds_lease_of_failover(cluster) {
            return false;
        }
        let Some(connection) = self.control_connection(name) else { return false };
        if let Some(failover) = self.failovers.running.get_mut(cluster) {
            failover.in_flight = true;
        }
        self.send(connection, vec![BackendCommand::Demote { term }], CommandPurpose::Demote);
        true
    }

    /// Demotes a former primary whose successor has reported, in case it could not be reached
    /// before.
    pub(crate) fn send_late_demotion(&mut self, name: &Name) {
        let Some(demotion) = self.failovers.demotions.get(name).copied() else { return };
        let expired = self.now >= demotion.since + LIFT_TIMEOUT;
        if expired || !self.databases.contains_key(name) {
            self.failovers.demotions.remove(name);
            return;
        }
        let Some(connection) = self.control_connection(name) else {
            return self.open_control_connection(name);
        };
        self.failovers.demotions.remove(name);
        let command = BackendCommand::Demote { term: demotion.term };
        self.send(connection, vec![command], CommandPurpose::Control);
    }

    /// Processes the report that answers a demotion.
    pub(crate) fn demote_answered(&mut self, connection: ConnectionId, answer: &BackendAnswer) {
        let Some(state) = self.connections.get(&connection) else { return };
        let (name, cluster) = (state.database.clone(), state.cluster.clone());
        let position = answer.report.map(|report| report.received.to_string());
        self.log(
            "demote_answered",
            fields!["database" => &name, "position" => position.unwrap_or_default()],
        );
        let waits = self.failovers.running.get(&cluster).is_some_and(|failover| {
            failover.stage == FailoverStage::Demoting
                && failover.old_primary.as_ref() == Some(&name)
        });
        let demoted = answer.report.is_some_and(|report| report.role == DatabaseRole::Replica);
        if waits && (demoted || !self.must_demote(&cluster)) {
            self.choose_new_primary(&cluster);
        }
    }

    /// Waits until every replica has reported since the failover started, or can be left out.
    pub(crate) fn probe_replicas(&mut self, cluster: &Name) {
        let now = self.now;
        let Some(failover) = self.failovers.running.get(cluster) else { return };
        let (replicas, started, last_step) =
            (failover.replicas.clone(), failover.started, failover.last_step);
        let mut missing = BTreeSet::new();
        for name in &replicas {
            let Some(database) = self.databases.get(name) else { continue };
            if database.last_report_at.is_some_and(|at| at >= started) {
                continue;
            }
            missing.insert(name.clone());
            if database.report_requested_at.is_none() {
                self.request_report(name);
            }
        }
        if !missing.is_empty() {
            if now < last_step + PROBE_TIMEOUT {
                return;
            }
            if !self.can_leave_out(cluster, &missing) {
                return self.abort_failover(cluster, "a replica does not answer");
            }
            let names: Vec<&str> = missing.iter().map(Name::as_str).collect();
            let record = fields!["cluster" => cluster, "databases" => names.join(",")];
            self.count("replicas_left_out");
            self.log("takeover_leaves_out", record);
            if let Some(failover) = self.failovers.running.get_mut(cluster) {
                failover.replicas.retain(|name| !missing.contains(name));
                failover.left_out = missing;
            }
        }
        self.set_stage(cluster, FailoverStage::Fencing);
        self.step_failover(cluster);
    }

    /// Returns true if a failover can do without replicas that do not answer: another one can be promoted,
    /// and the database that led last has answered since the start, as a primary that leaves or as a
    /// replica that is compared.
    fn can_leave_out(&self, cluster: &Name, missing: &BTreeSet<Name>) -> bool {
        let (Some(failover), Some(state)) =
            (self.failovers.running.get(cluster), self.clusters.get(cluster))
        else {
            return false;
        };
        let answers = |name: &Name| {
            self.databases.get(name).is_some_and(|database| {
                database.last_report_at.is_some_and(|at| at >= failover.started)
            })
        };
        let led_last = match &failover.old_primary {
            Some(old) => Some(old)
                .filter(|old| self.databases.get(*old).is_some_and(|old| old.listed.leaving)),
            None => state.proof.ended_leader().filter(|name| failover.replicas.contains(name)),
        };
        let successor = failover.replicas.iter().any(|name| {
            let listed = self.databases.get(name).map(|database| &database.listed);
            !missing.contains(name) && listed.is_some_and(|listed| !listed.leaving)
        });
        successor && led_last.is_some_and(answers) && self.has_synchronous_replicas(cluster)
    }

    /// Lifts fences that another node has left behind.
    pub(crate) fn lift_fences(&mut self, cluster: &Name) {
        if self.promotion_lease.fencing_token(self.now).is_none() {
            // The list arrived late. It is read again if the lease can be renewed.
            return;
        }
        let Some(state) = self.clusters.get(cluster) else { return };
        for name in state.proof.fenced_replicas() {
            self.unfence(&name);
        }
        self.failovers.running.remove(cluster);
        self.failovers.due_since.remove(cluster);
        self.log("fences_lifted", fields!["cluster" => cluster]);
        self.request_all_reports(cluster);
    }

    /// Lifts a replica's fence, but only while this node holds the promotion lease, so that no other
    /// node can have set it.
    pub(crate) fn unfence(&mut self, name: &Name) {
        self.failovers.lifts.insert(name.clone(), self.now);
        self.send_lift(name);
    }

    /// Sends the lifts and late demotions that waited for a connection.
    pub(crate) fn maintain_lifts(&mut self) {
        let waiting: Vec<Name> = self.failovers.lifts.keys().cloned().collect();
        for name in waiting {
            self.send_lift(&name);
        }
        let waiting: Vec<Name> = self.failovers.demotions.keys().cloned().collect();
        for name in waiting {
            self.send_late_demotion(&name);
        }
    }

    fn send_lift(&mut self, name: &Name) {
        let Some(since) = self.failovers.lifts.get(name).copied() else { return };
        let held = self.promotion_lease.fencing_token(self.now).is_some();
        if !held || self.now >= since + LIFT_TIMEOUT || !self.databases.contains_key(name) {
            // The fence is lifted as a stale one if the replica can be reached again.
            self.failovers.lifts.remove(name);
            return self.log("fence_left", fields!["database" => name, "held" => held]);
        }
        match self.control_connection(name) {
            Some(connection) => {
                self.failovers.lifts.remove(name);
                self.send(connection, vec![BackendCommand::Unfence], CommandPurpose::Unfence);
            }
            None => self.open_control_connection(name),
        }
    }

    /// Opens a connection to a database for a command that does not belong to a client, beyond the
    /// limit for requests, because the answers to all of those may be lost.
    pub(crate) fn open_control_connection(&mut self, name: &Name) {
        let now = self.now;
        let Some(database) = self.databases.get(name) else { return };
        let share = self.steady_connections(&database.listed.cluster);
        let limit = database.connection_limit(now, share) + CONTROL_CONNECTIONS;
        let may_open = database.unlisted_since.is_none()
            && database.opening == 0
            && now >= database.open_retry_at
            && database.connections.len() < limit as usize;
        if may_open {
            self.open_connection(name, None);
        }
    }

    pub(crate) fn fence_replicas(&mut self, cluster: &Name) {
        let now = self.now;
        let Some(failover) = self.failovers.running.get_mut(cluster) else { return };
        let missing: Vec<Name> = failover
            .replicas
            .iter()
            .filter(|name| !failover.fenced.contains_key(*name))
            .cloned()
            .collect();
        if missing.is_empty() {
            if failover.replicas.is_empty() {
                return self.abort_failover(cluster, "no replica is listed");
            }
            if failover.stage == FailoverStage::Comparing {
                self.set_stage(cluster, FailoverStage::FinalListing);
                return self.step_failover(cluster);
            }
            if failover.relisted {
                return self.set_stage(cluster, FailoverStage::AwaitingAcknowledgements);
            }
            return self.set_stage(cluster, FailoverStage::Relisting);
        }
        let mut sent_any = false;
        for name in missing {
            if self.send_fence(cluster, &name) {
                sent_any = true;
            } else if self.is_fence_due(cluster, &name) {
                self.open_control_connection(&name);
            }
        }
        // A replica that does not answer may be gone, so the list is read again.
        let relist =
            self.failovers.running.get(cluster).is_some_and(|failover| {
                now >= failover.last_step + Micros(STEP_RETRY_INTERVAL.0 * 4)
            });
        if !sent_any && relist {
            self.set_stage(cluster, FailoverStage::Listing);
        }
    }

    /// Returns true if a failover waits for a replica's fence and has not requested it recently.
    fn is_fence_due(&self, cluster: &Name, name: &Name) -> bool {
        let Some(failover) = self.failovers.running.get(cluster) else { return false };
        let sent = failover.fence_sent.get(name);
        matches!(failover.stage, FailoverStage::Fencing | FailoverStage::Comparing)
            && failover.replicas.contains(name)
            && !failover.fenced.contains_key(name)
            && sent.is_none_or(|at| self.now >= *at + STEP_RETRY_INTERVAL)
    }

    /// Fences a replica if that is due and a connection is idle; returns true if the fence was sent.
    fn send_fence(&mut self, cluster: &Name, name: &Name) -> bool {
        let now = self.now;
        if !self.is_fence_due(cluster, name) || !self.holds_lease_of_failover(cluster) {
            return false;
        }
        let Some(connection) = self.control_connection(name) else { return false };
        let Some(failover) = self.failovers.running.get_mut(cluster) else { return false };
        failover.fence_sent.insert(name.clone(), now);
        let term = failover.term;
        self.send(connection, vec![BackendCommand::Fence { term }], CommandPurpose::Fence);
        true
    }

    /// Forgets that a replica is fenced, because it has started again without the fence.
    pub(crate) fn forget_fence(&mut self, cluster: &Name, replica: &Name) {
        let Some(failover) = self.failovers.running.get_mut(cluster) else { return };
        failover.fence_sent.remove(replica);
        if failover.fenced.remove(replica).is_some() {
            self.log("fence_forgotten", fields!["cluster" => cluster, "database" => replica]);
        }
    }

    /// Processes the report that answers a fence.
    pub(crate) fn fence_answered(
        &mut self,
        connection: ConnectionId,
        sent: Micros,
        answer: &BackendAnswer,
    ) {
        let Some(state) = self.connections.get(&connection) else { return };
        let (name, cluster) = (state.database.clone(), state.cluster.clone());
        let Some(failover) = self.failovers.running.get_mut(&cluster) else {
            // The failover was aborted meanwhile, so this fence may be stale.
            if let (Some(report), Some(state)) = (answer.report, self.clusters.get_mut(&cluster)) {
                state.proof.observe_report(&name, sent, &report);
            }
            return;
        };
        let Some(report) = answer.report else {
            let text = format!("{:?}", answer.end);
            return self.log("fence_failed", fields!["database" => &name, "answer" => text]);
        };
        if let Some(database) = self.databases.get_mut(&name) {
            database.reported_log.observe(&report);
        }
        let term = failover.term;
        // The answer to an earlier command tells an earlier position.
        let compared = failover.stage != FailoverStage::Comparing || sent >= failover.last_step;
        let fenced = report.fence >= term && report.role == DatabaseRole::Replica && compared;
        if fenced {
            failover.fenced.insert(name.clone(), report);
        }
        self.log(
            "fence_answered",
            fields![
                "cluster" => &cluster,
                "database" => &name,
                "fence" => report.fence.0,
                "term" => report.term.0,
                "position" => report.received.to_string(),
                "fenced" => fenced
            ],
        );
        if report.role == DatabaseRole::Primary && report.term.next() == term {
            return self.abort_failover(&cluster, "the primary responds");
        }
        if report.fence > term
            && let Some(failover) = self.failovers.running.get_mut(&cluster)
        {
            failover.term = report.fence;
            failover.fenced.clear();
        }
        if let Some(state) = self.clusters.get_mut(&cluster) {
            state.proof.observe_report(&name, sent, &report);
        }
        self.step_failover(&cluster);
    }

    /// Returns the fenced replica with the longest log; among equals, one that is listed and not
    /// leaving.
    pub(crate) fn longest_fenced_log(&self, cluster: &Name) -> Option<(Name, TermPosition)> {
        let failover = self.failovers.running.get(cluster)?;
        failover
            .fenced
            .iter()
            .filter(|(name, _)| failover.replicas.contains(name))
            .max_by_key(|(name, report)| {
                let database = self.databases.get(*name);
                let stays = database.is_some_and(|database| {
                    !database.listed.leaving && database.unlisted_since.is_none()
                });
                (report.received, stays, std::cmp::Reverse((*name).clone()))
            })
            .map(|(name, report)| (name.clone(), report.received))
    }

    /// Returns why no fenced replica may be promoted: its log is known to be too short, or databases
    /// that may hold more were not compared. Crashed databases return with their log, so with
    /// synchronous replicas there is no time limit.
    pub(crate) fn missing_log_reason(&mut self, cluster: &Name) -> Option<&'static str> {
        let Some((name, position)) = self.longest_fenced_log(cluster) else {
            return Some("no replica is fenced");
        };
        let (event, reason, missing) = match self.log_coverage(cluster, position) {
            LogCoverage::Complete => return None,
            LogCoverage::TooShort => {
                ("log_too_short", "no replica holds the known log", Vec::new())
            }
            LogCoverage::Unproved { missing } => {
                ("log_unproved", "databases that may hold commits are missing", missing)
            }
        };
        let since = *self.failovers.missing_log_since.entry(cluster.clone()).or_insert(self.now);
        let waits = self.has_synchronous_replicas(cluster)
            || self.now < since + ASYNCHRONOUS_LOG_TIMEOUT
            || self.old_primary_responds(cluster);
        let missing: Vec<&str> = missing.iter().map(Name::as_str).collect();
        let mut record = fields![
            "cluster" => cluster,
            "database" => &name,
            "position" => position.to_string(),
            "missing" => missing.join(","),
            "waits" => waits
        ];
        record.extend(self.comparison_fields(cluster));
        self.log(event, record);
        waits.then_some(reason)
    }
}
