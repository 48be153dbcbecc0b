//! Merges what other nodes and the platform say into the table.

use model::{Micros, Name};

use super::{
    DIFFERENCE_BEFORE_PULL, Heartbeat, JOINING_MEMBERS, JOINING_PULL_INTERVAL, LONG_DIFFERENCE,
    MAX_PULL_INTERVAL, MEMBER_LIMIT, MIN_PULL_INTERVAL, MemberAction, MemberEntry, MemberInfo,
    MemberState, MemberTable, PlatformVm, QUIET_BEFORE_PULL, REACH_PREFIX, REFUTATION_BITS,
};

/// Where an entry comes from.
#[derive(Clone, Copy, PartialEq)]
enum EntrySource {
    /// The member itself.
    Member,
    /// Changes in the heartbeat of another member.
    Hearsay,
    /// A pulled table of a node that is itself joining: its entries are known to the others.
    JoiningPull,
}

impl MemberTable {
    pub(super) fn arrived(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        actions: &mut Vec<MemberAction>,
    ) {
        self.contradicted = None;
        let from = &heartbeat.from;
        if from.name == self.own.name {
            return;
        }
        self.contacts.entry(&from.name).heard_at = Some(now);
        self.merge_heartbeat(now, heartbeat, actions);
        let contradicts =
            |entry: &MemberEntry| entry.dead() || entry.info.incarnation > from.incarnation;
        if self.entries.get(&from.name).is_some_and(contradicts) {
            self.contradicted = Some(from.name.clone());
        }
    }

