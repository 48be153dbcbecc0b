//! Changes of primary.
//!
//! 1. Claim the duty, so that one node acts and its number is the highest. The claim announces the change.
//! 2. Read the current list of databases from the store.
//! 3. Ask every replica of the cluster for a report, and give up if one does not answer: fences on the others
//!    would only keep the primary from committing.
//! 4. Fence every replica, leaving ones included. From the last fence on, the old primary can
//!    acknowledge no commit, because no replica receives it.
//! 5. Read the lists again; fence replicas that are new. Wait until every registered node has acknowledged the
//!    announcement or can hold no read permit any more.
//! 6. Read the lists once more, since a new replica may receive commits shortly before it is listed.
//! 7. Demote the old primary if it can be reached. A promotion takes effect some time after the call, and a
//!    replica that starts meanwhile could let the old primary acknowledge more commits.
//! 8. Promote the replica with the longest log. What any acknowledged commit needs is in it, because every
//!    such commit is at one fenced replica at least.
//! 9. Wait until it reports to lead, and demote the old primary if it could not be reached before.
//!
//! A replica that cannot be fenced may hold the only copy of a commit and may go on acknowledging. The change
//! waits for it until its entry is gone, and is given up with the fences lifted if that takes too long.

use model::{FastMap, Micros, Name, Term};

use crate::action::GateAction;
use crate::backend::{BackendAnswer, BackendCommand, DatabaseReport, DatabaseRole, LogPoint};
use crate::database::CommandPurpose;
use crate::event::{Document, LinkId, PromoteResult, StoreState, StoredDocument};
use crate::permit::PERMIT_TIME;
use crate::roster::NodeRecord;
use crate::{Gate, fields};

/// Silence of a primary after which a node complains: above the longest queue seen at a database, below
/// half of the time within which a write is of use.
const SILENCE: Micros = Micros::from_millis(500);

/// Time after which a commit without an answer means that the primary has lost its replicas, if the primary
/// answers reports meanwhile.
const COMMIT_STALL: Micros = Micros::from_millis(900);

/// Time without a primary after which a node complains.
const LEADERLESS: Micros = Micros::from_millis(1_200);

/// The same while a database that claims to lead can be reached but has not reported yet, as when all its
/// connections are taken: the databases drop those of dead nodes after 3 s.
const UNREPORTED: Micros = Micros::from_millis(4_500);

/// Time that a change waits for a database with the known log to come back. Crashed databases return with
/// their log; one that stays away longer is given up with what it held.
const SHORT_LOG_TIME: Micros = Micros::from_millis(9_000);

/// Time after which a fence that no announced change explains is lifted.
const LEFT_FENCED: Micros = Micros::from_millis(700);

/// A node complains only if a replica answered within this time; otherwise it is itself cut off.
const REPLICA_HEARD: Micros = Micros::from_millis(900);

/// More than one node in this many has to complain before a primary is replaced, so that the nodes of one
/// data centre that is cut off cannot move it.
const COMPLAINT_SHARE: u32 = 3;

/// Time between the moments at which successive nodes would act.
const STAGGER: Micros = Micros::from_millis(600);

/// Time after which a change is given up.
const TAKEOVER_TIME: Micros = Micros::from_millis(6_000);

/// The same while the primary still answers and may be able to commit once the fences are lifted.
const BRIEF_TAKEOVER_TIME: Micros = Micros::from_millis(1_500);

/// Time that replicas get to report before they are fenced: an opened connection and a queue.
const PROBE_TIME: Micros = Micros::from_millis(500);

/// Time between the first commit that a new replica receives and its entry in the list, with a margin: 22 ms
/// were seen on the users' bench.
const LISTING_TIME: Micros = Micros::from_millis(100);

/// Time for the answer to a demotion before the change goes on without it.
const DEMOTE_TIME: Micros = Micros::from_millis(250);

/// Pause between fences to the same replica, and between promotion calls.
const STEP_PAUSE: Micros = Micros::from_millis(250);

/// Pause before this node tries the same cluster again after it gave up.
const GIVE_UP_PAUSE: Micros = Micros::from_millis(1_500);

