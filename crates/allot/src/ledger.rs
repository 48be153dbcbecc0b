//! The home node's part: token buckets, and what other nodes may hold of them.

use std::collections::{BTreeSet, VecDeque};

use account::RateLimit;
use model::{FastMap, FastSet, Micros, Name};

use crate::{
    AUTHORITY_TTL, AllotmentDemand, AllotmentGrant, AllotmentPolicy, AllotmentRequest,
    MIN_RESERVE_MILLI, RATE_AVERAGE, RESERVE_DELAY, RESERVE_SHARE, RESERVE_TTL, RETURN_TTL,
    seconds,
};

/// Shortest and longest time after which a refused account may try again.
const MIN_RETRY_MS: u64 = 1;
const MAX_RETRY_MS: u64 = 5_000;

/// Tokens are granted in advance while the bucket stays above this part of its capacity, and all
/// grants below this part of the limit.
const AHEAD_LEVEL: f64 = 0.75;
const AHEAD_RATE: f64 = 0.9;

/// Time after which nothing is left of what a former home node granted: it may grant for
/// [`AUTHORITY_TTL`] after it was last shown to be one, and leaves reserves then.
const UNKNOWN_TTL: Micros = Micros(AUTHORITY_TTL.0 + RESERVE_TTL.0);

/// Stands for the session of grants to the home node itself, which returns none.
const OWN_SESSION: u64 = 0;

/// Outcome of an operation at the home node itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum HomeTake {
    Taken {
        /// Reserve of the home node itself, in thousandths of an operation a second.
        reserve_milli: u64,
    },
    /// The account is above its limit.
    Refused { retry_after: Micros },
    /// A new home node does not know yet what other nodes may use.
    Unsettled,
    /// This node has no authority over the account.
    NoAuthority,
}

/// What is known about a node that requests tokens.
#[derive(Clone, Copy, Debug)]
struct NodeContact {
    session: u64,
    /// Arrival of its last request.
    last_request: Micros,
    /// From this time on the node may use its reserves.
    quiet_from: Micros,
    view: u64,
    /// Until then, nodes that it saw leave may use reserves, which are this part of a limit.
    departed_until: Micros,
    departed_share: f64,
}

/// A node that left the view without shutting down. It may still run and use its reserve.
#[derive(Clone, Copy, Debug)]
struct DepartedNode {
    left: Micros,
    /// Largest part of a limit that its reserve can be.
    share: f64,
}

impl DepartedNode {
    fn is_relevant(&self, now: Micros) -> bool {
        now < self.left.saturating_add(UNKNOWN_TTL)
    }
}

/// A node's part of an account.
#[derive(Clone, Copy, Debug, Default)]
struct NodeShare {
    /// Average rate of grants, a second.
    rate: f64,
    rate_updated: Micros,
    /// Reserve that the node is known to hold, a second.
    held: f64,
    /// Reserve in the last answer, which the node may not have received.
    told: f64,
    /// Part of its reserve that was left out of the refill since its last request.
    withheld: f64,
    /// Last request for tokens.
    demanded: Option<Micros>,
}

impl NodeShare {
    fn reserve(&self) -> f64 {
        self.held.max(self.told)
    }

    fn average(&self, now: Micros) -> f64 {
        let age = seconds(now.saturating_sub(self.rate_updated));
        self.rate * (-age / seconds(RATE_AVERAGE)).exp()
    }

    fn is_active(&self, now: Micros) -> bool {
        self.demanded.is_some_and(|at| now < at + RATE_AVERAGE)
    }

    fn record(&mut self, now: Micros, granted: u32) {
        self.rate = self.average(now) + f64::from(granted) / seconds(RATE_AVERAGE);
        self.rate_updated = now;
    }
}

/// Tokens granted within [`RETURN_TTL`] and not returned.
#[derive(Debug)]
struct RecentGrant {
    at: Micros,
    node: Name,
    session: u64,
    count: u32,
}

