//! The part of a node that sends operations to databases: tokens, reserves and requests.

use std::collections::VecDeque;

use account::RateLimit;
use model::{FastMap, FastSet, Micros, Name};

use crate::{
    AHEAD_INTERVAL, AllotmentDemand, AllotmentGrant, AllotmentPolicy, AllotmentRequest,
    DepartedReserves, INTRODUCTION_INTERVAL, KEEP_ALIVE_INTERVAL, NO_STORE_INTERVAL, RECENT_USE,
    REQUEST_INTERVAL, RESERVE_DELAY, RESERVE_TTL, seconds,
};

/// Outcome of an operation that needs a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum TokenTake {
    Taken,
    /// As `Taken`, without the home node.
    TakenFromReserve,
    /// The account is above its limit.
    Refused {
        retry_after: Micros,
    },
    /// The home node has to be asked.
    Wait,
}

/// Tokens that expire at the same time.
#[derive(Clone, Copy, Debug)]
struct TokenLot {
    expires: Micros,
    count: u32,
    is_returnable: bool,
}

/// A rate that the node may use without its home node.
#[derive(Clone, Debug, Default)]
struct ReserveRate {
    milli: u64,
    /// Limit of the account when the reserve was told; a lowered limit lowers the reserve.
    limit_rate: f64,
    told_by: Name,
    /// Sending of the request in whose answer it was told.
    told_at: Micros,
    level: f64,
    updated: Micros,
    /// Operations since the last request to the home node.
    used: u32,
}

impl ReserveRate {
    fn is_valid(&self, now: Micros) -> bool {
        self.milli > 0 && now < self.told_at + RESERVE_TTL
    }

    fn refill(&mut self, now: Micros, usable_from: Micros, limit: RateLimit) {
        let scale = (limit.rate_per_s / self.limit_rate.max(f64::MIN_POSITIVE)).min(1.0);
        let rate = self.milli as f64 / 1e3 * scale;
        let since = self.updated.max(usable_from);
        let level = self.level + rate * seconds(now.saturating_sub(since));
        self.level = level.min((rate * seconds(RESERVE_DELAY)).max(1.0));
        self.updated = now;
    }
}

#[derive(Debug)]
struct AccountCache {
    home: Name,
    limit: RateLimit,
    lots: VecDeque<TokenLot>,
    /// Tokens of the home node that expired unused and have not been returned.
    unused: u32,
    /// Recent operations.
    uses: VecDeque<Micros>,
    refused_until: Option<Micros>,
    reserve: ReserveRate,
    /// The home node answers, but not for this account.
    is_denied: bool,
    /// The home node is new and could not tell when there will be tokens.
    is_unsettled: bool,
}

impl AccountCache {
    fn new(home: Name, limit: RateLimit) -> Self {
        AccountCache {
            home,
            limit,
            lots: VecDeque::new(),
            unused: 0,
            uses: VecDeque::new(),
            refused_until: None,
            reserve: ReserveRate::default(),
            is_denied: false,
            is_unsettled: false,
        }
    }

    fn expire(&mut self, now: Micros) {
        let expired = self.lots.iter().filter(|lot| lot.is_returnable && now >= lot.expires);
        self.unused = expired.map(|lot| lot.count).fold(self.unused, u32::saturating_add);
        self.lots.retain(|lot| lot.count > 0 && now < lot.expires);
        while self.uses.front().is_some_and(|at| now >= *at + RECENT_USE) {
            self.uses.pop_front();
        }
    }

    fn held(&self) -> u32 {
        self.lots.iter().map(|lot| lot.count).sum()
    }

    /// Returns how many tokens to request in advance.
    fn ahead(&self) -> u32 {
        u32::try_from(self.uses.len()).unwrap_or(u32::MAX).saturating_sub(self.held())
    }

    fn carried_milli(&self, now: Micros) -> u64 {
        let carries = self.reserve.is_valid(now) && self.reserve.told_by != self.home;
        if carries { self.reserve.milli } else { 0 }
    }
}

