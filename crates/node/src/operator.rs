//! Answers to operators, as JSON.

use model::{LabelSet, Micros, Name, Rank, RankMap};
use route::{choose_database, replica_obstacle};
use serde_json::{Map, Value, json};

use crate::Node;
use crate::event::OperatorQuery;
use crate::session::merge_labels;

/// Maximum number of busy sessions, and of idle ones, that a dump lists. The counts cover all sessions.
const MAX_DUMPED_SESSIONS: usize = 100;
/// Maximum number of labels that a dump lists for each session.
const MAX_DUMPED_LABELS: usize = 32;

impl Node {
    pub(crate) fn answer_operator(&self, now: Micros, query: &OperatorQuery) -> Value {
        match query {
            OperatorQuery::Dump => self.dump(now),
            OperatorQuery::Top { measure, rows } => json!({
                "node": self.settings.name,
                "measure": measure,
                "rows": self.accounts.top(now, *measure, *rows),
            }),
            OperatorQuery::Explain { attributes, labels, cluster } => {
                self.explain(now, attributes, labels, cluster)
            }
            OperatorQuery::ExplainSession { session } => match self.sessions.get(session) {
                Some(found) => json!({
                    "node": self.settings.name,
                    "session": session.0,
                    "cluster": found.cluster,
                    "labels": found.labels,
                    "requests": found.history,
                }),
                None => json!({ "error": format!("session {} is not open here", session.0) }),
            },
            OperatorQuery::Rollout => json!({
                "node": self.settings.name,
                "revision": self.fleet.revision(),
                "rejected": self.fleet.rejected,
                "documents": self.revisions(),
            }),
        }
    }

    fn revisions(&self) -> Value {
        let revisions = self.fleet.documents.revisions();
        revisions.into_iter().map(|(name, revision)| (name.to_string(), json!(revision))).collect()
    }

    fn dump(&self, now: Micros) -> Value {
        let members: Vec<Value> = self
            .members
            .members()
            .into_iter()
            .map(|member| {
                json!({
                    "name": member.name,
                    "data_centre": member.data_centre,
                    "peer_address": member.peer_address.to_string(),
                    "admin_address": member.admin_address.to_string(),
                    "incarnation": member.incarnation,
                    "state": format!("{:?}", member.state).to_lowercase(),
                })
            })
            .collect();
        let clusters: Map<String, Value> = self
            .clusters
            .keys()
            .map(|name| (name.to_string(), self.dump_cluster(now, name)))
            .collect();
        let mut services: Vec<&Name> = self.owner.services.keys().collect();
        services.sort();
        let databases: Map<String, Value> =
            services.iter().map(|name| (name.to_string(), self.dump_database(now, name))).collect();
        let busy = self.sessions.values().filter(|session| session.request.is_some()).count();
        json!({
            "node": self.settings.name,
            "data_centre": self.settings.data_centre,
            "state": self.drain.name(),
            "watcher": self.is_watcher,
            "revision": self.fleet.revision(),
            "rejected": self.fleet.rejected,
            "documents": self.revisions(),
            "members": members,
            "clusters": clusters,
            "databases": databases,
            "sessions": {
                "open": self.sessions.len(),
                "busy": busy,
                "in_progress": self.dump_sessions(true),
                "idle": self.dump_sessions(false),
            },
            "forwarded": self.entry.calls.len(),
            "counters": self.counters,
        })
    }

    fn dump_cluster(&self, now: Micros, name: &Name) -> Value {
        let Some(state) = self.clusters.get(name) else { return Value::Null };
        let view = state.monitor.view(now);
        let reports = state.config.databases.iter().map(|database| {
            let (age, report) = (
                state.monitor.provable_age(now, &database.name),
                state.monitor.report(&database.name),
            );
            let report_row = report.map(|(_, report)| {
                json!({
                    "term": report.term,
                    "role": format!("{:?}", report.role).to_lowercase(),
                    "received": report.received.to_string(),
                    "applied": report.applied.to_string(),
                    "behind_bytes": self.unapplied_bytes(name, &database.name),
                })
            });
            let row = json!({
                "report": report_row,
                "reported_ms_ago":
                    report.map(|(began, _)| now.saturating_sub(began).as_millis()),
                "provable_age_ms": age.map(Micros::as_millis),
            });
            (database.name.to_string(), row)
        });
        json!({
            "term": view.term,
            "leader": view.leader,
            "confirmed_ms_ago": view.confirmed_ago.map(Micros::as_millis),
            "supervisor": state.supervisor.step(),
            "supervisors": self.supervisors(&state.config),
            "databases": reports.collect::<Map<String, Value>>(),
        })
    }

