//! Heartbeat rounds and failure detection of members and data centres.

use model::{Micros, Name};

use super::{
    CONTACT_RETENTION, DEAD_PROBE_ROUNDS, LISTED_PER_ROUND, MAX_LISTED_ATTEMPTS, MemberAction,
    MemberInfo, MemberState, MemberTable, WATCHER_SUCCESSORS,
};
use crate::hash::{mix, text_hash};

impl MemberTable {
    /// Runs all timers that are due.
    pub(super) fn run_timers(&mut self, now: Micros, actions: &mut Vec<MemberAction>) {
        self.refresh_layout();
        for name in self.contacts.take_failed_probes(now) {
            self.declare_dead(now, &name, actions);
        }
        for name in self.contacts.take_resends(now) {
            self.send(&name, std::iter::empty(), actions);
        }
        self.refresh_layout();
        if now >= self.next_round {
            self.run_round(now, actions);
        }
        if self.changes.due().is_some_and(|due| due <= now) {
            self.refresh_layout();
            let round = self.changes.take_round(now);
            for target in self.regular_targets() {
                self.send(&target, round.iter(), actions);
            }
        }
    }

    /// Returns the members that this node sends regular heartbeats to.
    fn regular_targets(&self) -> Vec<Name> {
        let mut targets = self.layout.contacts_of(&self.own.name);
        if self.is_watcher() {
            for data_centre in self.layout.data_centres() {
                if *data_centre != self.own.data_centre {
                    targets.extend(self.watcher_targets(data_centre));
                }
            }
        }
        targets
    }

    /// Returns the watcher of another data centre, with its successors while it does not answer.
    fn watcher_targets(&self, data_centre: &Name) -> Vec<Name> {
        let order = self.layout.watchers_of(data_centre);
        let silent = order.first().is_some_and(|first| self.contacts.missed(first) > 0);
        let count = match silent || !self.is_reachable(data_centre) {
            true => 1 + WATCHER_SUCCESSORS,
            false => 1,
        };
        order.iter().take(count).cloned().collect()
    }

    fn run_round(&mut self, now: Micros, actions: &mut Vec<MemberAction>) {
        self.rounds += 1;
        self.next_round = now + self.config.heartbeat_interval;
        self.forget_dead_members(now);
        self.refresh_layout();
        let repeats = self.changes.take_repeats();
        let targets = self.regular_targets();
        let near = self.layout.successors_of(&self.own.name);
        let mut silent = Vec::new();
        for target in &targets {
            if self.may_skip(target, &near, repeats.is_empty()) {
                continue;
            }
            let interval = self.config.heartbeat_interval;
            let missed = self.contacts.begin_interval(target, now, interval);
            if missed >= self.config.missed_limit {
                silent.push(target.clone());
            }
            self.send(target, repeats.iter(), actions);
        }
        self.clear_stale_suspicions(&targets);
        for name in silent {
            self.suspect(now, &name, actions);
        }
        if self.is_watcher() {
            self.check_reachability(now, actions);
        }
        self.probe_dead_member(actions);
        self.contact_listed_vms(actions);
        self.contacts.retain(|name, state| {
            let recent = |at: Micros| now.saturating_sub(at) <= CONTACT_RETENTION;
            targets.contains(name)
                || state.probe_deadline.is_some()
                || recent(state.sent_at)
                || state.answered_at.is_some_and(recent)
                || state.last_heartbeat_at.is_some_and(recent)
        });
    }

    /// Returns whether a regular heartbeat is not needed in this round. A distant contact gets one
    /// every few rounds as long as it answers, and one in every round from the first miss on.
    fn may_skip(&self, target: &Name, near: &[Name], no_repeats: bool) -> bool {
        let turn = self.rounds.wrapping_add(text_hash(target));
        no_repeats
            && !near.contains(target)
            && !turn.is_multiple_of(self.config.distant_rounds.max(1))
            && self.contacts.answered_last(target)
    }

    /// Drops members that died long ago.
    fn forget_dead_members(&mut self, now: Micros) {
        let limit = self.config.dead_member_retention;
        let before = self.entries.len();
        self.entries.retain(|_, entry| !entry.is_dead() || now.saturating_sub(entry.since) < limit);
        self.layout_stale |= self.entries.len() != before;
    }

    /// Clears suspicions of members that this node no longer observes.
    fn clear_stale_suspicions(&mut self, targets: &[Name]) {
        for (name, entry) in &mut self.entries {
            if entry.info.state == MemberState::Suspected && !targets.contains(name) {
                entry.info.state = entry.state_without_suspicion();
            }
        }
    }