/// Requests to one home node.
#[derive(Debug, Default)]
struct HomeLink {
    /// The request in flight.
    sent: Option<(Micros, AllotmentRequest)>,
    last_sent: Option<Micros>,
    /// Sending of the last request that the home node answered for an account.
    answered: Option<Micros>,
    /// Arrival of that answer.
    heard: Option<Micros>,
    /// The view that the home node is known to know.
    introduced: Option<u64>,
}

impl HomeLink {
    fn is_due(&self, now: Micros, interval: Micros) -> bool {
        self.sent.is_none() && self.last_sent.is_none_or(|at| now >= at + interval)
    }
}

/// Tokens of the accounts at a node that sends operations to databases.
///
/// ```
/// use account::RateLimit;
/// use allot::{AllotmentCache, AllotmentGrant, AllotmentPolicy, TokenTake};
/// use model::{FastMap, Micros};
///
/// let mut cache = AllotmentCache::new(AllotmentPolicy::new(None));
/// let limit = RateLimit { rate_per_s: 10.0, burst: 2.0 };
/// let (account, home, now) = ("kiosks".into(), "n1".into(), Micros::from_millis(5));
/// cache.update(1, true, vec![("kiosks".into(), limit, "n1".into())]);
/// assert_eq!(cache.take(now, &account), TokenTake::Wait);
/// let waiting = FastMap::from_iter([("kiosks".into(), 1)]);
/// let request = cache.next_request(now, &home, &waiting, false).expect("an operation waits");
/// cache.request_sent(now, &home, &request);
/// assert_eq!(request.demands[0].waiting, 1);
/// let grant = AllotmentGrant { account: "kiosks".into(), granted: 1, retry_after_ms: 0, reserve_milli: 0 };
/// cache.answered(now, &home, now, &[grant]);
/// assert_eq!(cache.take(now, &account), TokenTake::Taken);
/// ```
#[derive(Debug)]
pub struct AllotmentCache {
    policy: AllotmentPolicy,
    view: u64,
    /// Homes are chosen among nodes that include this one, so they have to know its view.
    is_member: bool,
    /// Until then, nodes that left may use reserves, which are this part of a limit.
    departed_until: Micros,
    departed_share: f64,
    /// Since when the view has been known, and which part of a limit each of its nodes may use while a
    /// home node has not heard from it.
    view_since: Micros,
    unheard_share: f64,
    accounts: FastMap<Name, AccountCache>,
    /// Accounts by home node, so that a request to one looks at no others.
    accounts_by_home: FastMap<Name, FastSet<Name>>,
    links: FastMap<Name, HomeLink>,
}

impl AllotmentCache {
    /// Creates a cache without accounts.
    pub fn new(policy: AllotmentPolicy) -> Self {
        AllotmentCache {
            policy,
            view: 0,
            is_member: false,
            departed_until: Micros::ZERO,
            departed_share: 0.0,
            view_since: Micros::ZERO,
            unheard_share: 0.0,
            accounts: FastMap::default(),
            accounts_by_home: FastMap::default(),
            links: FastMap::default(),
        }
    }

    /// Sets the accounts with a limit and their home nodes. Returns how many homes have changed.
    /// `is_member` tells that homes are chosen among nodes that include this one.
    pub fn update(
        &mut self,
        view: u64,
        is_member: bool,
        accounts: Vec<(Name, RateLimit, Name)>,
    ) -> u64 {
        (self.view, self.is_member) = (view, is_member);
        let mut former = std::mem::take(&mut self.accounts);
        self.accounts_by_home.clear();
        let mut changes = 0;
        for (name, limit, home) in accounts {
            let mut account =
                former.remove(&name).unwrap_or_else(|| AccountCache::new(home.clone(), limit));
            if account.home != home {
                changes += 1;
                account.set_home(home);
                account.refused_until = None;
            }
            if account.limit.rate_per_s < limit.rate_per_s {
                account.refused_until = None;
            }
            account.limit = limit;
            let accounts = self.accounts_by_home.entry(account.home.clone()).or_default();
            accounts.insert(name.clone());
            self.accounts.insert(name, account);
        }
        changes
    }