/// The bucket of one account.
#[derive(Debug)]
struct AccountLedger {
    limit: RateLimit,
    level: f64,
    settled: Micros,
    home_since: Micros,
    /// Part of the limit that other nodes may hold as reserves which are not known here.
    unknown_share: f64,
    /// When too few tokens were last granted.
    exhausted: Option<Micros>,
    shares: FastMap<Name, NodeShare>,
    recent: VecDeque<RecentGrant>,
    /// Highest levels since a time, and in the period before it. Tokens that were taken back count
    /// from the time of their grant.
    peaks: [f64; 2],
    peaks_since: Micros,
}

impl AccountLedger {
    fn new(now: Micros, limit: RateLimit, level: f64) -> Self {
        AccountLedger {
            limit,
            level,
            settled: now,
            home_since: now,
            unknown_share: RESERVE_SHARE,
            exhausted: None,
            shares: FastMap::default(),
            recent: VecDeque::new(),
            peaks: [level; 2],
            peaks_since: now,
        }
    }

    /// Returns true if other nodes may hold reserves that are not known here.
    fn is_new(&self) -> bool {
        self.unknown_share > 0.0
    }

    fn max_reserves(&self) -> f64 {
        (RESERVE_SHARE - self.unknown_share).max(0.0) * self.limit.rate_per_s
    }

    /// Returns the rate at which the bucket fills while no known node uses its reserve.
    fn base_rate(&self, extra_rate: f64) -> f64 {
        (1.0 - self.unknown_share) * self.limit.rate_per_s + extra_rate
    }

    /// Fills the bucket up to now. Reserves that nodes may have used are left out.
    fn settle(&mut self, now: Micros, nodes: &FastMap<Name, NodeContact>, policy: AllotmentPolicy) {
        let mut added =
            self.base_rate(policy.extra_rate) * seconds(now.saturating_sub(self.settled));
        for (node, share) in &mut self.shares {
            let Some(contact) = nodes.get(node) else { continue };
            let from = contact.quiet_from.max(self.settled);
            let until = (contact.last_request + RESERVE_TTL).min(now);
            let withheld = share.reserve() * seconds(until.saturating_sub(from));
            share.withheld += withheld;
            added -= withheld;
        }
        self.level = (self.level + added.max(0.0)).min(policy.capacity(self.limit));
        self.settled = now;
        if now >= self.peaks_since + RETURN_TTL {
            self.peaks = [self.level, self.peaks[0]];
            self.peaks_since = now;
        }
        self.peaks[0] = self.peaks[0].max(self.level);
    }

    /// Returns the highest level within [`RETURN_TTL`] and up to as much before.
    fn peak(&self) -> f64 {
        self.peaks[0].max(self.peaks[1])
    }

    /// Takes back unused tokens and the unused part of the reserve that was withheld for a node. The
    /// level becomes what it would be if they had never left the bucket: as far as the bucket would
    /// have been full since then, they are lost.
    fn take_back(
        &mut self,
        now: Micros,
        node: &Name,
        session: u64,
        demand: &AllotmentDemand,
        capacity: f64,
    ) {
        while self.recent.front().is_some_and(|grant| now >= grant.at + RETURN_TTL) {
            self.recent.pop_front();
        }
        let mut left = demand.unused;
        let granted = self.recent.iter_mut();
        for grant in granted.filter(|grant| grant.session == session && grant.node == *node) {
            let returned = grant.count.min(left);
            grant.count -= returned;
            left -= returned;
        }
        let reserve = self.shares.get_mut(node).map_or(0.0, |share| {
            let withheld = std::mem::take(&mut share.withheld) - f64::from(demand.from_reserve);
            withheld.clamp(0.0, share.reserve() * seconds(RETURN_TTL))
        });
        let room = (capacity - self.peak()).max(0.0);
        let returned = (f64::from(demand.unused - left) + reserve).min(room);
        self.level += returned;
        self.peaks = self.peaks.map(|peak| peak + returned);
    }