    pub(super) fn answered(
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
        self.contacts.answered(&from.name, now);
        self.listed.remove(&from.name);
        if let Some(entry) = self.entries.get_mut(&from.name)
            && entry.info.state == MemberState::Suspected
        {
            entry.info.state = entry.settled_state();
        }
        self.merge_heartbeat(now, heartbeat, actions);
        if unknown && self.entries.len() < JOINING_MEMBERS && now >= self.pull_after {
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
                self.suspicion_arrived(now, info, actions);
            } else {
                self.merge_entry(now, info, EntrySource::Hearsay, actions);
            }
        }
        for (document, revision) in &heartbeat.revisions {
            if let Some(places) = document.strip_prefix(REACH_PREFIX) {
                let own = self.own.data_centre.clone();
                if from.data_centre == own
                    && let Some((place, other)) = places.split_once('/')
                    && place == own.as_str()
                {
                    self.merge_reach(now, &other.into(), *revision, actions);
                }
            } else if self.revisions.wants(now, document, *revision) {
                let document = document.clone();
                actions.push(MemberAction::PullDocument { from: from.clone(), document });
            }
        }
        self.compare_digest(now, heartbeat, actions);
    }

    pub(super) fn table_arrived(
        &mut self,
        now: Micros,
        members: Vec<MemberInfo>,
        actions: &mut Vec<MemberAction>,
    ) {
        let joining =
            self.entries.len() < JOINING_MEMBERS && self.entries.len() < members.len() / 2;
        let source = if joining { EntrySource::JoiningPull } else { EntrySource::Hearsay };
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

    pub(super) fn vm_list_arrived(
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
                    self.hear_of_self(now, &info);
                } else if returns && !self.own_leave {
                    self.own.state = MemberState::Alive;
                    self.own.incarnation += 1;
                    self.announce_self(now);
                }
                continue;
            }
            match self.entries.get(&vm.name).map(|entry| (entry.dead(), entry.settled())) {
                Some((true, _)) => {}
                Some((false, mut info)) => {
                    if vm.leaving {
                        info.state = MemberState::Leaving;
                    } else if returns && info.state == MemberState::Leaving {
                        // Maintenance ended. A process that leaves by itself says so again.
                        info.state = MemberState::Alive;
                        info.incarnation += 1;
                    }
                    self.merge_entry(now, &info, EntrySource::Hearsay, actions);
                }
                None if !vm.leaving && self.listed.len() < MEMBER_LIMIT => {
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
            self.hear_of_self(now, info);
            return;
        }
        let dead = info.state == MemberState::Dead;
        let Some(entry) = self.entries.get_mut(&info.name) else {
            // A death of an unknown member is no news; taking it would also bring back members that
            // were forgotten here and not yet elsewhere.
            if !dead && self.entries.len() < MEMBER_LIMIT {
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
            || (info.incarnation == held.incarnation && info.state > entry.settled_state());
        if !newer {
            return;
        }
        let heard = self.config.heartbeat_interval + self.config.heartbeat_interval;
        if dead
            && info.incarnation == held.incarnation
            && self.contacts.answered_within(&info.name, now, heard)
        {
            // The member answered here since; it refutes the death when it hears of it.
            let info = info.clone();
            let to = held.clone();
            let heartbeat = self.heartbeat_with(Some(info), std::iter::empty(), false);
            actions.push(MemberAction::SendHeartbeat { to, heartbeat });
            return;
        }
        let restarted = info.process() != held.process();
        if !entry.dead() && (dead || restarted) {
            actions.push(MemberAction::MemberLost(info.name.clone()));
        }
        if dead || info.incarnation > held.incarnation {
            // Misses of before would confirm the next suspicion at once.
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
        let Some(entry) = self.entries.get_mut(name).filter(|entry| !entry.dead()) else { return };
        entry.info.state = MemberState::Dead;
        entry.since = now;
        actions.push(MemberAction::MemberLost(name.clone()));
        self.contacts.remove(name);
        self.entry_changed(now, name, EntrySource::Hearsay);
    }

    fn entry_changed(&mut self, now: Micros, name: &Name, source: EntrySource) {
        self.layout_stale = true;
        self.changed_at = now;
        if source != EntrySource::JoiningPull {
            self.changes.push(now, name);
        }
    }

    /// Handles what others say of this node. Only this node raises its own incarnation, except after
    /// a maintenance that the platform's list ended.
    fn hear_of_self(&mut self, now: Micros, info: &MemberInfo) {
        let held = (self.own.incarnation, self.own.state);
        if (info.incarnation, info.state) <= held || info.state == MemberState::Suspected {
            return;
        }
        if info.process() > self.own.process() {
            // An earlier process of the same name whose clock was ahead.
            self.own.incarnation = (info.process() + 1) << REFUTATION_BITS;
        } else if info.state == MemberState::Dead || self.own_leave {
            self.own.incarnation = info.incarnation + 1;
        } else {
            self.own.incarnation = info.incarnation;
            self.own.state = info.state;
        }
        self.announce_self(now);
    }

    pub(super) fn merge_reach(
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
        let held = self.reach.entry(other.clone()).or_default();
        if version <= *held {
            return;
        }
        let lost = !version.is_multiple_of(2) && held.is_multiple_of(2);
        *held = version;
        self.layout_stale = true;
        self.changes.request(now);
        if lost {
            for entry in self.entries.values() {
                if entry.info.data_centre == *other && !entry.dead() {
                    actions.push(MemberAction::MemberLost(entry.info.name.clone()));
                }
            }
        }
    }

    /// Pulls the table of a node whose digest stays different while nothing changes here.
    fn compare_digest(
        &mut self,
        now: Micros,
        heartbeat: &Heartbeat,
        actions: &mut Vec<MemberAction>,
    ) {
        self.refresh();
        let contact = self.contacts.entry(&heartbeat.from.name);
        if heartbeat.digest == self.layout.digest {
            contact.differs_since = None;
            self.pull_interval = MIN_PULL_INTERVAL;
            return;
        }
        let since = *contact.differs_since.get_or_insert(now);
        let differs = now.saturating_sub(since);
        let quiet = now.saturating_sub(self.changed_at) >= QUIET_BEFORE_PULL;
        let due = (quiet && differs >= DIFFERENCE_BEFORE_PULL) || differs >= LONG_DIFFERENCE;
        if due && now >= self.pull_after {
            self.pull_after = now + self.pull_interval;
            let doubled = self.pull_interval + self.pull_interval;
            self.pull_interval = doubled.min(MAX_PULL_INTERVAL);
            actions.push(MemberAction::PullTable { from: heartbeat.from.clone() });
        }
    }
}