    /// Sets since when the view has been known, and which part of a limit a home node that has not
    /// heard from this node leaves out for it.
    pub(crate) fn set_view(&mut self, since: Micros, unheard_share: f64) {
        self.view_since = since;
        self.unheard_share = unheard_share;
    }

    /// Sets the time until which nodes that left may use reserves, and the part of a limit that
    /// these are.
    pub(crate) fn set_departed_reserves(&mut self, until: Micros, share: f64) {
        self.departed_until = until;
        self.departed_share = share;
    }

    /// Returns the home node of an account.
    pub fn home_of(&self, account: &Name) -> Option<&Name> {
        self.accounts.get(account).map(|account| &account.home)
    }

    /// Takes a token for an operation.
    pub fn take(&mut self, now: Micros, account: &Name) -> TokenTake {
        let Some(cache) = self.accounts.get_mut(account) else { return TokenTake::Wait };
        cache.expire(now);
        if let Some(lot) = cache.lots.front_mut() {
            lot.count -= 1;
            cache.uses.push_back(now);
            return TokenTake::Taken;
        }
        if let Some(until) = cache.refused_until
            && now < until
        {
            return TokenTake::Refused { retry_after: until.saturating_sub(now) };
        }
        cache.refused_until = None;
        if self.take_reserve(now, account) {
            return TokenTake::TakenFromReserve;
        }
        TokenTake::Wait
    }

    /// Returns how many tokens are held.
    pub fn held(&mut self, now: Micros, account: &Name) -> u32 {
        let Some(cache) = self.accounts.get_mut(account) else { return 0 };
        cache.expire(now);
        cache.held()
    }

    /// Returns for how long an account is known to be above its limit.
    pub fn refused_for(&self, now: Micros, account: &Name) -> Option<Micros> {
        let cache = self.accounts.get(account)?;
        if cache.lots.iter().any(|lot| lot.count > 0 && now < lot.expires) {
            return None;
        }
        let until = cache.refused_until.filter(|until| now < *until)?;
        Some(until.saturating_sub(now))
    }

    /// Takes an operation from the reserve if the home node has not answered for long enough.
    pub fn take_reserve(&mut self, now: Micros, account: &Name) -> bool {
        let Some(reserve) = self.usable_reserve(now, account) else { return false };
        let is_available = reserve.level + 1e-9 >= 1.0;
        if is_available {
            reserve.level -= 1.0;
            reserve.used += 1;
        }
        is_available
    }

    /// Returns how many operations can be sent now, of tokens or else of the reserve.
    pub fn available(&mut self, now: Micros, account: &Name) -> u32 {
        match self.held(now, account) {
            0 => {
                self.usable_reserve(now, account).map_or(0, |reserve| (reserve.level + 1e-9) as u32)
            }
            held => held,
        }
    }

    fn usable_reserve(&mut self, now: Micros, account: &Name) -> Option<&mut ReserveRate> {
        // Home nodes take a member that shuts down for one that uses no reserves.
        if !self.is_member {
            return None;
        }
        let cache = self.accounts.get_mut(account)?;
        let link = self.links.get(&cache.home);
        let is_heard = link.is_some_and(|link| link.introduced == Some(self.view));
        if !is_heard && !cache.reserve.is_valid(now) {
            let milli = (self.unheard_share * cache.limit.rate_per_s * 1e3) as u64;
            let home = cache.home.clone();
            cache.note_reserve(self.view_since, home, self.view_since, milli);
        }
        if !cache.reserve.is_valid(now) {
            return None;
        }
        let told_at = cache.reserve.told_at;
        let answered = match self.links.get(&cache.home) {
            Some(link) if cache.reserve.told_by == cache.home && !cache.is_denied => link.answered,
            _ => None,
        };
        let usable_from = answered.unwrap_or(told_at).max(told_at) + RESERVE_DELAY;
        if now < usable_from {
            return None;
        }
        cache.reserve.refill(now, usable_from, cache.limit);
        Some(&mut cache.reserve)
    }

    /// Notes the reserve that this node has as the home node of an account.
    pub fn note_own_reserve(&mut self, now: Micros, own: &Name, account: &Name, milli: u64) {
        if let Some(cache) = self.accounts.get_mut(account) {
            cache.note_reserve(now, own.clone(), now, milli);
        }
    }

