//! Cluster side: monitoring and promotions of each cluster of which this node owns a database.

use admit::RequestId;
use failover::{
    ClusterMonitor, CommitId, LeaderView, MonitorAction, MonitorConfig, MonitorEvent, Supervisor,
    SupervisorAction, SupervisorEvent,
};
use member::rank_owners;
use model::{ClusterConfig, Micros, Name, SocketAddress};

use crate::Node;
use crate::action::{LogLevel, NodeAction};
use crate::event::PlatformAnswer;
use crate::id::ReportId;
use crate::owner::PinKey;
use crate::record::{read_record, write_record};

/// Time after which an unanswered report request is removed. The cluster monitor and the supervisor have
/// counted it as failed long before.
const REPORT_REQUEST_TTL: Micros = Micros::from_secs(10);

/// Maximum age of the last confirmed report round at which a switchover is started. With an older round
/// the primary is suspected instead.
const MAX_SWITCHOVER_PROOF_AGE: Micros = Micros::from_secs(1);

/// A monitored cluster.
#[derive(Debug)]
pub(crate) struct ClusterState {
    pub config: ClusterConfig,
    pub monitor: ClusterMonitor,
    pub supervisor: Supervisor,
    /// The last report round that was requested for waiting owner requests: its time and identifier.
    pub requested_round: Option<(Micros, CommitId)>,
}

/// A request on a report connection that has not been answered.
#[derive(Debug)]
pub(crate) struct PendingReport {
    cluster: Name,
    database: Name,
    purpose: ReportPurpose,
    sent_at: Micros,
}

#[derive(Clone, Copy, Debug)]
enum ReportPurpose {
    Round(u64),
    Fence,
    Promote,
    Follow,
}

fn database_names(config: &ClusterConfig) -> Vec<Name> {
    config.databases.iter().map(|database| database.name.clone()).collect()
}

fn leaving_databases(config: &ClusterConfig) -> Vec<Name> {
    let leaving = config.databases.iter().filter(|database| database.leaving);
    leaving.map(|database| database.name.clone()).collect()
}

impl ClusterState {
    fn address(&self, database: &str) -> Option<SocketAddress> {
        let mut databases = self.config.databases.iter();
        databases.find(|config| &*config.name == database).map(|config| config.address)
    }
}

impl Node {
    /// Starts or updates the monitor of a cluster. `previous` is its configuration before a change: a node
    /// that becomes an owner by this change needs the list of databases that it replaces.
    pub(crate) fn configure_cluster(
        &mut self,
        config: &ClusterConfig,
        previous: Option<&ClusterConfig>,
    ) {
        let databases = database_names(config);
        match self.clusters.get_mut(&config.name) {
            Some(state) => {
                if state.config != *config {
                    state.monitor.set_databases(databases.clone());
                    state.supervisor.set_databases(databases);
                    state.supervisor.set_leaving(leaving_databases(config));
                    state.config = config.clone();
                }
            }
            None => {
                let seed = self.random.next_u64();
                let first = previous.map_or_else(|| databases.clone(), database_names);
                let mut monitor = ClusterMonitor::new(MonitorConfig::default(), first.clone());
                let mut supervisor = Supervisor::new(self.settings.name.clone(), first, seed);
                monitor.set_databases(databases.clone());
                supervisor.set_databases(databases);
                supervisor.set_leaving(leaving_databases(config));
                let state = ClusterState {
                    config: config.clone(),
                    monitor,
                    supervisor,
                    requested_round: None,
                };
                self.clusters.insert(config.name.clone(), state);
                // Starts the first report round.
                self.handle_monitor_event(&config.name, MonitorEvent::Timer);
            }
        }
    }

    /// Returns the owners of the cluster's databases in the order in which they supervise it.
    pub(crate) fn supervisors(&self, cluster: &ClusterConfig) -> Vec<Name> {
        let mut owners: Vec<Name> = cluster
            .databases
            .iter()
            .map(|database| self.members.owner_of(&database.name, &database.data_centre))
            .collect();
        owners.sort();
        owners.dedup();
        rank_owners(&cluster.name, owners)
    }