    /// Takes tokens for a node: for waiting operations as many as there are, and in advance only
    /// spare ones.
    fn grant(
        &mut self,
        now: Micros,
        node: &Name,
        session: u64,
        demand: &AllotmentDemand,
        capacity: f64,
        max_share: f64,
    ) -> AllotmentGrant {
        self.take_back(now, node, session, demand, capacity);
        let waiting = f64::from(demand.waiting).min((self.level + 1e-9).floor());
        self.level -= waiting;
        let ahead = f64::from(demand.ahead);
        let total: f64 = self.shares.values().map(|share| share.average(now)).sum();
        // Tokens in advance may expire unused, and the bucket must stay nearly full for a burst
        // elsewhere.
        let is_spare = self.level - ahead >= capacity * AHEAD_LEVEL
            && total + ahead / seconds(RATE_AVERAGE) <= self.limit.rate_per_s * AHEAD_RATE;
        let ahead = if is_spare { ahead } else { 0.0 };
        self.level -= ahead;
        let granted = (waiting + ahead) as u32;
        if granted > 0 {
            self.recent.push_back(RecentGrant {
                at: now,
                node: node.clone(),
                session,
                count: granted,
            });
        }
        let refused = waiting < f64::from(demand.waiting);
        if refused {
            self.exhausted = Some(now);
        }
        if demand.waiting > 0 {
            self.shares.entry(node.clone()).or_default().demanded = Some(now);
        }
        AllotmentGrant {
            account: demand.account.clone(),
            granted,
            retry_after_ms: if refused && !self.is_new() { self.retry_after_ms() } else { 0 },
            reserve_milli: self.tell_reserve(now, node, granted, max_share),
        }
    }

    fn retry_after_ms(&self) -> u64 {
        let wait = (1.0 - self.level).max(0.0) / self.limit.rate_per_s * 1e3;
        (wait.ceil() as u64).clamp(MIN_RETRY_MS, MAX_RETRY_MS)
    }

    /// Returns the reserve that a node gets: its average rate, or an equal part while the account is
    /// at its limit, as far as the reserves of all nodes stay within the limit. No reserve is above
    /// the equal part of all nodes, so that a home node which does not know it can leave it out.
    fn tell_reserve(&mut self, now: Micros, node: &Name, granted: u32, max_share: f64) -> u64 {
        let others = self.shares.iter().filter(|(other, _)| *other != node);
        let others: f64 = others.map(|(_, share)| share.reserve()).sum();
        let available = (self.max_reserves() - others).max(0.0);
        let is_exhausted = self.exhausted.is_some_and(|at| now < at + RATE_AVERAGE);
        let active = self.shares.values().filter(|share| share.is_active(now)).count();
        let equal_part = self.max_reserves() / active.max(1) as f64;
        let share = self.shares.entry(node.clone()).or_default();
        share.record(now, granted);
        let wanted = if is_exhausted && share.is_active(now) { equal_part } else { share.rate };
        let most = available.min(max_share * self.limit.rate_per_s);
        let milli = (wanted.min(most) * 1e3) as u64;
        let milli = if milli < MIN_RESERVE_MILLI { 0 } else { milli };
        share.told = milli as f64 / 1e3;
        milli
    }
}

