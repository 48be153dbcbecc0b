//! Rate limits of accounts that several nodes enforce together, in virtual time.
//!
//! Every account has one home node. Its [`AllotmentLedger`] keeps the token bucket of the account and
//! grants tokens to the nodes that send operations to databases. The [`AllotmentCache`] of such a
//! node holds the tokens until they are used or expire, and asks for more.
//!
//! No token outlives [`AllotmentPolicy::token_ttl`], counted from the time at which the node sent its
//! request, so no two clocks are compared. [`AllotmentNode`] holds both parts. A home node that is
//! lost leaves its nodes a *reserve*, a rate that each of them may use on its own for
//! [`RESERVE_TTL`]. The reserves of an account never add up to more than its limit, and a home node
//! withholds the reserve of each node that may be using it. docs/design/rate-limits.md gives the
//! reasons.

mod cache;
mod ledger;
mod node;

use account::RateLimit;
use model::{Micros, Name};

pub use cache::{AllotmentCache, TokenTake};
pub use ledger::{AllotmentLedger, HomeTake};
pub use node::AllotmentNode;

/// Longest validity of a token: 5% of the usual window of 5 s, half of the usual overage.
const MAX_TOKEN_TTL: Micros = Micros::from_millis(250);

/// Shortest validity of a token: an answer of another data centre has to arrive within it.
const MIN_TOKEN_TTL: Micros = Micros::from_millis(20);

/// Minimum time between two requests to one home node, which bounds them at 20 a second for each home
/// node. With 20 ms, six owners sent 97 to 114 a second each and operations waited 4 ms on average;
/// with 50 ms they send 65 to 71 and wait 10 ms.
pub const REQUEST_INTERVAL: Micros = Micros::from_millis(50);

/// Minimum time between two requests for tokens that no operation waits for. They are valid for
/// [`MAX_TOKEN_TTL`].
const AHEAD_INTERVAL: Micros = Micros::from_millis(100);

/// Operations of this time are expected again, and their tokens are requested in advance.
const RECENT_USE: Micros = Micros::from_millis(150);

/// Interval of requests that keep a reserve, well below [`RESERVE_DELAY`].
const KEEP_ALIVE_INTERVAL: Micros = Micros::from_millis(100);

/// Interval of requests of a node that lacks contact with the store, so that its home nodes know how
/// many nodes they serve. It is well below [`AUTHORITY_TTL`].
const NO_STORE_INTERVAL: Micros = Micros::from_millis(500);

/// Interval of attempts to make a view known to a home node that has not answered.
const INTRODUCTION_INTERVAL: Micros = Micros::from_millis(100);

/// Time without an answer of the home node after which a node uses its reserve. Until then the home
/// node may grant the same rate to others: 5% of a window, as with the validity of tokens.
const RESERVE_DELAY: Micros = Micros::from_millis(250);

/// Time for which a reserve may be used after the last answer of the home node. A partition lasts
/// 6 s, and the registration of a lost home node expires within 3 s.
pub const RESERVE_TTL: Micros = Micros::from_secs(10);

/// Time in which unused tokens can be returned after their grant, and unused reserves after they were
/// withheld: the validity of tokens, and as much again for requests and delays.
const RETURN_TTL: Micros = Micros::from_millis(500);

/// Part of a limit that may be given out as reserves. The rest serves nodes without one when a home
/// node is new.
const RESERVE_SHARE: f64 = 0.9;

/// Time constant of the average rate of grants to a node.
const RATE_AVERAGE: Micros = Micros::from_millis(2_000);

/// Reserves below this rate, in thousandths of an operation a second, are not kept.
const MIN_RESERVE_MILLI: u64 = 50;

/// Time without store contact, or without requests of most nodes, after which a home node grants
/// nothing. It is below the 3 s after which another node may take its place.
const AUTHORITY_TTL: Micros = Micros::from_millis(2_500);

