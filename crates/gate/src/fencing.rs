//! Fences of a change of primary, and the comparison of the fenced logs.

use model::{DatabaseRole, Micros, Name};

use crate::backend::{BackendAnswer, BackendCommand, LogPoint};
use crate::database::CommandPurpose;
use crate::event::LinkId;
use crate::takeover::{STEP_PAUSE, TakeoverStage};
use crate::{Gate, fields};

/// Time that a change waits for a database with the known log to come back. Crashed databases return with
/// their log; one that stays away longer is given up with what it held.
const SHORT_LOG_TIME: Micros = Micros::from_millis(9_000);

/// Time that replicas get to report before they are fenced: an opened connection and a queue.
const PROBE_TIME: Micros = Micros::from_millis(500);

impl Gate {
    /// Demotes the old primary before its successor is named, if it answers.
    pub(crate) fn demote_old(&mut self, cluster: &Name) {
        if self.too_short(cluster) {
            return self.give_up(cluster, "no replica holds the known log");
        }
        let Some(takeover) = self.takeovers.running.get(cluster) else { return };
        let (old, term) = (takeover.old.clone(), takeover.term);
        let answers = old
            .as_ref()
            .and_then(|old| self.databases.get(old))
            .is_some_and(|old| old.is_responsive(self.now));
        let link = old.filter(|_| answers).and_then(|old| self.control_link(&old));
        let Some(link) = link else { return self.choose(cluster) };
        self.set_stage(cluster, TakeoverStage::Demoting);
        self.send(link, vec![BackendCommand::Demote { term }], CommandPurpose::Demote);
    }

    /// Takes in the report that answers a demotion.
    pub(crate) fn demote_answered(&mut self, link: LinkId, answer: &BackendAnswer) {
        let Some(state) = self.links.get(&link) else { return };
        let (name, cluster) = (state.database.clone(), state.cluster.clone());
        let position = answer.report.map(|report| report.received.to_string());
        self.log(
            "demote_answered",
            fields!["database" => &name, "position" => position.unwrap_or_default()],
        );
        let waits = self.takeovers.running.get(&cluster).is_some_and(|takeover| {
            takeover.stage == TakeoverStage::Demoting && takeover.old.as_ref() == Some(&name)
        });
        if waits {
            self.choose(&cluster);
        }
    }

    /// Waits until every replica has reported since the change started.
    pub(crate) fn probe_replicas(&mut self, cluster: &Name) {
        let now = self.now;
        let Some(takeover) = self.takeovers.running.get(cluster) else { return };
        let (replicas, started, stepped) =
            (takeover.replicas.clone(), takeover.started, takeover.stepped);
        let mut missing = 0;
        for name in &replicas {
            let Some(database) = self.databases.get(name) else { continue };
            if database.reported.is_some_and(|at| at >= started) {
                continue;
            }
            missing += 1;
            if database.report_asked.is_none() {
                self.ask_report(name);
            }
        }
        if missing == 0 {
            self.set_stage(cluster, TakeoverStage::Fencing);
            self.step_takeover(cluster);
        } else if now >= stepped + PROBE_TIME {
            self.give_up(cluster, "a replica does not answer");
        }
    }

    /// Lifts fences under the duty, which excludes that another node is setting them.
    pub(crate) fn lift_fences(&mut self, cluster: &Name) {
        let Some(state) = self.clusters.get(cluster) else { return };
        for name in state.evidence.fenced_replicas() {
            self.unfence(&name);
        }
        self.takeovers.running.remove(cluster);
        self.takeovers.due.remove(cluster);
        self.log("fences_lifted", fields!["cluster" => cluster]);
        self.ask_all(cluster);
    }

    pub(crate) fn unfence(&mut self, name: &Name) {
        if let Some(link) = self.control_link(name) {
            self.send(link, vec![BackendCommand::Unfence], CommandPurpose::Unfence);
        }
    }