/// Token buckets of the accounts whose home this node is.
///
/// ```
/// use account::RateLimit;
/// use allot::{AllotmentLedger, AllotmentPolicy, HomeTake};
/// use model::Micros;
///
/// let mut ledger = AllotmentLedger::new("n1".into(), AllotmentPolicy::new(None));
/// let limit = RateLimit { rate_per_s: 10.0, burst: 2.0 };
/// ledger.update(Micros::ZERO, 1, ["n1".into()], &Default::default(), vec![("kiosks".into(), limit)]);
/// let now = Micros::from_millis(100);
/// ledger.record_store_contact(now);
/// assert!(matches!(ledger.take(now, &"kiosks".into()), HomeTake::Taken { .. }));
/// let refused = HomeTake::Refused { retry_after: Micros::from_millis(100) };
/// assert_eq!(ledger.take(now, &"kiosks".into()), refused);
/// ```
#[derive(Debug)]
pub struct AllotmentLedger {
    own: Name,
    policy: AllotmentPolicy,
    view: u64,
    /// The other nodes of the view.
    members: Vec<Name>,
    /// Nodes that left the view without shutting down and have not joined it again.
    departed: FastMap<Name, DepartedNode>,
    view_since: Micros,
    /// When a node last made this view known, or left.
    view_settled: Micros,
    store_contact: Option<Micros>,
    nodes: FastMap<Name, NodeContact>,
    accounts: FastMap<Name, AccountLedger>,
    /// Accounts in which other nodes have a share.
    shared: FastMap<Name, FastSet<Name>>,
    /// When the buckets of accounts last began with a first allowance at this node.
    first_allowances: FastMap<Name, Micros>,
}

impl AllotmentLedger {
    /// Creates a ledger without accounts.
    pub fn new(own: Name, policy: AllotmentPolicy) -> Self {
        AllotmentLedger {
            own,
            policy,
            view: 0,
            members: Vec::new(),
            departed: FastMap::default(),
            view_since: Micros::ZERO,
            view_settled: Micros::ZERO,
            store_contact: None,
            nodes: FastMap::default(),
            accounts: FastMap::default(),
            shared: FastMap::default(),
            first_allowances: FastMap::default(),
        }
    }

    /// Sets the nodes among which homes are chosen, and the accounts whose home this node is.
    /// `leaving` are nodes that shut down, which use no reserves. Accounts that stay keep their
    /// buckets; a changed limit applies at once.
    pub fn update(
        &mut self,
        now: Micros,
        view: u64,
        members: impl IntoIterator<Item = Name>,
        leaving: &BTreeSet<Name>,
        accounts: Vec<(Name, RateLimit)>,
    ) {
        self.settle_all(now);
        if view != self.view {
            self.change_view(now, view, members, leaving);
        }
        let interval = self.policy.first_allowance_interval;
        self.first_allowances.retain(|_, at| now < at.saturating_add(interval));
        let mut former = std::mem::take(&mut self.accounts);
        for (name, limit) in accounts {
            let capacity = self.policy.capacity(limit);
            let mut account = former.remove(&name).unwrap_or_else(|| {
                let is_first = self.first_allowances.insert(name.clone(), now).is_none();
                let level = if is_first { self.policy.first_level } else { 0.0 };
                AccountLedger::new(now, limit, level)
            });
            account.limit = limit;
            account.level = account.level.min(capacity);
            self.accounts.insert(name, account);
        }
        for shared in self.shared.values_mut() {
            shared.retain(|account| self.accounts.contains_key(account));
        }
        self.settle_all(now);
    }

    fn change_view(
        &mut self,
        now: Micros,
        view: u64,
        members: impl IntoIterator<Item = Name>,
        leaving: &BTreeSet<Name>,
    ) {
        let members: Vec<Name> = members.into_iter().filter(|node| *node != self.own).collect();
        let departed = DepartedNode { left: now, share: self.max_share() };
        for node in self.members.iter().filter(|node| !members.contains(node)) {
            self.departed.insert(node.clone(), departed);
        }
        self.departed.retain(|node, departed| {
            !members.contains(node) && !leaving.contains(node) && departed.is_relevant(now)
        });
        self.view = view;
        self.view_since = now;
        self.view_settled = now;
        self.members = members;
    }

    /// Returns the time until which nodes that left the view may use reserves, and which part of a
    /// limit these are at most.
    pub(crate) fn departed_reserves(&self) -> (Micros, f64) {
        let last = self.departed.values().map(|departed| departed.left).max();
        let until = last.map_or(Micros::ZERO, |left| left.saturating_add(UNKNOWN_TTL));
        (until, self.departed.values().map(|departed| departed.share).sum())
    }