    /// Returns the number of bytes of the leader's log that a database has not applied yet.
    fn unapplied_bytes(&self, cluster: &Name, database: &Name) -> Option<u64> {
        let monitor = &self.clusters.get(cluster)?.monitor;
        let leader = monitor.view(self.now).leader?;
        let (_, leader_report) = monitor.report(&leader)?;
        let (_, report) = monitor.report(database)?;
        Some(leader_report.applied.0.saturating_sub(report.applied.0))
    }

    fn dump_database(&self, now: Micros, name: &Name) -> Value {
        let Some(service) = self.owner.services.get(name) else { return Value::Null };
        let stats = service.queue.stats();
        let connections =
            self.owner.connections.values().filter(|backend| backend.database == *name);
        let (mut open, mut opening, mut busy) = (0, 0, 0);
        for backend in connections {
            match backend.open {
                true => open += 1,
                false => opening += 1,
            }
            busy += u32::from(backend.request.is_some());
        }
        let waits = RankMap(Rank::ALL.map(|rank| service.queue.expected_wait(now, rank)));
        json!({
            "cluster": service.cluster,
            "owned": service.owned,
            "leaving": service.config.leaving,
            "slots": service.config.slots,
            "queue": {
                "waiting": by_rank(&stats.waiting),
                "running": by_rank(&stats.running),
                "granted": by_rank(&stats.granted),
                "refused": by_rank(&stats.refused),
                "slot_time_us": by_rank(&stats.slot_time),
                "expected_wait_us": by_rank(&waits),
                "deferred": service.deferred.len(),
            },
            "pool": {
                "open": open,
                "opening": opening,
                "busy": busy,
                "pinned": service.pins.len(),
                "waiting": service.awaiting_connection.len(),
            },
        })
    }

    fn dump_sessions(&self, busy: bool) -> Vec<Value> {
        let mut listed: Vec<_> =
            self.sessions.iter().filter(|(_, session)| session.request.is_some() == busy).collect();
        listed.sort_by_key(|(id, _)| **id);
        listed
            .into_iter()
            .take(MAX_DUMPED_SESSIONS)
            .map(|(id, session)| {
                let request = session.request.as_ref();
                json!({
                    "session": id.0,
                    "caller": session.caller,
                    "cluster": session.cluster,
                    "labels": session
                        .labels
                        .0
                        .iter()
                        .take(MAX_DUMPED_LABELS)
                        .map(|(key, value)| (key.to_string(), json!(value)))
                        .collect::<Map<String, Value>>(),
                    "selector": session.policy.selector,
                    "rank": session.policy.rank,
                    "in_transaction": session.transaction.is_some(),
                    "database": request
                        .and_then(|request| request.attempt.as_ref())
                        .map(|attempt| &attempt.database),
                })
            })
            .collect()
    }

    fn explain(
        &self,
        now: Micros,
        attributes: &LabelSet,
        labels: &LabelSet,
        cluster: &Name,
    ) -> Value {
        let caller = self.fleet.selectors.caller_labels(attributes);
        let merged = merge_labels(labels, &caller);
        let policy = self.fleet.selectors.policy(&merged);
        let fleet = self.fleet.active.as_ref();
        let Some(config) = fleet.and_then(|fleet| fleet.cluster(cluster)) else {
            return json!({ "error": format!("cluster {cluster:?} is not configured") });
        };
        let leader = self.known_leader(cluster);
        let hints = self.entry.hints.cluster(now, config, leader.as_ref());
        let choose = |read: bool| {
            let own = &self.settings.data_centre;
            choose_database(&policy, read, None, own, &hints)
                .map(|choice| json!({ "database": choice.database, "reason": choice.reason }))
        };
        let databases: Map<String, Value> = hints
            .iter()
            .map(|hint| {
                let database = config.databases.iter().find(|other| other.name == hint.database);
                let owner = database
                    .map(|database| self.members.owner_of(&hint.database, &database.data_centre));
                let row = json!({
                    "owner": owner,
                    "leader": hint.leader,
                    "not_a_replica_because": replica_obstacle(&policy, hint),
                    "age_ms": hint.age.map(Micros::as_millis),
                    "wait_us": hint.wait.0,
                });
                (hint.database.to_string(), row)
            })
            .collect();
        json!({
            "node": self.settings.name,
            "revision": self.fleet.revision(),
            "labels": merged,
            "selector": policy.selector,
            "rank": policy.rank,
            "max_age_ms": policy.max_age.as_millis(),
            "deadline_ms": policy.deadline.as_millis(),
            "durable": policy.durable,
            "servers": policy.servers.as_str(),
            "read": choose(true),
            "write": choose(false),
            "databases": databases,
        })
    }
}

fn by_rank<V: serde::Serialize>(values: &RankMap<V>) -> Value {
    Rank::ALL.iter().map(|rank| (rank.name().to_string(), json!(values[*rank]))).collect()
}