    /// Asks another node for an account from now on.
    pub(crate) fn set_home(&mut self, account: &Name, home: Name) {
        let Some(cache) = self.accounts.get_mut(account) else { return };
        if let Some(accounts) = self.accounts_by_home.get_mut(&cache.home) {
            accounts.remove(account);
        }
        self.accounts_by_home.entry(home.clone()).or_default().insert(account.clone());
        cache.set_home(home);
    }

    /// Returns the accounts for which their home nodes have granted nothing because they have no
    /// authority over them.
    pub(crate) fn denied_accounts(&self) -> Vec<Name> {
        let denied = self.accounts.iter().filter(|(_, cache)| cache.is_denied);
        denied.map(|(account, _)| account.clone()).collect()
    }

    /// Returns true if the home node has recently answered for an account, so that operations will
    /// get tokens or be refused.
    pub fn is_answered(&self, now: Micros, account: &Name) -> bool {
        let Some(cache) = self.accounts.get(account) else { return false };
        let heard = self.links.get(&cache.home).and_then(|link| link.heard);
        let is_recent = heard.is_some_and(|at| now < at + RESERVE_DELAY);
        is_recent && !cache.is_denied && !cache.is_unsettled
    }

    /// Returns the reserve that another home node has left for an account.
    pub fn carried_milli(&self, now: Micros, account: &Name) -> u64 {
        self.accounts.get(account).map_or(0, |cache| cache.carried_milli(now))
    }

    /// Notes that this node has refused an account of which it is the home.
    pub fn note_refusal(&mut self, now: Micros, account: &Name, retry_after: Micros) {
        if let Some(cache) = self.accounts.get_mut(account) {
            cache.refused_until = Some(now + retry_after);
        }
    }

    /// Records that a request is sent to a home node now.
    pub fn request_sent(&mut self, now: Micros, home: &Name, request: &AllotmentRequest) {
        let link = self.links.entry(home.clone()).or_default();
        link.last_sent = Some(now);
        link.sent = Some((now, request.clone()));
        for demand in &request.demands {
            if let Some(cache) = self.accounts.get_mut(&demand.account) {
                cache.unused = 0;
                // The home node takes back what was not used before.
                (cache.reserve.used, cache.reserve.level) = (0, 0.0);
            }
        }
    }

    /// Returns true if a request to a home node may be sent now.
    pub fn may_request(&self, now: Micros, home: &Name) -> bool {
        self.links.get(home).is_none_or(|link| link.is_due(now, REQUEST_INTERVAL))
    }

    /// Returns the request to send to a home node now, if one is due. `waiting` counts the
    /// operations that wait for tokens; `lacks_store` tells that this node has no contact with the
    /// store.
    pub fn next_request(
        &mut self,
        now: Micros,
        home: &Name,
        waiting: &FastMap<Name, u32>,
        lacks_store: bool,
    ) -> Option<AllotmentRequest> {
        let link = self.links.entry(home.clone()).or_default();
        if !link.is_due(now, REQUEST_INTERVAL) {
            return None;
        }
        let introduces = link.introduced != Some(self.view);
        let keeps_alive = link.is_due(now, KEEP_ALIVE_INTERVAL);
        let asks_ahead = link.is_due(now, AHEAD_INTERVAL);
        let mut is_needed = self.is_member
            && ((lacks_store && link.is_due(now, NO_STORE_INTERVAL))
                || (introduces && link.is_due(now, INTRODUCTION_INTERVAL)));
        let mut demands = Vec::new();
        for name in self.accounts_by_home.get(home).into_iter().flatten() {
            let Some(cache) = self.accounts.get_mut(name) else { continue };
            cache.expire(now);
            let carried_milli = cache.carried_milli(now);
            let count = waiting.get(name).copied().unwrap_or_default();
            let demand = AllotmentDemand {
                account: name.clone(),
                waiting: count.saturating_sub(cache.held()),
                ahead: cache.ahead(),
                unused: cache.unused,
                from_reserve: cache.reserve.used,
                carried_milli,
            };
            let has_reserve = cache.reserve.is_valid(now);
            is_needed |= demand.waiting > 0
                || (asks_ahead && demand.ahead > 0)
                || (keeps_alive && (has_reserve || demand.unused > 0));
            if demand.waiting > 0 || demand.ahead > 0 || demand.unused > 0 || has_reserve {
                demands.push(demand);
            }
        }
        let for_ms = self.departed_until.saturating_sub(now).as_millis();
        let permille = if for_ms > 0 { (self.departed_share * 1e3).ceil() as u32 } else { 0 };
        let departed = DepartedReserves { for_ms, permille };
        is_needed.then_some(AllotmentRequest { view: self.view, departed, demands })
    }