    /// Returns since when the view has been known.
    pub(crate) fn view_since(&self) -> Micros {
        self.view_since
    }

    /// Returns the largest part of a limit that a node's reserve may be.
    pub(crate) fn max_share(&self) -> f64 {
        RESERVE_SHARE / (self.members.len() + 1) as f64
    }

    /// Records that this node has contact with the store, which shows that no other node has taken
    /// its place.
    pub fn record_store_contact(&mut self, now: Micros) {
        self.store_contact = Some(now);
    }

    /// Returns true if this node may grant tokens: it has contact with the store, or most nodes
    /// still take it for a home node.
    pub fn has_authority(&self, now: Micros) -> bool {
        let is_recent = |at: Micros| now < at + AUTHORITY_TTL;
        if self.store_contact.is_some_and(is_recent) {
            return true;
        }
        let serves = |node: &&Name| {
            let contact = self.nodes.get(*node);
            contact
                .is_some_and(|contact| contact.view == self.view && is_recent(contact.last_request))
        };
        let served = self.members.iter().filter(serves).count();
        (served + 1) * 2 > self.members.len() + 1
    }

    /// Returns true if this node is the home of an account.
    pub fn is_home_of(&self, account: &Name) -> bool {
        self.accounts.contains_key(account)
    }

    /// Returns true if [`AllotmentLedger::take`] takes a token for an operation now.
    pub fn is_available(&mut self, now: Micros, account: &Name) -> bool {
        self.settle_account(now, account);
        let ledger = self.accounts.get(account);
        self.has_authority(now) && ledger.is_some_and(|ledger| ledger.level + 1e-9 >= 1.0)
    }

    /// Takes a token for an operation of this node.
    pub fn take(&mut self, now: Micros, account: &Name) -> HomeTake {
        if !self.has_authority(now) {
            return HomeTake::NoAuthority;
        }
        self.settle_account(now, account);
        let (own, max_share) = (self.own.clone(), self.max_share());
        let Some(ledger) = self.accounts.get_mut(account) else { return HomeTake::NoAuthority };
        let demand = AllotmentDemand { account: account.clone(), waiting: 1, ..Default::default() };
        let capacity = self.policy.capacity(ledger.limit);
        let grant = ledger.grant(now, &own, OWN_SESSION, &demand, capacity, max_share);
        if let Some(share) = ledger.shares.get_mut(&own) {
            share.held = share.told;
        }
        match grant {
            AllotmentGrant { granted: 1.., reserve_milli, .. } => HomeTake::Taken { reserve_milli },
            AllotmentGrant { retry_after_ms: 0, .. } => HomeTake::Unsettled,
            AllotmentGrant { retry_after_ms, .. } => {
                HomeTake::Refused { retry_after: Micros::from_millis(retry_after_ms) }
            }
        }
    }

    /// Notes a reserve that another home node has left to this node.
    pub fn carry_own(&mut self, now: Micros, account: &Name, carried_milli: u64) {
        self.settle_account(now, account);
        let own = self.own.clone();
        if let Some(ledger) = self.accounts.get_mut(account) {
            carry(ledger, &own, carried_milli);
        }
    }

    /// Answers a request. `session` identifies the connection, on which a node sends its next request
    /// only after the answer to the last one.
    pub fn answer(
        &mut self,
        now: Micros,
        node: &Name,
        session: u64,
        request: &AllotmentRequest,
    ) -> Vec<AllotmentGrant> {
        self.record_request(now, node, session, request);
        let shared = self.shared.entry(node.clone()).or_default();
        for demand in &request.demands {
            if let Some(ledger) = self.accounts.get_mut(&demand.account) {
                carry(ledger, node, demand.carried_milli);
                shared.insert(demand.account.clone());
            }
        }
        if !self.has_authority(now) {
            return Vec::new();
        }
        let mut grants = Vec::new();
        let max_share = self.max_share();
        for demand in &request.demands {
            self.settle_account(now, &demand.account);
            let Some(ledger) = self.accounts.get_mut(&demand.account) else { continue };
            let capacity = self.policy.capacity(ledger.limit);
            grants.push(ledger.grant(now, node, session, demand, capacity, max_share));
        }
        grants
    }