/// Time that nodes get to acknowledge an announcement before their leases are ended: a watch's event and a
/// write, each within 10 ms when the store is well.
const ACKNOWLEDGE_TIME: Micros = Micros::from_millis(60);

/// Least time between two publications of this node's registration.
const PUBLISH_INTERVAL: Micros = Micros::from_millis(150);

/// Where a change of primary stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum TakeoverStage {
    Claiming,
    Listing,
    /// Waits for reports of all replicas.
    Probing,
    Fencing,
    Relisting,
    /// Waits for acknowledgements of the announcement.
    Waiting,
    /// Reads the list for the last time.
    Confirming,
    /// Waits until the old primary is a replica.
    Demoting,
    Promoting,
    /// The call was accepted; the new primary has not reported yet.
    Opening,
}

impl TakeoverStage {
    /// Tells whether the old primary may be demoted already, so that there is no way back.
    const fn is_decided(self) -> bool {
        matches!(self, TakeoverStage::Demoting | TakeoverStage::Promoting | TakeoverStage::Opening)
    }

    const fn reads_lists(self) -> bool {
        matches!(
            self,
            TakeoverStage::Listing | TakeoverStage::Relisting | TakeoverStage::Confirming
        )
    }

    const fn name(self) -> &'static str {
        match self {
            TakeoverStage::Claiming => "claiming",
            TakeoverStage::Listing => "listing",
            TakeoverStage::Probing => "probing",
            TakeoverStage::Fencing => "fencing",
            TakeoverStage::Relisting => "relisting",
            TakeoverStage::Waiting => "waiting",
            TakeoverStage::Confirming => "confirming",
            TakeoverStage::Demoting => "demoting",
            TakeoverStage::Promoting => "promoting",
            TakeoverStage::Opening => "opening",
        }
    }
}

/// One change of primary that this node carries out.
#[derive(Debug)]
pub(crate) struct Takeover {
    stage: TakeoverStage,
    old: Option<Name>,
    term: Term,
    started: Micros,
    /// When the last step that needs an answer was taken.
    stepped: Micros,
    in_flight: bool,
    replicas: Vec<Name>,
    fenced: FastMap<Name, DatabaseReport>,
    asked: FastMap<Name, Micros>,
    chosen: Option<Name>,
    /// The replica list is as the store had it after the last fence.
    relisted: bool,
    /// Only lifts fences that another node left behind.
    lifts: bool,
    /// Revision of the announcement.
    announced: u64,
    /// Nodes whose acknowledgement is missing, and the leases that their permits depend on.
    unacknowledged: FastMap<Name, LeaseWait>,
    /// No permit older than the announcement can hold after this.
    clear_at: Micros,
}

/// How far the end of a node's lease has got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LeaseWait {
    /// To be ended, or asked again.
    Held { lease: u64, asked: Option<Micros> },
    /// Ended; the node's permit runs out.
    Ended,
}

/// Changes of primary and what leads to them.
#[derive(Debug, Default)]
pub(crate) struct TakeoverState {
    running: FastMap<Name, Takeover>,
    /// Since when the conditions for a change hold, by cluster.
    due: FastMap<Name, Micros>,
    /// Clusters that this node leaves alone until then.
    paused: FastMap<Name, Micros>,
    leaderless: FastMap<Name, Micros>,
    /// Since when no replica holds the log that is known to exist.
    short: FastMap<Name, Micros>,
    /// Clusters that this node complains about, and why.
    suspected: FastMap<Name, &'static str>,
}