    /// Handles the answer to a request that was sent at `sent`.
    pub fn answered(&mut self, now: Micros, home: &Name, sent: Micros, grants: &[AllotmentGrant]) {
        let link = self.links.entry(home.clone()).or_default();
        let request = link.sent.take_if(|(at, _)| *at == sent).map(|(_, request)| request);
        if let Some(request) = &request {
            link.introduced = Some(request.view);
        }
        if !grants.is_empty() {
            link.answered = link.answered.max(Some(sent));
            link.heard = Some(now);
        }
        for demand in request.iter().flat_map(|request| &request.demands) {
            if let Some(cache) = self.accounts.get_mut(&demand.account) {
                let grant = grants.iter().find(|grant| grant.account == demand.account);
                cache.is_denied = grant.is_none();
                cache.is_unsettled = grant.is_some_and(|grant| {
                    grant.granted < demand.waiting && grant.retry_after_ms == 0
                });
            }
        }
        for grant in grants {
            let Some(cache) = self.accounts.get_mut(&grant.account) else { continue };
            if cache.home != *home {
                continue;
            }
            cache.note_reserve(now, home.clone(), sent, grant.reserve_milli);
            let expires = sent + self.policy.token_ttl;
            if now < expires {
                cache.lots.push_back(TokenLot {
                    expires,
                    count: grant.granted,
                    is_returnable: true,
                });
            } else {
                cache.unused = cache.unused.saturating_add(grant.granted);
            }
            cache.refused_until = match grant.retry_after_ms {
                0 => None,
                wait => Some(now + Micros::from_millis(wait)),
            };
        }
    }

    /// Handles that a request to a home node will not be answered.
    pub fn request_lost(&mut self, home: &Name) {
        let Some(link) = self.links.get_mut(home) else { return };
        let Some((_, request)) = link.sent.take() else { return };
        for demand in &request.demands {
            if let Some(cache) = self.accounts.get_mut(&demand.account) {
                cache.reserve.used += demand.from_reserve;
            }
        }
        // The home node takes back tokens only on the connection on which it granted them.
        for name in self.accounts_by_home.get(home).into_iter().flatten() {
            let Some(cache) = self.accounts.get_mut(name) else { continue };
            cache.lots.iter_mut().for_each(|lot| lot.is_returnable = false);
            cache.unused = 0;
        }
    }

    /// Removes what is known about nodes that are no homes any more.
    pub fn retain_homes(&mut self, is_home: impl Fn(&Name) -> bool) {
        self.links.retain(|home, _| is_home(home));
    }
}

impl AccountCache {
    fn set_home(&mut self, home: Name) {
        self.home = home;
        self.is_denied = false;
        // Tokens go back only to the home node that granted them.
        self.lots.iter_mut().for_each(|lot| lot.is_returnable = false);
        (self.unused, self.reserve.used) = (0, 0);
    }

    fn note_reserve(&mut self, now: Micros, told_by: Name, told_at: Micros, milli: u64) {
        if told_at < self.reserve.told_at {
            return;
        }
        let level = if self.reserve.told_by == told_by { self.reserve.level } else { 0.0 };
        let (limit_rate, used) = (self.limit.rate_per_s, self.reserve.used);
        self.reserve =
            ReserveRate { milli, limit_rate, told_by, told_at, level, updated: now, used };
    }
}
