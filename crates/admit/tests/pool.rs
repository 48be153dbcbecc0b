//! Invariants of the connection pool and the retry budget.

use std::collections::{BTreeSet, VecDeque};

use admit::{ConnectionId, ConnectionPool, PoolAction, PoolConfig, RetryBudget};
use model::{Micros, Rank};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum PoolStep {
    Take(u32),
    Opened(usize),
    Release(usize),
    Lost(usize),
    UnknownConnection(u64),
    Trim,
    Limit(u32),
    Wait(u64),
}

fn step() -> impl Strategy<Value = PoolStep> {
    prop_oneof![
        4 => (0u32..12).prop_map(PoolStep::Take),
        4 => (0usize..16).prop_map(PoolStep::Opened),
        3 => (0usize..16).prop_map(PoolStep::Release),
        2 => (0usize..16).prop_map(PoolStep::Lost),
        1 => (0u64..40).prop_map(PoolStep::UnknownConnection),
        2 => Just(PoolStep::Trim),
        1 => (0u32..10).prop_map(PoolStep::Limit),
        2 => (0u64..40_000_000).prop_map(PoolStep::Wait),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 512, ..ProptestConfig::default() })]

    // Guards against connections that exceed the limit, are taken twice, or are dropped without a
    // close.
    #[test]
    fn no_connection_leaks(steps in prop::collection::vec(step(), 1..200)) {
        let timeout = Micros::from_secs(30);
        let mut config = PoolConfig { limit: 8, retained: 2, idle_timeout: timeout };
        let mut pool = ConnectionPool::new(config);
        let (mut opening, mut idle, mut taken) = (VecDeque::new(), Vec::new(), Vec::new());
        let (mut now, mut next_id) = (Micros(0), 0);
        for step in steps {
            let mut actions = Vec::new();
            let total = opening.len() + idle.len() + taken.len();
            match step {
                PoolStep::Take(wanted) => {
                    let connection = pool.take(now, wanted, &mut next_id, &mut actions);
                    // The pool takes the most recently used connection.
                    prop_assert_eq!(connection, idle.pop());
                    taken.extend(connection);
                    let room = (config.limit as usize).saturating_sub(total);
                    prop_assert!(actions.len() <= room.min(wanted.max(1) as usize));
                }
                PoolStep::Opened(index) if !opening.is_empty() => {
                    let connection = opening.remove(index % opening.len()).unwrap();
                    pool.opened(now, connection);
                    idle.push(connection);
                }
                PoolStep::Release(index) if !taken.is_empty() => {
                    let connection = taken.swap_remove(index % taken.len());
                    pool.release(now, connection);
                    pool.release(now, connection);
                    idle.push(connection);
                }
                PoolStep::Lost(index) if total > 0 => {
                    let index = index % total;
                    let connection: ConnectionId = if index < opening.len() {
                        opening.remove(index).unwrap()
                    } else if index < opening.len() + idle.len() {
                        idle.remove(index - opening.len())
                    } else {
                        taken.swap_remove(index - opening.len() - idle.len())
                    };
                    pool.remove(now, connection);
                }
                PoolStep::UnknownConnection(id) => {
                    let connection = ConnectionId(1_000_000 + id);
                    pool.opened(now, connection);
                    pool.release(now, connection);
                    pool.remove(now, connection);
                }
                PoolStep::Trim => {
                    pool.trim(now, &mut actions);
                    prop_assert!(pool.next_trim().is_none_or(|at| at > now));
                }
                PoolStep::Limit(limit) => {
                    config.limit = limit;
                    pool.reconfigure(config);
                }
                PoolStep::Wait(micros) => now += Micros(micros),
                PoolStep::Opened(_) | PoolStep::Release(_) | PoolStep::Lost(_) => {}
            }
            for action in actions {
                match action {
                    PoolAction::Open(connection) => opening.push_back(connection),
                    PoolAction::Close(connection) => {
                        let index = idle.iter().position(|idle| *idle == connection);
                        prop_assert!(index.is_some(), "closed a connection in use");
                        idle.remove(index.unwrap());
                    }
                }
            }
            let stats = pool.stats();
            prop_assert_eq!(stats.opening as usize, opening.len());
            prop_assert_eq!(stats.idle as usize, idle.len());
            prop_assert_eq!(stats.taken as usize, taken.len());
            let all: BTreeSet<_> = opening.iter().chain(&idle).chain(&taken).collect();
            prop_assert_eq!(all.len(), opening.len() + idle.len() + taken.len());
        }
    }

    // Guards against retries that multiply load: at most 10% of first attempts plus the burst, in any
    // window.
    #[test]
    fn retries_stay_within_budget(tries in prop::collection::vec(any::<bool>(), 1..2_000)) {
        let mut budget = RetryBudget::default();
        let mut history = vec![(0u64, 0u64)];
        for first in tries {
            let (mut firsts, mut retries) = *history.last().unwrap();
            if first {
                budget.count_first_attempt(Micros(0), Rank::Urgent);
                firsts += 1;
            } else {
                retries += u64::from(budget.take_retry(Micros(0), Rank::Urgent));
            }
            history.push((firsts, retries));
        }
        for (start, from) in history.iter().enumerate().step_by(13) {
            for to in history[start..].iter().step_by(11) {
                prop_assert!((to.1 - from.1) * 10 <= (to.0 - from.0) + 100);
            }
        }
    }
}

// Guards against a burst of connection attempts to a database that refuses them.
#[test]
fn failed_opens_back_off() {
    let config = PoolConfig { limit: 8, retained: 2, idle_timeout: Micros::from_secs(30) };
    let mut pool = ConnectionPool::new(config);
    let (mut next_id, mut opens) = (0, 0);
    for millis in 0..20_000 {
        let now = Micros::from_millis(millis);
        let mut actions = Vec::new();
        pool.take(now, 4, &mut next_id, &mut actions);
        for action in actions {
            let PoolAction::Open(connection) = action else { panic!("closed {action:?}") };
            opens += 1;
            pool.remove(now, connection);
        }
    }
    assert!((8..=20).contains(&opens), "{opens} attempts in 20 s");
    let mut actions = Vec::new();
    pool.take(pool.next_retry().unwrap(), 4, &mut next_id, &mut actions);
    pool.opened(Micros::from_secs(30), ConnectionId(next_id - 1));
    actions.clear();
    pool.take(Micros::from_secs(30), 5, &mut next_id, &mut actions);
    assert_eq!(actions.len(), 4);
}
