//! Both parts of one node, and the choice of home nodes.

use std::collections::{BTreeMap, BTreeSet};

use account::RateLimit;
use member::{owner_score, rank_owners};
use model::{FastMap, Micros, Name};

use crate::{
    AllotmentCache, AllotmentGrant, AllotmentLedger, AllotmentPolicy, AllotmentRequest, HomeTake,
    TokenTake,
};

/// Key under which the processes of a view are hashed.
const VIEW_KEY: &str = "allotments";

/// The ledger and the cache of one node.
///
/// ```
/// use std::collections::{BTreeMap, BTreeSet};
///
/// use account::RateLimit;
/// use allot::{AllotmentNode, AllotmentPolicy, TokenTake};
/// use model::Micros;
///
/// let mut node = AllotmentNode::new("n1".into(), AllotmentPolicy::new(None));
/// let limit = RateLimit { rate_per_s: 1.0, burst: 1.0 };
/// let nodes = BTreeMap::from([("n1".into(), 1)]);
/// node.update(Micros::ZERO, &nodes, &BTreeSet::new(), vec![("kiosks".into(), limit)]);
/// let now = Micros::from_secs(1);
/// node.record_store_contact(now);
/// assert_eq!(node.take(now, &"kiosks".into()), TokenTake::Taken);
/// let refused = TokenTake::Refused { retry_after: Micros::from_secs(1) };
/// assert_eq!(node.take(now, &"kiosks".into()), refused);
/// ```
#[derive(Debug)]
pub struct AllotmentNode {
    own: Name,
    ledger: AllotmentLedger,
    cache: AllotmentCache,
    /// The other nodes among which homes are chosen.
    others: Vec<Name>,
    /// How many other nodes were asked in place of an account's home node without authority.
    alternatives: FastMap<Name, usize>,
}

impl AllotmentNode {
    /// Creates the parts of a node without accounts.
    pub fn new(own: Name, policy: AllotmentPolicy) -> Self {
        AllotmentNode {
            ledger: AllotmentLedger::new(own.clone(), policy),
            cache: AllotmentCache::new(policy),
            own,
            others: Vec::new(),
            alternatives: FastMap::default(),
        }
    }

    /// Sets the nodes among which homes are chosen, with the incarnations of their processes, and
    /// the accounts that have a limit. `leaving` are nodes that shut down. Returns how many accounts
    /// have another home than before.
    pub fn update(
        &mut self,
        now: Micros,
        nodes: &BTreeMap<Name, u64>,
        leaving: &BTreeSet<Name>,
        limits: Vec<(Name, RateLimit)>,
    ) -> u64 {
        let view = view_of(nodes);
        self.alternatives.clear();
        self.others = nodes.keys().filter(|node| **node != self.own).cloned().collect();
        let homes = limits.into_iter().filter_map(|(account, limit)| {
            let home = nodes.keys().max_by_key(|node| owner_score(&account, node))?;
            Some((account, limit, home.clone()))
        });
        let homes: Vec<(Name, RateLimit, Name)> = homes.collect();
        let own = homes.iter().filter(|(_, _, home)| *home == self.own);
        let own: Vec<_> = own.map(|(account, limit, _)| (account.clone(), *limit)).collect();
        let changes = self.cache.update(view, nodes.contains_key(&self.own), homes);
        self.cache.retain_homes(|home| nodes.contains_key(home));
        self.ledger.update(now, view, self.others.iter().cloned(), leaving, own.clone());
        let (until, share) = self.ledger.departed_reserves();
        self.cache.set_departed_reserves(until, share);
        self.cache.set_view(self.ledger.view_since(), self.ledger.max_share());
        for (account, _) in own {
            let carried = self.cache.carried_milli(now, &account);
            self.ledger.carry_own(now, &account, carried);
        }
        changes
    }

    /// Returns the nodes to which requests may be due.
    pub fn others(&self) -> &[Name] {
        &self.others
    }

    /// Returns the home node of an account.
    pub fn home_of(&self, account: &Name) -> Option<&Name> {
        self.cache.home_of(account)
    }

    /// See [`AllotmentLedger::record_store_contact`].
    pub fn record_store_contact(&mut self, now: Micros) {
        self.ledger.record_store_contact(now);
    }