    pub(crate) fn handle_monitor_event(&mut self, cluster: &Name, event: MonitorEvent) {
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        let mut actions = Vec::new();
        state.monitor.handle(self.now, event, &mut actions);
        if state.monitor.is_list_settled() {
            state.supervisor.settle_list();
        }
        for action in actions {
            self.run_monitor_action(cluster, action);
        }
    }

    fn run_monitor_action(&mut self, cluster: &Name, action: MonitorAction) {
        match action {
            MonitorAction::RequestReport { database, round } => {
                let purpose = ReportPurpose::Round(round);
                self.send_report_request(cluster, &database, purpose, |id, database, address| {
                    NodeAction::RequestReport { id, database, address }
                });
            }
            MonitorAction::Acknowledge { commit, required_position } => {
                self.commit_acknowledged(commit, required_position)
            }
            MonitorAction::OutcomeUnknown { commit } => self.commit_unconfirmed(commit),
            MonitorAction::LeaderChanged { term, leader } => {
                let text = format!("cluster {cluster} is led by {leader} in term {term}");
                self.log(LogLevel::Info, text);
                self.count("leaders.changed", 1);
                self.leader_learned(cluster, &leader);
                self.decline_writes_at_replaced_primary(cluster, &leader);
                let event = SupervisorEvent::LeaderConfirmed { term, leader };
                self.handle_supervisor_event(cluster, event);
            }
            MonitorAction::PrimarySuspected { term } => {
                let Some(state) = self.clusters.get(cluster) else { return };
                let supervisors = self.supervisors(&state.config);
                let index = supervisors.iter().position(|node| *node == self.settings.name);
                if let Some(index) = index {
                    let supervisor_index = u32::try_from(index).unwrap_or(u32::MAX);
                    let event = SupervisorEvent::PrimarySuspected { term, supervisor_index };
                    self.handle_supervisor_event(cluster, event);
                }
            }
            MonitorAction::SuspicionCleared => {
                self.handle_supervisor_event(cluster, SupervisorEvent::SuspicionCleared);
            }
        }
    }

    /// Declines writes that are queued at the replaced primary. They would be declined when dequeued, but
    /// their deadline may have passed by then.
    fn decline_writes_at_replaced_primary(&mut self, cluster: &Name, leader: &Name) {
        let mut waiting: Vec<RequestId> = self
            .owner
            .requests
            .iter()
            .filter(|(_, request)| request.pin.is_none() && !request.routed.read)
            .filter(|(_, request)| request.routed.database != *leader)
            .filter(|(_, request)| {
                let service = self.owner.services.get(&request.routed.database);
                service.is_some_and(|service| service.cluster == *cluster)
            })
            .filter(|(_, request)| request.connection.is_none() && !request.is_acknowledging())
            .map(|(id, _)| *id)
            .collect();
        waiting.sort();
        for id in waiting {
            let reason = crate::request::DeclineReason::NotLeader { leader: Some(leader.clone()) };
            self.decline_owner_request(id, reason);
        }
    }

    fn send_report_request(
        &mut self,
        cluster: &Name,
        database: &Name,
        purpose: ReportPurpose,
        action: impl FnOnce(ReportId, Name, SocketAddress) -> NodeAction,
    ) {
        let Some(address) = self.clusters.get(cluster).and_then(|state| state.address(database))
        else {
            return;
        };
        let id = ReportId(self.next_id());
        let (cluster, sent_at) = (cluster.clone(), self.now);
        let pending = PendingReport { cluster, database: database.clone(), purpose, sent_at };
        self.reports.insert(id, pending);
        self.emit(action(id, database.clone(), address));
    }