impl Gate {
    /// Returns why a cluster's primary should be replaced, as far as this node can tell alone.
    fn complaint(&mut self, cluster: &Name) -> Option<&'static str> {
        let now = self.now;
        if !self.holds_links(cluster) {
            return None;
        }
        let state = self.clusters.get(cluster)?;
        let leader = state.evidence.leader().cloned();
        let heard = state.members.iter().any(|name| {
            Some(name) != leader.as_ref()
                && self.databases.get(name).is_some_and(|database| {
                    database.answered.is_some_and(|at| now < at + REPLICA_HEARD)
                })
        });
        if !heard || !self.is_steady() {
            return None;
        }
        let Some(leader) = leader else {
            let since = *self.takeovers.leaderless.entry(cluster.clone()).or_insert(now);
            let claimed = state.members.iter().any(|name| {
                self.databases.get(name).is_some_and(|database| {
                    database.listed.claimed_role == Some(DatabaseRole::Primary)
                        && database.is_usable(now)
                })
            });
            let limit = if claimed { UNREPORTED } else { LEADERLESS };
            return (now >= since + limit).then_some("no primary");
        };
        self.takeovers.leaderless.remove(cluster);
        let Some(database) = self.databases.get(&leader) else { return Some("primary gone") };
        if database.silent_since().is_some_and(|since| now >= since + SILENCE) {
            return Some("primary silent");
        }
        if state.commit_overdue.is_some_and(|since| now >= since + COMMIT_STALL) {
            return Some("commits stalled");
        }
        None
    }

    /// Tells whether replicas are fenced although no change is announced, as after the death of the node that
    /// fenced them.
    fn left_fenced(&self, cluster: &Name) -> bool {
        let Some(state) = self.clusters.get(cluster) else { return false };
        let since = state.evidence.fenced_since();
        since.is_some_and(|since| self.now >= since + LEFT_FENCED)
            && !self.is_announced(cluster)
            && self.usable_leader(cluster).is_some()
    }

    /// Tells whether a cluster's primary is leaving and another database can replace it.
    fn leaving_primary(&self, cluster: &Name) -> bool {
        let Some(state) = self.clusters.get(cluster) else { return false };
        let Some(leader) = state.evidence.leader() else { return false };
        let leaving = self.databases.get(leader).is_some_and(|database| database.listed.leaving);
        leaving
            && state.members.iter().any(|name| {
                name != leader
                    && self.databases.get(name).is_some_and(|database| {
                        !database.listed.leaving && database.is_usable(self.now)
                    })
            })
    }

    /// Publishes the registration now, as it acknowledges an announcement.
    pub(crate) fn publish_registration(&mut self) {
        let mut record = self.published.record.clone().unwrap_or_default();
        record.process = self.settings.process;
        record.seen = self.permit.seen;
        record.peer_address = self.settings.peer_address;
        record.data_centre = self.settings.data_centre.to_string();
        self.publish(record);
    }

    fn publish(&mut self, record: NodeRecord) {
        if let Ok(bytes) = serde_json::to_vec(&record) {
            self.out.push(GateAction::PublishNode { bytes });
        }
        self.published.record = Some(record);
        self.published.at = self.now;
    }

    /// Publishes complaints, starts changes that are due, and moves on those that run.
    pub(crate) fn tend_takeovers(&mut self) {
        let now = self.now;
        let clusters: Vec<Name> = self.clusters.keys().cloned().collect();
        let mut record = NodeRecord {
            process: self.settings.process,
            complaints: Default::default(),
            seen: self.permit.seen,
            peer_address: self.settings.peer_address,
            data_centre: self.settings.data_centre.to_string(),
        };
        for cluster in &clusters {
            let complaint = self.complaint(cluster);
            if let Some(reason) = complaint {
                if self.takeovers.suspected.insert(cluster.clone(), reason) != Some(reason) {
                    let record = fields!["cluster" => cluster, "reason" => reason];
                    self.log("primary_suspected", record);
                }
                record.complaints.insert(cluster.to_string());
            } else {
                self.takeovers.suspected.remove(cluster);
            }
            self.start_if_due(cluster, complaint);
        }
        if self.published.record.as_ref() != Some(&record)
            && (self.published.record.is_none() || now >= self.published.at + PUBLISH_INTERVAL)
        {
            self.publish(record);
        }
        for cluster in clusters {
            self.step_takeover(&cluster);
        }
        self.tend_duty();
    }

    fn start_if_due(&mut self, cluster: &Name, complaint: Option<&'static str>) {
        let now = self.now;
        if self.takeovers.running.contains_key(cluster)
            || self.takeovers.paused.get(cluster).is_some_and(|until| now < *until)
            || self.drain.since.is_some()
            || !self.knows_list()
        {
            return;
        }
        let lifts = self.left_fenced(cluster) && complaint.is_none();
        let (reason, place) = if lifts {
            ("fences left", self.roster.place(cluster))
        } else if self.leaving_primary(cluster) {
            ("primary leaving", self.roster.place(cluster))
        } else if let Some(reason) = complaint {
            let nodes = self.roster.complaining(cluster);
            let needed = (self.holder_count(cluster) / COMPLAINT_SHARE + 1) as usize;
            let place = nodes.iter().position(|name| *name == self.settings.node);
            match place {
                Some(place) if nodes.len() >= needed => (reason, place as u64),
                _ => {
                    self.takeovers.due.remove(cluster);
                    return;
                }
            }
        } else {
            self.takeovers.due.remove(cluster);
            return;
        };
        let due = *self.takeovers.due.entry(cluster.clone()).or_insert(now);
        if now < due + Micros(STAGGER.0 * place) || self.duty.is_taken(now) {
            return;
        }
        let Some(state) = self.clusters.get(cluster) else { return };
        let old = state.evidence.leader().cloned();
        let highest = state
            .members
            .iter()
            .filter_map(|name| self.databases.get(name)?.report)
            .map(|report| report.term.max(report.fence))
            .max()
            .unwrap_or_default();
        let term = state.evidence.term().next().max(highest);
        self.log(
            "takeover_started",
            fields![
                "cluster" => cluster,
                "reason" => reason,
                "old" => old.clone().unwrap_or_default().to_string(),
                "term" => term.0
            ],
        );
        self.count("takeovers_started");
        self.takeovers.running.insert(
            cluster.clone(),
            Takeover {
                stage: TakeoverStage::Claiming,
                old,
                term,
                started: now,
                stepped: now,
                in_flight: false,
                replicas: Vec::new(),
                fenced: FastMap::default(),
                asked: FastMap::default(),
                chosen: None,
                relisted: false,
                lifts,
                announced: 0,
                unacknowledged: FastMap::default(),
                clear_at: now,
            },
        );
    }

    /// Renews the duty while changes run, and gives it up after the last.
    fn tend_duty(&mut self) {
        let now = self.now;
        let (_, record) = self.duty.record();
        let abandoned = !record.changing.is_empty() && !self.duty.is_taken(now);
        let lifting = self.links.values().any(|link| {
            link.pending.iter().any(|pending| pending.purpose == CommandPurpose::Unfence)
        });
        let write = if self.takeovers.running.is_empty() && !lifting {
            if abandoned && self.duty.number(now).is_none() && self.is_steady() {
                // The announcement of a holder that died is cleared by claiming and releasing.
                self.duty.claim(now, Vec::new())
            } else {
                self.duty.release(now)
            }
        } else if self.duty.wants_renewal(now) || self.announcement_missing() {
            let changing = self.takeovers.running.keys().map(ToString::to_string).collect();
            self.duty.claim(now, changing)
        } else {
            None
        };
        if let Some(write) = write {
            self.out.push(GateAction::WriteDuty {
                attempt: write.attempt,
                expected: write.expected,
                bytes: write.bytes,
            });
        }
    }

    /// Tells whether a change runs that the stored record does not announce.
    fn announcement_missing(&self) -> bool {
        self.takeovers.running.keys().any(|cluster| !self.duty.announces(self.now, cluster))
    }

    pub(crate) fn step_takeover(&mut self, cluster: &Name) {
        let now = self.now;
        let Some(takeover) = self.takeovers.running.get(cluster) else { return };
        let (stage, in_flight) = (takeover.stage, takeover.in_flight);
        let repeat = now >= takeover.stepped + STEP_PAUSE;
        let limit = if self.old_answers(cluster) { BRIEF_TAKEOVER_TIME } else { TAKEOVER_TIME };
        let Some(takeover) = self.takeovers.running.get(cluster) else { return };
        let limit = if stage.is_decided() { TAKEOVER_TIME } else { limit };
        if now >= takeover.started + limit && !(in_flight && self.is_calling(cluster)) {
            return self.give_up(cluster, "takes too long");
        }
        if self.is_settled(cluster) {
            return self.complete(cluster);
        }
        if self.duty.number(now).is_none() && stage != TakeoverStage::Claiming {
            // The claim is renewed by `tend_duty`; nothing is done without it.
            if self.duty.is_taken(now) {
                self.give_up(cluster, "another node holds the duty");
            }
            return;
        }
        match stage {
            TakeoverStage::Claiming if self.duty.announces(now, cluster) => {
                let (revision, _) = self.duty.record();
                if let Some(takeover) = self.takeovers.running.get_mut(cluster) {
                    takeover.announced = revision;
                }
                self.set_stage(cluster, TakeoverStage::Listing);
                self.step_takeover(cluster);
            }
            TakeoverStage::Claiming if self.duty.is_taken(now) => {
                self.give_up(cluster, "another node holds the duty");
            }
            TakeoverStage::Claiming => {}
            TakeoverStage::Listing | TakeoverStage::Relisting | TakeoverStage::Confirming => {
                if !in_flight || repeat {
                    self.mark_step(cluster);
                    self.out.push(GateAction::ReadState);
                }
            }
            TakeoverStage::Demoting => {
                if now >= takeover.stepped + DEMOTE_TIME {
                    self.choose(cluster);
                }
            }
            TakeoverStage::Probing => self.probe_replicas(cluster),
            TakeoverStage::Fencing => self.fence_replicas(cluster),
            TakeoverStage::Waiting => self.await_nodes(cluster),
            TakeoverStage::Promoting => {
                if !in_flight && repeat {
                    self.call_promote(cluster);
                }
            }
            TakeoverStage::Opening => {
                if repeat && let Some(chosen) = self.chosen(cluster) {
                    self.mark_step(cluster);
                    self.ask_report(&chosen);
                }
            }
        }
    }

    /// Tells whether the primary to be replaced still answers, so that giving up is better than fences that
    /// keep it from committing.
    fn old_answers(&self, cluster: &Name) -> bool {
        let old = self.takeovers.running.get(cluster).and_then(|takeover| takeover.old.as_ref());
        old.and_then(|old| self.databases.get(old))
            .is_some_and(|database| !database.listed.leaving && database.is_responsive(self.now))
    }

    fn is_calling(&self, cluster: &Name) -> bool {
        self.takeovers
            .running
            .get(cluster)
            .is_some_and(|takeover| takeover.stage == TakeoverStage::Promoting)
    }

    fn chosen(&self, cluster: &Name) -> Option<Name> {
        self.takeovers.running.get(cluster)?.chosen.clone()
    }

    fn set_stage(&mut self, cluster: &Name, stage: TakeoverStage) {
        let now = self.now;
        if let Some(takeover) = self.takeovers.running.get_mut(cluster) {
            takeover.stage = stage;
            takeover.in_flight = false;
            takeover.stepped = now;
        }
        self.log("takeover_stage", fields!["cluster" => cluster, "stage" => stage.name()]);
    }

    fn mark_step(&mut self, cluster: &Name) {
        let now = self.now;
        if let Some(takeover) = self.takeovers.running.get_mut(cluster) {
            takeover.in_flight = true;
            takeover.stepped = now;
        }
    }

    /// Tells whether a primary of a newer term reports, whoever made it one.
    fn is_settled(&self, cluster: &Name) -> bool {
        let (Some(takeover), Some(state)) =
            (self.takeovers.running.get(cluster), self.clusters.get(cluster))
        else {
            return false;
        };
        let evidence = &state.evidence;
        evidence.leader().is_some()
            && evidence.leader() != takeover.old.as_ref()
            && evidence.term() >= takeover.term
    }

    /// Takes in the state that the store had when it was asked.
    pub(crate) fn state_read(&mut self, state: Option<StoreState>) {
        let clusters: Vec<Name> = self.takeovers.running.keys().cloned().collect();
        let Some(StoreState { databases, documents }) = state else {
            for takeover in self.takeovers.running.values_mut() {
                if takeover.stage.reads_lists() {
                    takeover.in_flight = false;
                }
            }
            return;
        };
        for listed in &databases {
            if !self.databases.contains_key(&listed.id) {
                self.database_listed(listed.clone());
            }
        }
        for cluster in clusters {
            let Some(takeover) = self.takeovers.running.get_mut(&cluster) else { continue };
            if !takeover.stage.reads_lists() || !takeover.in_flight {
                continue;
            }
            let mut replicas: Vec<Name> = databases
                .iter()
                .filter(|listed| listed.cluster == cluster)
                .map(|listed| listed.id.clone())
                .filter(|name| Some(name) != takeover.old.as_ref())
                .collect();
            // An entry may lapse while its database lives and holds the only copy of a commit. Such a one has
            // to be fenced until it is given up.
            if let Some(state) = self.clusters.get(&cluster) {
                let known = state.members.iter().filter(|name| {
                    Some(*name) != takeover.old.as_ref() && !replicas.contains(name)
                });
                let known: Vec<Name> = known.cloned().collect();
                replicas.extend(known);
            }
            let stage = takeover.stage;
            takeover.relisted = stage == TakeoverStage::Relisting;
            if takeover.relisted {
                takeover.unacknowledged =
                    missing_nodes(&documents, &self.settings.node, takeover.announced);
                let departed = self.roster.departed().unwrap_or(self.started);
                takeover.clear_at = departed.max(self.started) + PERMIT_TIME;
            }
            takeover.replicas = replicas;
            if takeover.lifts {
                self.lift_fences(&cluster);
                continue;
            }
            let fenced = takeover.replicas.iter().all(|name| takeover.fenced.contains_key(name));
            match stage {
                TakeoverStage::Listing => self.set_stage(&cluster, TakeoverStage::Probing),
                TakeoverStage::Confirming if fenced => {
                    self.demote_old(&cluster);
                    continue;
                }
                _ => self.set_stage(&cluster, TakeoverStage::Fencing),
            }
            self.step_takeover(&cluster);
        }
    }

    /// Demotes the old primary before its successor is named, if it answers.
    fn demote_old(&mut self, cluster: &Name) {
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
    fn probe_replicas(&mut self, cluster: &Name) {
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
    fn lift_fences(&mut self, cluster: &Name) {
        let Some(state) = self.clusters.get(cluster) else { return };
        for name in state.evidence.fenced_replicas() {
            self.unfence(&name);
        }
        self.takeovers.running.remove(cluster);
        self.takeovers.due.remove(cluster);
        self.log("fences_lifted", fields!["cluster" => cluster]);
        self.ask_all(cluster);
    }

    fn unfence(&mut self, name: &Name) {
        if let Some(link) = self.control_link(name) {
            self.send(link, vec![BackendCommand::Unfence], CommandPurpose::Unfence);
        }
    }

    fn fence_replicas(&mut self, cluster: &Name) {
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

    /// Waits until no node can rely on a permit from before the announcement.
    fn await_nodes(&mut self, cluster: &Name) {
        let now = self.now;
        let Some(takeover) = self.takeovers.running.get_mut(cluster) else { return };
        let (announced, roster) = (takeover.announced, &self.roster);
        takeover
            .unacknowledged
            .retain(|node, wait| *wait == LeaseWait::Ended || !roster.has_seen(node, announced));
        let mut ends = Vec::new();
        for (node, wait) in &mut takeover.unacknowledged {
            if let LeaseWait::Held { lease, asked } = wait
                && now >= takeover.stepped + ACKNOWLEDGE_TIME
                && asked.is_none_or(|at| now >= at + STEP_PAUSE)
            {
                *asked = Some(now);
                ends.push(GateAction::EndLease { node: node.clone(), lease: *lease });
            }
        }
        let all_ended = takeover.unacknowledged.values().all(|wait| *wait == LeaseWait::Ended);
        if all_ended && now >= takeover.clear_at.max(takeover.stepped + LISTING_TIME) {
            return self.set_stage(cluster, TakeoverStage::Confirming);
        }
        self.out.append(&mut ends);
    }

    /// Another node's lease has ended; its permit runs out within [`PERMIT_TIME`].
    pub(crate) fn lease_ended(&mut self, node: &Name, ended: bool) {
        let now = self.now;
        self.log("lease_ended", fields!["node" => node, "ended" => ended]);
        for takeover in self.takeovers.running.values_mut() {
            if ended && let Some(wait) = takeover.unacknowledged.get_mut(node) {
                *wait = LeaseWait::Ended;
                takeover.clear_at = takeover.clear_at.max(now + PERMIT_TIME);
            }
        }
    }

    /// Returns the fenced replica with the longest log; among equals one that stays.
    fn longest(&self, cluster: &Name) -> Option<(Name, LogPoint)> {
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
    fn too_short(&mut self, cluster: &Name) -> bool {
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

    /// Names the new primary.
    fn choose(&mut self, cluster: &Name) {
        let best = self.longest(cluster);
        let Some((name, position)) = best else {
            return self.give_up(cluster, "no replica is fenced");
        };
        if let Some(takeover) = self.takeovers.running.get_mut(cluster) {
            takeover.chosen = Some(name.clone());
        }
        self.log(
            "takeover_chosen",
            fields![
                "cluster" => cluster,
                "database" => &name,
                "position" => position.to_string()
            ],
        );
        self.set_stage(cluster, TakeoverStage::Promoting);
        self.call_promote(cluster);
    }

    fn call_promote(&mut self, cluster: &Name) {
        let now = self.now;
        let Some(number) = self.duty.number(now) else { return };
        let Some(database) = self.chosen(cluster) else { return };
        self.mark_step(cluster);
        self.log(
            "promote_sent",
            fields!["cluster" => cluster, "database" => &database, "number" => number],
        );
        self.out.push(GateAction::Promote {
            cluster: cluster.clone(),
            database,
            holder: self.settings.node.clone(),
            number,
        });
    }

    pub(crate) fn promote_answered(&mut self, cluster: &Name, result: PromoteResult) {
        let outcome = match result {
            PromoteResult::Accepted => "accepted",
            PromoteResult::Rejected => "rejected",
            PromoteResult::Failed => "failed",
        };
        self.log("promote_answered", fields!["cluster" => cluster, "outcome" => outcome]);
        let Some(takeover) = self.takeovers.running.get_mut(cluster) else { return };
        takeover.in_flight = false;
        match result {
            PromoteResult::Accepted => self.set_stage(cluster, TakeoverStage::Opening),
            PromoteResult::Failed => {}
            PromoteResult::Rejected => {
                takeover.fenced.clear();
                self.set_stage(cluster, TakeoverStage::Listing);
            }
        }
    }

    fn complete(&mut self, cluster: &Name) {
        let Some(takeover) = self.takeovers.running.remove(cluster) else { return };
        let Some(state) = self.clusters.get(cluster) else { return };
        let term = state.evidence.term();
        let leader = state.evidence.leader().cloned().unwrap_or_default();
        let took = self.now.saturating_sub(takeover.started);
        self.count("takeovers_completed");
        self.log(
            "takeover_completed",
            fields![
                "cluster" => cluster,
                "leader" => &leader,
                "term" => term.0,
                "took_ms" => took.as_millis()
            ],
        );
        self.takeovers.due.remove(cluster);
        self.takeovers.short.remove(cluster);
        if let Some(old) = takeover.old
            && let Some(link) = self.control_link(&old)
        {
            self.send(link, vec![BackendCommand::Demote { term }], CommandPurpose::Control);
        }
    }

    fn give_up(&mut self, cluster: &Name, reason: &'static str) {
        let now = self.now;
        let Some(takeover) = self.takeovers.running.remove(cluster) else { return };
        self.count("takeovers_given_up");
        self.log(
            "takeover_given_up",
            fields!["cluster" => cluster, "stage" => takeover.stage.name(), "reason" => reason],
        );
        self.takeovers.due.remove(cluster);
        self.takeovers.paused.insert(cluster.clone(), now + GIVE_UP_PAUSE);
        if takeover.stage.is_decided() {
            return;
        }
        for name in takeover.fenced.keys() {
            self.unfence(name);
        }
    }
}

/// Returns the nodes that are registered and have not acknowledged an announcement.
fn missing_nodes(
    documents: &[StoredDocument],
    own: &Name,
    announced: u64,
) -> FastMap<Name, LeaseWait> {
    let mut missing = FastMap::default();
    for stored in documents {
        let Document::Node(node) = &stored.document else { continue };
        let record: NodeRecord = serde_json::from_slice(&stored.bytes).unwrap_or_default();
        if node != own && record.seen < announced {
            let wait = LeaseWait::Held { lease: stored.lease, asked: None };
            missing.insert(node.clone(), wait);
        }
    }
    missing
}