    /// Suspects a silent contact and asks other nodes for confirmation. Members of other data centres
    /// are never suspected here, because their own data centre decides; see the module documentation.
    fn suspect(&mut self, now: Micros, name: &Name, actions: &mut Vec<MemberAction>) {
        let Some(entry) = self.entries.get_mut(name) else { return };
        if entry.is_dead() || entry.info.data_centre != self.own.data_centre {
            return;
        }
        if entry.info.state != MemberState::Suspected {
            entry.info.state = MemberState::Suspected;
            entry.since = now;
        }
        let since = entry.since;
        let suspicion = entry.info.clone();
        let confirmers = self.confirmers(name);
        if confirmers.is_empty() && now.saturating_sub(since) >= self.config.suspicion_timeout {
            self.declare_dead(now, name, actions);
            return;
        }
        for to in confirmers {
            let Some(to) = self.entries.get(&to).map(|entry| entry.info.clone()) else { continue };
            let heartbeat = self.heartbeat_with(Some(suspicion.clone()), std::iter::empty(), false);
            actions.push(MemberAction::SendHeartbeat { to, heartbeat });
        }
    }

    /// Returns the nodes to ask about a suspected member: its other observers, and one more node that
    /// changes every round, in case the observers are dead too.
    fn confirmers(&self, name: &Name) -> Vec<Name> {
        let mut names = self.layout.observers_of(name);
        names.retain(|other| *other != self.own.name);
        let usable = |info: &MemberInfo| {
            matches!(info.state, MemberState::Alive | MemberState::Leaving)
                && info.name != *name
                && !names.contains(&info.name)
        };
        let mut others: Vec<&Name> = Vec::new();
        for own_data_centre in [true, false] {
            if !others.is_empty() || (!own_data_centre && !names.is_empty()) {
                break;
            }
            let entries = self.entries.values().map(|entry| &entry.info);
            let entries = entries.filter(|info| {
                usable(info)
                    && (info.data_centre == self.own.data_centre) == own_data_centre
                    && self.is_reachable(&info.data_centre)
            });
            others.extend(entries.map(|info| &info.name));
        }
        if !others.is_empty() {
            let draw = mix(text_hash(name) ^ self.rounds) % others.len() as u64;
            names.push(others[draw as usize].clone());
        }
        names
    }

    /// Handles a suspicion that another node reported.
    pub(super) fn handle_suspicion(
        &mut self,
        now: Micros,
        info: &MemberInfo,
        actions: &mut Vec<MemberAction>,
    ) {
        let name = &info.name;
        let Some(entry) = self.entries.get(name) else { return };
        let interval = self.config.heartbeat_interval;
        if entry.is_dead()
            || entry.info.incarnation > info.incarnation
            || self.contacts.answered_within(name, now, interval + Micros(interval.0 / 2))
        {
            return;
        }
        if self.contacts.missed(name) >= self.config.missed_limit {
            self.declare_dead(now, name, actions);
            return;
        }
        let state = self.contacts.entry(name);
        if state.probe_deadline.is_none() {
            state.probe_deadline = Some(now + self.config.suspicion_timeout);
            state.unanswered_since = Some(now);
            state.sent_at = now;
            state.resent = false;
            self.send(name, std::iter::empty(), actions);
        }
    }

    /// As the watcher, decides which data centres are reachable from this one.
    fn check_reachability(&mut self, now: Micros, actions: &mut Vec<MemberAction>) {
        let others: Vec<Name> = self
            .layout
            .data_centres()
            .filter(|data_centre| **data_centre != self.own.data_centre)
            .cloned()
            .collect();
        let interval = self.config.heartbeat_interval;
        for other in others {
            let targets = self.watcher_targets(&other);
            let reachable = self.is_reachable(&other);
            let answered =
                targets.iter().any(|name| self.contacts.answered_within(name, now, interval));
            let silent = !targets.is_empty()
                && targets
                    .iter()
                    .all(|name| self.contacts.missed(name) >= self.config.missed_limit);
            if (reachable && silent) || (!reachable && answered) {
                let version = self.reachability.get(&other).copied().unwrap_or_default();
                self.merge_reachability(now, &other, version + 1, actions);
            }
        }
    }

    /// Sends a heartbeat to one dead member of the own data centre every few rounds, so that the sides
    /// of a partition inside a data centre find each other again.
    fn probe_dead_member(&mut self, actions: &mut Vec<MemberAction>) {
        let own = text_hash(&self.own.name);
        if !self.rounds.wrapping_add(own).is_multiple_of(DEAD_PROBE_ROUNDS) {
            return;
        }
        let dead: Vec<Name> = self
            .entries
            .values()
            .filter(|entry| entry.is_dead() && entry.info.data_centre == self.own.data_centre)
            .map(|entry| entry.info.name.clone())
            .collect();
        if !dead.is_empty() {
            let draw = mix(own ^ self.rounds) % dead.len() as u64;
            self.send(&dead[draw as usize], std::iter::empty(), actions);
        }
    }

    /// Sends heartbeats to VMs of the platform's list that are not members yet.
    fn contact_listed_vms(&mut self, actions: &mut Vec<MemberAction>) {
        let heartbeat = self.heartbeat_with(None, std::iter::empty(), false);
        for (info, attempts) in self.listed.values_mut().take(LISTED_PER_ROUND) {
            *attempts += 1;
            let (to, heartbeat) = (info.clone(), heartbeat.clone());
            actions.push(MemberAction::SendHeartbeat { to, heartbeat });
        }
        self.listed.retain(|_, (_, attempts)| *attempts < MAX_LISTED_ATTEMPTS);
    }
}