    pub(crate) fn handle_supervisor_event(&mut self, cluster: &Name, event: SupervisorEvent) {
        let Some(state) = self.clusters.get_mut(cluster) else { return };
        let mut actions = Vec::new();
        let before = state.supervisor.step();
        state.supervisor.handle(self.now, event, &mut actions);
        let after = state.supervisor.step();
        if before != after {
            let text = format!("supervisor of cluster {cluster}: {before} to {after}");
            self.log(LogLevel::Info, text);
        }
        for action in actions {
            self.run_supervisor_action(cluster, action);
        }
    }

    fn run_supervisor_action(&mut self, cluster: &Name, action: SupervisorAction) {
        match action {
            SupervisorAction::RequestViews => {
                let Some(state) = self.clusters.get(cluster) else { return };
                for name in self.supervisors(&state.config) {
                    if name == self.settings.name {
                        continue;
                    }
                    match self.members.member(&name).cloned() {
                        Some(to) => {
                            self.emit(NodeAction::RequestView { to, cluster: cluster.clone() });
                        }
                        None => {
                            let event = SupervisorEvent::ViewArrived { from: name, view: None };
                            self.handle_supervisor_event(cluster, event);
                        }
                    }
                }
            }
            SupervisorAction::ReadRecord => {
                self.emit(NodeAction::ReadRecord { cluster: cluster.clone() });
            }
            SupervisorAction::WriteRecord { expected_index, record } => {
                let bytes = write_record(&record).into();
                let cluster = cluster.clone();
                self.emit(NodeAction::WriteRecord { cluster, expected_index, bytes });
            }
            SupervisorAction::Fence { database, term, .. } => {
                let by = self.supervisor_id.clone();
                self.send_report_request(
                    cluster,
                    &database,
                    ReportPurpose::Fence,
                    |id, database, at| NodeAction::RequestFence {
                        id,
                        database,
                        address: at,
                        term,
                        by,
                    },
                );
            }
            SupervisorAction::Promote { database, term } => {
                self.log(
                    LogLevel::Warn,
                    format!("promoting {database} to primary of cluster {cluster} in term {term}"),
                );
                self.count("promotions.ordered", 1);
                self.send_report_request(
                    cluster,
                    &database,
                    ReportPurpose::Promote,
                    |id, database, at| NodeAction::RequestPromotion {
                        id,
                        database,
                        address: at,
                        term,
                    },
                );
            }
            SupervisorAction::Follow { database, term, leader } => {
                self.send_report_request(
                    cluster,
                    &database,
                    ReportPurpose::Follow,
                    |id, database, at| NodeAction::RequestFollow {
                        id,
                        database,
                        address: at,
                        term,
                        leader,
                    },
                );
            }
        }
    }

    pub(crate) fn report_arrived(&mut self, id: ReportId, report: failover::DatabaseReport) {
        let Some(pending) = self.reports.remove(&id) else { return };
        if let ReportPurpose::Round(round) = pending.purpose {
            let database = pending.database.clone();
            self.handle_monitor_event(
                &pending.cluster,
                MonitorEvent::ReportArrived { database, round, report },
            );
            // The supervisor orders databases that lag behind the confirmed term to follow.
            let event = SupervisorEvent::ReportSeen { database: pending.database, report };
            self.handle_supervisor_event(&pending.cluster, event);
        }
    }

    pub(crate) fn fence_answered(
        &mut self,
        id: ReportId,
        accepted: bool,
        report: failover::DatabaseReport,
    ) {
        let Some(pending) = self.reports.remove(&id) else { return };
        let event = SupervisorEvent::Fenced { database: pending.database, accepted, report };
        self.handle_supervisor_event(&pending.cluster, event);
    }

    pub(crate) fn promote_answered(&mut self, id: ReportId, start: model::LogPosition) {
        let Some(pending) = self.reports.remove(&id) else { return };
        let event = SupervisorEvent::Promoted { database: pending.database, start };
        self.handle_supervisor_event(&pending.cluster, event);
    }