    fn record_request(
        &mut self,
        now: Micros,
        node: &Name,
        session: u64,
        request: &AllotmentRequest,
    ) {
        let (view, departed) = (request.view, request.departed);
        let departed_share = f64::from(departed.permille) / 1e3;
        let former = self.nodes.get(node).copied();
        // What new accounts leave out of the refill for unknown reserves may change.
        let is_news = former
            .is_none_or(|contact| contact.view != view || contact.departed_share != departed_share);
        let shared: Vec<Name> = self.shared.get(node).into_iter().flatten().cloned().collect();
        if is_news {
            self.settle_all(now);
        } else {
            shared.iter().for_each(|account| self.settle_account(now, account));
        }
        let continues = former.is_some_and(|contact| contact.session == session);
        let quiet_from = match former {
            // The node has received the answers up to its last request.
            Some(contact) if continues => contact.last_request + RESERVE_DELAY,
            Some(contact) => contact.quiet_from,
            None => now,
        };
        for account in &shared {
            let ledger = self.accounts.get_mut(account);
            let Some(share) = ledger.and_then(|ledger| ledger.shares.get_mut(node)) else {
                continue;
            };
            if continues {
                share.held = share.told;
            } else {
                // A new process does not know what the former one used.
                share.withheld = 0.0;
            }
        }
        if view == self.view && former.is_none_or(|contact| contact.view != view) {
            self.view_settled = now;
        }
        let contact = NodeContact {
            session,
            last_request: now,
            quiet_from,
            view,
            departed_until: now + Micros::from_millis(departed.for_ms).min(UNKNOWN_TTL),
            departed_share,
        };
        self.nodes.insert(node.clone(), contact);
        if is_news {
            // An account may not be new any more.
            self.settle_all(now);
        }
    }

    /// Returns the part of a limit that nodes may hold as reserves which they have not told this
    /// node: those that have not asked under this view, and those that left.
    fn unknown_share(&self, now: Micros, home_since: Micros) -> f64 {
        if now >= home_since.max(self.view_settled) + UNKNOWN_TTL {
            return 0.0;
        }
        let has_told =
            |node: &Name| self.nodes.get(node).is_some_and(|contact| contact.view == self.view);
        let untold = self.members.iter().filter(|node| !has_told(node)).count();
        let departed = self.departed.values().filter(|departed| departed.is_relevant(now));
        let own: f64 = departed.map(|departed| departed.share).sum();
        // The members also know of nodes that left before this process started.
        let told = self.members.iter().filter_map(|node| self.nodes.get(node));
        let told = told.filter(|contact| contact.view == self.view && now < contact.departed_until);
        let departed = told.map(|contact| contact.departed_share).fold(own, f64::max);
        (self.max_share() * untold as f64 + departed).min(RESERVE_SHARE)
    }

    fn settle_all(&mut self, now: Micros) {
        let names: Vec<Name> = self.accounts.keys().cloned().collect();
        for name in names {
            self.settle_account(now, &name);
        }
    }

    fn settle_account(&mut self, now: Micros, account: &Name) {
        let Some(ledger) = self.accounts.get(account) else { return };
        let unknown_share =
            if ledger.is_new() { self.unknown_share(now, ledger.home_since) } else { 0.0 };
        let Some(ledger) = self.accounts.get_mut(account) else { return };
        ledger.settle(now, &self.nodes, self.policy);
        ledger.unknown_share = unknown_share;
    }
}

