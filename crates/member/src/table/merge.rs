//! Merges entries from other nodes and the platform's list into the table.

use model::{Micros, Name};

use super::{
    Heartbeat, JOINING_MEMBER_LIMIT, JOINING_PULL_INTERVAL, MAX_MEMBERS, MAX_PULL_INTERVAL,
    MIN_PULL_INTERVAL, MemberAction, MemberEntry, MemberInfo, MemberState, MemberTable,
    PULL_DIFFERENCE_TIME, PULL_LONG_DIFFERENCE_TIME, PULL_STABLE_TIME, PlatformVm, REACH_PREFIX,
    REFUTATION_BITS,
};

/// Source of an entry.
#[derive(Clone, Copy, PartialEq)]
enum EntrySource {
    /// The member itself.
    Member,
    /// Another node or the platform's list.
    OtherNode,
    /// A table pulled while this node is joining; other nodes already know its entries.
    JoiningPull,
}

impl MemberTable {
    pub(super) fn handle_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        actions: &mut Vec<MemberAction>,
    ) {
        self.must_refute = None;
        let from = &heartbeat.from;
        if from.name == self.own.name {
            return;
        }
        self.contacts.entry(&from.name).last_heartbeat_at = Some(now);
        self.merge_heartbeat(now, heartbeat, actions);
        let contradicts =
            |entry: &MemberEntry| entry.is_dead() || entry.info.incarnation > from.incarnation;
        if self.entries.get(&from.name).is_some_and(contradicts) {
            self.must_refute = Some(from.name.clone());
        }
    }

    pub(super) fn handle_answer(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        actions: &mut Vec<MemberAction>,
    ) {
        let from = &heartbeat.from;
        if from.name == self.own.name {
            return;
        }
        let unknown = !self.entries.contains_key(&from.name);
        self.contacts.record_answer(&from.name, now);
        self.listed.remove(&from.name);
        if let Some(entry) = self.entries.get_mut(&from.name)
            && entry.info.state == MemberState::Suspected
        {
            entry.info.state = entry.state_without_suspicion();
        }
        self.merge_heartbeat(now, heartbeat, actions);
        if unknown && self.entries.len() < JOINING_MEMBER_LIMIT && now >= self.pull_after {
            self.pull_after = now + JOINING_PULL_INTERVAL;
            actions.push(MemberAction::PullTable { from: from.clone() });
        }
    }

    fn merge_heartbeat(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        actions: &mut Vec<MemberAction>,
    ) {
        let from = &heartbeat.from;
        self.merge_entry(now, from, EntrySource::Member, actions);
        for info in &heartbeat.changes {
            if info.state == MemberState::Suspected {
                self.handle_suspicion(now, info, actions);
            } else {
                self.merge_entry(now, info, EntrySource::OtherNode, actions);
            }
        }
        for (document, revision) in &heartbeat.revisions {
            if let Some(data_centres) = document.strip_prefix(REACH_PREFIX) {
                let own = self.own.data_centre.clone();
                if from.data_centre == own
                    && let Some((observer, other)) = data_centres.split_once('/')
                    && observer == own.as_str()
                {
                    self.merge_reachability(now, &other.into(), *revision, actions);
                }
            } else if self.revisions.should_pull(now, document, *revision) {
                let document = document.clone();
                actions.push(MemberAction::PullDocument { from: from.clone(), document });
            }
        }
        self.compare_digest(now, heartbeat, actions);
    }

    pub(super) fn handle_table(
        &mut self,
        now: Micros,
        members: Vec<MemberInfo>,
        actions: &mut Vec<MemberAction>,
    ) {
        let joining =
            self.entries.len() < JOINING_MEMBER_LIMIT && self.entries.len() < members.len() / 2;
        let source = if joining { EntrySource::JoiningPull } else { EntrySource::OtherNode };
        for mut info in members {
            if info.state == MemberState::Suspected {
                info.state = MemberState::Alive;
            }
            self.merge_entry(now, &info, source, actions);
        }
        if joining {
            self.changes.request(now);
        }
    }

    pub(super) fn handle_vm_list(
        &mut self,
        now: Micros,
        vms: Vec<PlatformVm>,
        actions: &mut Vec<MemberAction>,
    ) {
        self.listed.clear();
        let was_leaving = std::mem::take(&mut self.listed_leaving);
        for vm in vms {
            if vm.leaving {
                self.listed_leaving.insert(vm.name.clone());
            }
            let returns = !vm.leaving && was_leaving.contains(&vm.name);
            if vm.name == self.own.name {
                let mut info = self.own.clone();
                if vm.leaving {
                    info.state = MemberState::Leaving;
                    self.merge_own_entry(now, &info);
                } else if returns && !self.leave_requested {
                    self.own.state = MemberState::Alive;
                    self.own.incarnation += 1;
                    self.announce_self(now);
                }
                continue;
            }
            match self
                .entries
                .get(&vm.name)
                .map(|entry| (entry.is_dead(), entry.info_without_suspicion()))
            {
                Some((true, _)) => {}
                Some((false, mut info)) => {
                    if vm.leaving {
                        info.state = MemberState::Leaving;
                    } else if returns && info.state == MemberState::Leaving {
                        // Maintenance ended. A process that is shutting down announces that again.
                        info.state = MemberState::Alive;
                        info.incarnation += 1;
                    }
                    self.merge_entry(now, &info, EntrySource::OtherNode, actions);
                }
                None if !vm.leaving && self.listed.len() < MAX_MEMBERS => {
                    let info = MemberInfo {
                        name: vm.name.clone(),
                        data_centre: vm.data_centre,
                        peer_address: vm.peer_address,
                        admin_address: vm.admin_address,
                        incarnation: 0,
                        state: MemberState::Alive,
                    };
                    self.listed.insert(vm.name, (info, 0));
                }
                None => {}
            }
        }
    }

    /// Merges an entry: a higher incarnation wins, then dead over leaving over alive.
    fn merge_entry(
        &mut self,
        now: Micros,
        info: &MemberInfo,
        source: EntrySource,
        actions: &mut Vec<MemberAction>,
    ) {
        if info.name == self.own.name {
            self.merge_own_entry(now, info);
            return;
        }
        let dead = info.state == MemberState::Dead;
        let Some(entry) = self.entries.get_mut(&info.name) else {
            // The death of an unknown member is ignored; an entry for it would also bring back members
            // that were forgotten here but not yet elsewhere.
            if !dead && self.entries.len() < MAX_MEMBERS {
                let leaving = info.state == MemberState::Leaving;
                let entry = MemberEntry { info: info.clone(), leaving, since: now };
                self.entries.insert(info.name.clone(), entry);
                self.listed.remove(&info.name);
                self.entry_changed(now, &info.name, source);
            }
            return;
        };
        let held = &entry.info;
        let newer = info.incarnation > held.incarnation
            || (info.incarnation == held.incarnation
                && info.state > entry.state_without_suspicion());
        if !newer {
            return;
        }
        let recent = self.config.heartbeat_interval + self.config.heartbeat_interval;
        if dead
            && info.incarnation == held.incarnation
            && self.contacts.answered_within(&info.name, now, recent)
        {
            // The member answered this node recently; it refutes the death when it learns of it.
            let info = info.clone();
            let to = held.clone();
            let heartbeat = self.heartbeat_with(Some(info), std::iter::empty(), false);
            actions.push(MemberAction::SendHeartbeat { to, heartbeat });
            return;
        }
        let restarted = info.process_incarnation() != held.process_incarnation();
        if !entry.is_dead() && (dead || restarted) {
            actions.push(MemberAction::MemberLost(info.name.clone()));
        }
        if dead || info.incarnation > held.incarnation {
            // Earlier misses would confirm the next suspicion at once.
            self.contacts.remove(&info.name);
        }
        entry.leaving = info.state == MemberState::Leaving;
        entry.since = now;
        entry.info = info.clone();
        self.entry_changed(now, &info.name, source);
    }

    pub(super) fn declare_dead(
        &mut self,
        now: Micros,
        name: &Name,
        actions: &mut Vec<MemberAction>,
    ) {
        let Some(entry) = self.entries.get_mut(name).filter(|entry| !entry.is_dead()) else {
            return;
        };
        entry.info.state = MemberState::Dead;
        entry.since = now;
        actions.push(MemberAction::MemberLost(name.clone()));
        self.contacts.remove(name);
        self.entry_changed(now, name, EntrySource::OtherNode);
    }

    fn entry_changed(&mut self, now: Micros, name: &Name, source: EntrySource) {
        self.layout_stale = true;
        self.changed_at = now;
        if source != EntrySource::JoiningPull {
            self.changes.push(now, name);
        }
    }

    /// Merges an entry for this node. Only this node raises its own incarnation, except when the
    /// platform's list ends a maintenance.
    fn merge_own_entry(&mut self, now: Micros, info: &MemberInfo) {
        let held = (self.own.incarnation, self.own.state);
        if (info.incarnation, info.state) <= held || info.state == MemberState::Suspected {
            return;
        }
        if info.process_incarnation() > self.own.process_incarnation() {
            // An earlier process of the same name whose clock was ahead.
            self.own.incarnation = (info.process_incarnation() + 1) << REFUTATION_BITS;
        } else if info.state == MemberState::Dead || self.leave_requested {
            self.own.incarnation = info.incarnation + 1;
        } else {
            self.own.incarnation = info.incarnation;
            self.own.state = info.state;
        }
        self.announce_self(now);
    }

    pub(super) fn merge_reachability(
        &mut self,
        now: Micros,
        other: &Name,
        version: u64,
        actions: &mut Vec<MemberAction>,
    ) {
        if *other == self.own.data_centre
            || !self.layout.data_centres().any(|data_centre| data_centre == other)
        {
            return;
        }
        let held = self.reachability.entry(other.clone()).or_default();
        if version <= *held {
            return;
        }
        let lost = !version.is_multiple_of(2) && held.is_multiple_of(2);
        *held = version;
        self.layout_stale = true;
        self.changes.request(now);
        if lost {
            for entry in self.entries.values() {
                if entry.info.data_centre == *other && !entry.is_dead() {
                    actions.push(MemberAction::MemberLost(entry.info.name.clone()));
                }
            }
        }
    }

    /// Pulls the table of a node whose digest keeps differing while this table does not change.
    fn compare_digest(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        actions: &mut Vec<MemberAction>,
    ) {
        self.refresh_layout();
        let contact = self.contacts.entry(&heartbeat.from.name);
        if heartbeat.digest == self.layout.digest {
            contact.differs_since = None;
            self.pull_interval = MIN_PULL_INTERVAL;
            return;
        }
        let since = *contact.differs_since.get_or_insert(now);
        let differs = now.saturating_sub(since);
        let stable = now.saturating_sub(self.changed_at) >= PULL_STABLE_TIME;
        let due =
            (stable && differs >= PULL_DIFFERENCE_TIME) || differs >= PULL_LONG_DIFFERENCE_TIME;
        if due && now >= self.pull_after {
            self.pull_after = now + self.pull_interval;
            let doubled = self.pull_interval + self.pull_interval;
            self.pull_interval = doubled.min(MAX_PULL_INTERVAL);
            actions.push(MemberAction::PullTable { from: heartbeat.from.clone() });
        }
    }
}