    pub(crate) fn report_failed(&mut self, id: ReportId) {
        let Some(pending) = self.reports.remove(&id) else { return };
        let database = pending.database;
        match pending.purpose {
            ReportPurpose::Round(round) => {
                self.handle_monitor_event(
                    &pending.cluster,
                    MonitorEvent::ReportFailed { database, round },
                );
            }
            ReportPurpose::Fence | ReportPurpose::Promote => {
                self.handle_supervisor_event(
                    &pending.cluster,
                    SupervisorEvent::DatabaseFailed { database },
                );
            }
            // The supervisor repeats the order while reports show that the database does not follow.
            // Otherwise it follows after the next promotion, or its operators make it follow with their
            // own tool.
            ReportPurpose::Follow => self.count("follows.failed", 1),
        }
    }

    /// Handles an answer of the platform about a cluster's leader record.
    pub(crate) fn record_answered(&mut self, answer: PlatformAnswer) {
        let (cluster, event) = match answer {
            PlatformAnswer::RecordRead { cluster, bytes, index } => {
                let record = bytes.as_deref().and_then(read_record);
                if bytes.is_some() && record.is_none() {
                    let text = format!("failed to parse the leader record of cluster {cluster}");
                    self.log(LogLevel::Error, text);
                }
                (cluster, SupervisorEvent::RecordRead { record, index })
            }
            PlatformAnswer::RecordWritten { cluster, applied } => {
                (cluster, SupervisorEvent::RecordWritten { applied })
            }
            PlatformAnswer::RecordFailed { cluster } => (cluster, SupervisorEvent::PlatformFailed),
            PlatformAnswer::Document { .. } | PlatformAnswer::VmList(_) => return,
        };
        self.handle_supervisor_event(&cluster, event);
    }

    pub(crate) fn view_answered(&mut self, cluster: &Name, from: Name, view: Option<LeaderView>) {
        self.handle_supervisor_event(cluster, SupervisorEvent::ViewArrived { from, view });
    }

    /// Runs the timers of monitors and supervisors that are due.
    pub(crate) fn run_cluster_timers(&mut self) {
        let now = self.now;
        let names: Vec<Name> = self.clusters.keys().cloned().collect();
        for name in names {
            let due = |next: Option<Micros>| next.is_some_and(|next| next <= now);
            if self.clusters.get(&name).is_some_and(|state| due(state.monitor.next_timer())) {
                self.handle_monitor_event(&name, MonitorEvent::Timer);
            }
            if self.clusters.get(&name).is_some_and(|state| due(state.supervisor.next_timer())) {
                self.handle_supervisor_event(&name, SupervisorEvent::Timer);
            }
        }
    }

    /// Starts a switchover from each leaving primary that this node owns, once its open transactions have
    /// ended or their time limit has passed.
    pub(crate) fn start_switchovers(&mut self) {
        let mut switchovers = Vec::new();
        for (name, service) in &self.owner.services {
            if !service.owned || !service.config.leaving || service.awaits_transactions(self.now) {
                continue;
            }
            let Some(state) = self.clusters.get(&service.cluster) else { continue };
            let view = state.monitor.view(self.now);
            let confirmed = view.confirmed_ago.is_some_and(|ago| ago < MAX_SWITCHOVER_PROOF_AGE);
            if confirmed && view.leader.as_ref() == Some(name) {
                let pins: Vec<PinKey> = service.pins.iter().copied().collect();
                switchovers.push((service.cluster.clone(), view.term, pins));
            }
        }
        for (cluster, term, pins) in switchovers {
            for key in pins {
                self.close_pin(key, "switchover from a leaving backend server");
            }
            self.handle_supervisor_event(&cluster, SupervisorEvent::LeaderLeaving { term });
        }
    }

    /// Removes report requests that the I/O driver never answered.
    pub(crate) fn expire_pending_reports(&mut self) {
        let oldest = self.now.saturating_sub(REPORT_REQUEST_TTL);
        self.reports.retain(|_, pending| pending.sent_at >= oldest);
    }
}