/// How much more than the limit of an account may reach the databases, as the platform states it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct QuotaBound {
    /// Length of the sliding window.
    pub window: Micros,
    /// Relative excess, in thousandths.
    pub overage_permille: u32,
    /// Absolute excess, in operations.
    pub slack: u32,
}

/// Properties of tokens that follow from the stated bound.
///
/// ```
/// use allot::{AllotmentPolicy, QuotaBound};
/// use model::Micros;
///
/// let bound = QuotaBound { window: Micros::from_secs(5), overage_permille: 100, slack: 20 };
/// let policy = AllotmentPolicy::new(Some(bound));
/// assert_eq!(policy.token_ttl(), Micros::from_millis(250));
/// ```
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct AllotmentPolicy {
    token_ttl: Micros,
    extra_burst: f64,
    first_level: f64,
    /// Minimum time between two buckets of an account at one node that do not begin empty: two
    /// windows.
    first_allowance_interval: Micros,
    /// Operations a second that are added to each limit.
    extra_rate: f64,
}

impl AllotmentPolicy {
    /// Derives the properties. Without a known bound, limits have no extra burst.
    pub fn new(bound: Option<QuotaBound>) -> Self {
        let Some(QuotaBound { window, overage_permille, slack }) = bound else {
            return AllotmentPolicy {
                token_ttl: MAX_TOKEN_TTL,
                extra_burst: 0.0,
                first_level: 0.0,
                first_allowance_interval: Micros::ZERO,
                extra_rate: 0.0,
            };
        };
        let half_overage = Micros(window.0.saturating_mul(u64::from(overage_permille)) / 2_000);
        AllotmentPolicy {
            token_ttl: half_overage.clamp(MIN_TOKEN_TTL, MAX_TOKEN_TTL),
            // These replace tokens that expire unused at other nodes. The other half of the slack is
            // for changes of the home node.
            extra_burst: f64::from(slack) / 4.0,
            // One operation at a slack of 20, so that 10 home nodes that start in one window stay
            // within what the extra burst and the extra rate leave of it.
            first_level: (f64::from(slack) / 20.0).min(1.0).floor(),
            first_allowance_interval: Micros(window.0.saturating_mul(2)),
            extra_rate: f64::from(slack) / 4.0 / seconds(window).max(1.0),
        }
    }

    /// Returns the validity of a token.
    pub fn token_ttl(&self) -> Micros {
        self.token_ttl
    }

    fn capacity(&self, limit: RateLimit) -> f64 {
        limit.burst + self.extra_burst
    }
}

/// Reserves of nodes that the requesting one saw leave. A home node that started later does not know
/// of them.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct DepartedReserves {
    /// How long they may still be used, in milliseconds.
    pub for_ms: u64,
    /// Largest part of a limit that they are together.
    pub permille: u32,
}

/// What a node needs for one account.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct AllotmentDemand {
    pub account: Name,
    /// Operations that wait for a token.
    pub waiting: u32,
    /// Operations that are expected soon.
    pub ahead: u32,
    /// Tokens of former answers that expired unused.
    pub unused: u32,
    /// Operations that used the reserve since the last request.
    pub from_reserve: u32,
    /// Reserve that another home node has left to the node, in thousandths of an operation a second.
    pub carried_milli: u64,
}

/// A request of a node to a home node.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllotmentRequest {
    /// Identifies the set of nodes among which the node chooses homes.
    pub view: u64,
    pub departed: DepartedReserves,
    pub demands: Vec<AllotmentDemand>,
}

/// The answer of a home node for one account.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct AllotmentGrant {
    pub account: Name,
    pub granted: u32,
    /// When the next token is available if too few were granted; zero if it is not known yet.
    pub retry_after_ms: u64,
    /// Rate at which the node may go on without the home node, in thousandths of an operation a
    /// second.
    pub reserve_milli: u64,
}

fn seconds(span: Micros) -> f64 {
    span.0 as f64 / 1e6
}