/// Adds a reserve that a node has brought along; a repeated one counts once.
fn carry(ledger: &mut AccountLedger, node: &Name, carried_milli: u64) {
    if carried_milli == 0 {
        return;
    }
    let carried = carried_milli as f64 / 1e3;
    let share = ledger.shares.entry(node.clone()).or_default();
    share.held = share.held.max(carried);
    // The node has used about this rate; without it, its next reserve would begin at zero.
    share.rate = share.rate.max(carried);
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::QuotaBound;

    /// Guards against a former home node that is forgotten too early: it left reserves until 2.5 s
    /// after its departure, and they are valid for 10 s.
    #[test]
    fn a_changed_view_keeps_departures_while_reserves_may_be_in_use() {
        let update = |ledger: &mut AllotmentLedger, seconds, view, names: &[&str]| {
            let members = names.iter().map(|name| Name::from(*name));
            let leaving = BTreeSet::new();
            ledger.update(Micros::from_secs(seconds), view, members, &leaving, Vec::new());
        };
        let mut ledger = AllotmentLedger::new("n1".into(), AllotmentPolicy::new(None));
        update(&mut ledger, 0, 1, &["n2", "n3"]);
        update(&mut ledger, 1, 2, &["n2"]);
        update(&mut ledger, 12, 3, &["n2", "n4"]);
        assert_eq!(ledger.departed_reserves().0, Micros::from_secs(1) + UNKNOWN_TTL);
        update(&mut ledger, 14, 4, &["n2"]);
        assert_eq!(ledger.departed_reserves().0, Micros::from_secs(14) + UNKNOWN_TTL);
        update(&mut ledger, 15, 5, &["n2", "n4"]);
        assert_eq!(ledger.departed_reserves().0, Micros::ZERO);
    }

    /// Guards against a first operation that is allowed too often where the window is longer than in
    /// the known deployments: an account comes back to its home node after 15 s.
    #[test]
    fn a_first_operation_is_allowed_once_in_two_windows() {
        let taken = [5, 60].map(|window| {
            let window = Micros::from_secs(window);
            let bound = QuotaBound { window, overage_permille: 100, slack: 20 };
            let mut ledger = AllotmentLedger::new("n1".into(), AllotmentPolicy::new(Some(bound)));
            let limit = RateLimit { rate_per_s: 1e-3, burst: 1.0 };
            let accounts = vec![("kiosks".into(), limit)];
            [0, 5, 15].map(|seconds| {
                let now = Micros::from_secs(seconds);
                ledger.update(now, 1, [], &BTreeSet::new(), Vec::new());
                ledger.update(now, 1, [], &BTreeSet::new(), accounts.clone());
                ledger.record_store_contact(now);
                matches!(ledger.take(now, &"kiosks".into()), HomeTake::Taken { .. })
            })
        });
        assert_eq!(taken, [[true, false, true], [true, false, false]]);
    }

    /// A node is silent for 600 ms and asks again, on the same connection or on another. Guards against
    /// a process that returns the reserve which its predecessor has used.
    #[test]
    fn only_the_same_connection_returns_a_withheld_reserve() {
        let granted = [1, 2].map(|last_session| {
            let mut ledger = AllotmentLedger::new("n1".into(), AllotmentPolicy::new(None));
            let limit = RateLimit { rate_per_s: 100.0, burst: 500.0 };
            let accounts = vec![("kiosks".into(), limit)];
            ledger.update(Micros::ZERO, 1, ["n2".into()], &BTreeSet::new(), accounts);
            let mut ask = |at_ms, session, waiting| {
                let demand =
                    AllotmentDemand { account: "kiosks".into(), waiting, ..Default::default() };
                let departed = Default::default();
                let request = AllotmentRequest { view: 1, departed, demands: vec![demand] };
                let now = Micros::from_millis(at_ms);
                ledger.record_store_contact(now);
                ledger.answer(now, &"n2".into(), session, &request)[0].granted
            };
            for turn in 0..100 {
                ask(turn * 100, 1, 1_000);
            }
            ask(10_500, last_session, 1_000)
        });
        // 45/s are withheld from 250 ms after the last but one request: 20 of 60.
        assert!((59..=60).contains(&granted[0]), "{granted:?}");
        assert!((39..=40).contains(&granted[1]), "{granted:?}");
    }
}