    pub(crate) fn fence_replicas(&mut self, cluster: &Name) {
        let now = self.now;
        let Some(takeover) = self.takeovers.running.get_mut(cluster) else { return };
        let term = takeover.term;
        let missing: Vec<Name> = takeover
            .replicas
            .iter()
            .filter(|name| !takeover.fenced.contains_key(*name))
            .cloned()
            .collect();
        if missing.is_empty() {
            if takeover.replicas.is_empty() {
                return self.give_up(cluster, "no replica is listed");
            }
            if takeover.relisted {
                return self.set_stage(cluster, TakeoverStage::Waiting);
            }
            return self.set_stage(cluster, TakeoverStage::Relisting);
        }
        let due: Vec<Name> = missing
            .into_iter()
            .filter(|name| takeover.asked.get(name).is_none_or(|at| now >= *at + STEP_PAUSE))
            .collect();
        let mut asked = false;
        for name in due {
            let Some(link) = self.control_link(&name) else {
                if let Some(database) = self.databases.get_mut(&name) {
                    database.report_wanted = true;
                }
                self.open_links(&name);
                continue;
            };
            self.send(link, vec![BackendCommand::Fence { term }], CommandPurpose::Fence);
            if let Some(takeover) = self.takeovers.running.get_mut(cluster) {
                takeover.asked.insert(name, now);
            }
            asked = true;
        }
        // A replica that does not answer may be gone; the list tells.
        let repeat = self
            .takeovers
            .running
            .get(cluster)
            .is_some_and(|takeover| now >= takeover.stepped + Micros(STEP_PAUSE.0 * 4));
        if !asked && repeat {
            self.set_stage(cluster, TakeoverStage::Listing);
        }
    }

    /// Takes in the report that answers a fence.
    pub(crate) fn fence_answered(&mut self, link: LinkId, sent: Micros, answer: &BackendAnswer) {
        let Some(state) = self.links.get(&link) else { return };
        let (name, cluster) = (state.database.clone(), state.cluster.clone());
        let Some(takeover) = self.takeovers.running.get_mut(&cluster) else { return };
        let Some(report) = answer.report else {
            let text = format!("{:?}", answer.end);
            return self.log("fence_failed", fields!["database" => &name, "answer" => text]);
        };
        let term = takeover.term;
        let fenced = report.fence >= term && report.role == DatabaseRole::Replica;
        if fenced {
            takeover.fenced.insert(name.clone(), report);
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
            return self.give_up(&cluster, "the primary answers");
        }
        if report.fence > term
            && let Some(takeover) = self.takeovers.running.get_mut(&cluster)
        {
            takeover.term = report.fence;
            takeover.fenced.clear();
        }
        if let Some(state) = self.clusters.get_mut(&cluster) {
            state.evidence.report(&name, sent, &report);
        }
        self.step_takeover(&cluster);
    }

    /// Returns the fenced replica with the longest log; among equals one that stays.
    pub(crate) fn longest(&self, cluster: &Name) -> Option<(Name, LogPoint)> {
        let takeover = self.takeovers.running.get(cluster)?;
        takeover
            .fenced
            .iter()
            .filter(|(name, _)| takeover.replicas.contains(name))
            .max_by_key(|(name, report)| {
                let database = self.databases.get(*name);
                let stays = database.is_some_and(|database| {
                    !database.listed.leaving && database.unlisted.is_none()
                });
                (report.received, stays, std::cmp::Reverse((*name).clone()))
            })
            .map(|(name, report)| (name.clone(), report.received))
    }

    /// Tells whether every fenced replica lacks a part of the log that is known to exist, and one that holds
    /// it may come back.
    pub(crate) fn too_short(&mut self, cluster: &Name) -> bool {
        let Some((name, position)) = self.longest(cluster) else { return true };
        let known = self.clusters.get(cluster).map(|state| state.evidence.held());
        let known = known.unwrap_or_default();
        if position >= known {
            return false;
        }
        let since = *self.takeovers.short.entry(cluster.clone()).or_insert(self.now);
        let waits = self.now < since + SHORT_LOG_TIME || self.old_answers(cluster);
        self.log(
            "log_too_short",
            fields![
                "cluster" => cluster,
                "database" => &name,
                "position" => position.to_string(),
                "known" => known.to_string(),
                "waits" => waits
            ],
        );
        waits
    }
}