    /// Takes a token for an operation that is sent to a database now.
    pub fn take(&mut self, now: Micros, account: &Name) -> TokenTake {
        if !self.ledger.is_home_of(account) {
            return self.cache.take(now, account);
        }
        match self.ledger.take(now, account) {
            HomeTake::Taken { reserve_milli } => {
                self.cache.note_own_reserve(now, &self.own, account, reserve_milli);
                TokenTake::Taken
            }
            HomeTake::Refused { retry_after } => {
                self.cache.note_refusal(now, account, retry_after);
                TokenTake::Refused { retry_after }
            }
            HomeTake::NoAuthority => {
                if self.cache.home_of(account) == Some(&self.own) {
                    self.ask_alternative(account);
                }
                self.cache.take(now, account)
            }
            HomeTake::Unsettled => match self.cache.take_reserve(now, account) {
                true => TokenTake::TakenFromReserve,
                false => TokenTake::Wait,
            },
        }
    }

    /// Returns how many operations can be sent now. A home node charges its own when they are sent.
    pub fn available(&mut self, now: Micros, account: &Name) -> u32 {
        if self.ledger.is_home_of(account) && self.ledger.is_available(now, account) {
            return u32::MAX;
        }
        self.cache.available(now, account)
    }

    /// See [`AllotmentCache::held`]; a home node holds no tokens of its own accounts.
    pub fn held(&mut self, now: Micros, account: &Name) -> u32 {
        self.cache.held(now, account)
    }

    /// Returns for how long an account is known to be above its limit.
    pub fn refused_for(&self, now: Micros, account: &Name) -> Option<Micros> {
        self.cache.refused_for(now, account)
    }

    /// See [`AllotmentCache::is_answered`].
    pub fn is_answered(&self, now: Micros, account: &Name) -> bool {
        !self.ledger.is_home_of(account) && self.cache.is_answered(now, account)
    }

    /// Answers another node's request, see [`AllotmentLedger::answer`].
    pub fn answer(
        &mut self,
        now: Micros,
        node: &Name,
        session: u64,
        request: &AllotmentRequest,
    ) -> Vec<AllotmentGrant> {
        self.ledger.answer(now, node, session, request)
    }

    /// See [`AllotmentCache::may_request`].
    pub fn may_request(&self, now: Micros, home: &Name) -> bool {
        self.cache.may_request(now, home)
    }

    /// See [`AllotmentCache::next_request`].
    pub fn next_request(
        &mut self,
        now: Micros,
        home: &Name,
        waiting: &FastMap<Name, u32>,
        lacks_store: bool,
    ) -> Option<AllotmentRequest> {
        self.cache.next_request(now, home, waiting, lacks_store)
    }

    /// See [`AllotmentCache::request_sent`].
    pub fn request_sent(&mut self, now: Micros, home: &Name, request: &AllotmentRequest) {
        self.cache.request_sent(now, home, request);
    }

    /// See [`AllotmentCache::answered`].
    pub fn answered(&mut self, now: Micros, home: &Name, sent: Micros, grants: &[AllotmentGrant]) {
        self.cache.answered(now, home, sent, grants);
        for account in self.cache.denied_accounts() {
            self.ask_alternative(&account);
        }
    }

    /// Chooses the node to ask in place of one without authority. Nodes that know more of the
    /// registrations have chosen one of the next in the order of hashes. The home node by this
    /// node's view is asked again between the others, because it may regain its authority.
    fn ask_alternative(&mut self, account: &Name) {
        let nodes = self.others.iter().chain([&self.own]).cloned();
        let ranked = rank_owners(account, nodes);
        let Some(first) = ranked.first() else { return };
        let is_first = self.cache.home_of(account) == Some(first);
        if !is_first && *first != self.own {
            return self.cache.set_home(account, first.clone());
        }
        let others: Vec<&Name> = ranked[1..].iter().filter(|node| **node != self.own).collect();
        let asked = self.alternatives.entry(account.clone()).or_default();
        if let Some(next) = others.get(*asked % others.len().max(1)) {
            self.cache.set_home(account, (*next).clone());
        }
        *asked += 1;
    }

    /// See [`AllotmentCache::request_lost`].
    pub fn request_lost(&mut self, home: &Name) {
        self.cache.request_lost(home);
    }
}

/// Returns a number that nodes share if they know the same processes.
fn view_of(nodes: &BTreeMap<Name, u64>) -> u64 {
    let scores = nodes
        .iter()
        .map(|(node, incarnation)| owner_score(VIEW_KEY, &format!("{node} {incarnation}")));
    scores.fold(0, u64::wrapping_add)
}
