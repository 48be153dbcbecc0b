//! Random orders of events: nothing may leak and each request ends exactly once.

#![allow(clippy::unwrap_used)]

mod driver;

use std::collections::{HashMap, HashSet};

use driver::Driver;
use model::Micros;
use node::{NodeEvent, SessionId};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Act {
    Open { node: usize, labels: usize },
    Send { session: usize, text: usize },
    Close { session: usize },
    Cancel { session: usize },
    Advance { millis: u64 },
    Fail { database: usize, fault: usize },
    Heal { database: usize },
    Drain { node: usize },
}

const TEXTS: [&str; 9] = [
    "select 1",
    "insert into t values (1)",
    "begin",
    "commit",
    "rollback",
    "/*request_key='k1'*/ insert into t values (2)",
    "insert into fail values (1)",
    "show cicadawick.labels",
    "copy t from stdin",
];

fn acts() -> impl Strategy<Value = Vec<Act>> {
    let act = prop_oneof![
        3 => (0..3usize, 0..3usize).prop_map(|(node, labels)| Act::Open { node, labels }),
        12 => (0..8usize, 0..TEXTS.len()).prop_map(|(session, text)| Act::Send { session, text }),
        2 => (0..8usize).prop_map(|session| Act::Close { session }),
        2 => (0..8usize).prop_map(|session| Act::Cancel { session }),
        8 => (0..60u64).prop_map(|millis| Act::Advance { millis }),
        2 => (0..8u64).prop_map(|secs| Act::Advance { millis: secs * 700 }),
        2 => (0..3usize, 0..6usize).prop_map(|(database, fault)| Act::Fail { database, fault }),
        2 => (0..3usize).prop_map(|database| Act::Heal { database }),
        1 => (0..40usize).prop_map(|node| Act::Drain { node }),
    ];
    prop::collection::vec(act, 1..60)
}

struct Trial {
    driver: Driver,
    sessions: Vec<(usize, SessionId)>,
    closed: HashSet<(usize, SessionId)>,
    sent: HashMap<(usize, SessionId), usize>,
}

impl Trial {
    fn usable(&self, at: usize) -> Option<(usize, SessionId)> {
        let live: Vec<_> = self
            .sessions
            .iter()
            .filter(|key| !self.closed.contains(key))
            .filter(|(node, id)| {
                !self.driver.closed.iter().any(|(other, gone, _)| other == node && gone == id)
            })
            .collect();
        (!live.is_empty()).then(|| *live[at % live.len()])
    }

    fn ended(&self, key: (usize, SessionId)) -> usize {
        self.driver.finishes.get(&key).map_or(0, Vec::len)
    }

    fn play(&mut self, act: &Act) {
        match *act {
            Act::Open { node, labels } => {
                let labels = ["kind=aged", "kind=short", "kind=none"][labels];
                let session = self.driver.open(node, "phone", &[("cicadawick.labels", labels)]);
                if self.driver.accepted.contains(&(node, session)) {
                    self.sessions.push((node, session));
                }
            }
            Act::Send { session, text } => {
                let Some(key) = self.usable(session) else { return };
                // The shell sends one request at a time.
                if self.sent.get(&key).copied().unwrap_or(0) == self.ended(key) {
                    *self.sent.entry(key).or_default() += 1;
                    self.driver.send(key.0, key.1, TEXTS[text]);
                }
            }
            Act::Close { session } => {
                let Some(key) = self.usable(session) else { return };
                self.closed.insert(key);
                self.driver.give(key.0, NodeEvent::SessionClosed { session: key.1 });
            }
            Act::Cancel { session } => {
                let Some(key) = self.usable(session) else { return };
                self.driver.give(key.0, NodeEvent::CancelArrived { session: key.1 });
            }
            Act::Advance { millis } => self.driver.advance(Micros::from_millis(millis)),
            Act::Fail { database, fault } => {
                let name = format!("db{}", database + 1);
                let found = self.driver.databases.get_mut(&name).unwrap();
                match fault {
                    0 => found.frozen = true,
                    1 => found.down = true,
                    2 => found.lags = true,
                    3 => found.lose_next = Some(("insert", true)),
                    4 => found.lose_next = Some(("", false)),
                    _ => found.run_time = Micros::from_millis(700),
                }
            }
            Act::Heal { database } => self.heal(database),
            Act::Drain { node } if node < 3 && self.driver.shut_down.is_empty() => {
                self.driver.give(node, NodeEvent::DrainRequested);
            }
            Act::Drain { .. } => {}
        }
    }

    fn heal(&mut self, database: usize) {
        let name = format!("db{}", database + 1);
        let found = self.driver.databases.get_mut(&name).unwrap();
        found.frozen = false;
        found.down = false;
        found.lags = false;
        found.lose_next = None;
        found.run_time = Micros::from_millis(2);
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 96, ..ProptestConfig::default() })]

    #[test]
    fn nothing_leaks_and_each_request_ends_once(acts in acts()) {
        let mut trial = Trial {
            driver: Driver::start(3),
            sessions: Vec::new(),
            closed: HashSet::new(),
            sent: HashMap::new(),
        };
        for act in &acts {
            trial.play(act);
        }
        for database in 0..3 {
            trial.heal(database);
        }
        trial.driver.advance(Micros::from_secs(30));
        for (key, sent) in &trial.sent {
            let ended = trial.ended(*key);
            let gone = trial.closed.contains(key)
                || trial.driver.closed.iter().any(|closed| (closed.0, closed.1) == *key);
            prop_assert!(ended == *sent || (gone && ended + 1 == *sent),
                "{ended} ends of {sent} requests of {key:?}");
        }
        for key in trial.sessions.clone() {
            trial.driver.give(key.0, NodeEvent::SessionClosed { session: key.1 });
        }
        trial.driver.advance(Micros::from_secs(10));
        for node in 0..3 {
            let dump = trial.driver.dump(node);
            prop_assert_eq!(&dump["forwarded"], 0);
            prop_assert_eq!(&dump["sessions"]["open"], 0);
            for desk in dump["databases"].as_object().unwrap().values() {
                for entry in ["pinned", "busy", "waiting", "opening"] {
                    prop_assert_eq!(&desk["pool"][entry], 0, "{} {:#}", entry, dump);
                }
                prop_assert_eq!(&desk["queue"]["parked"], 0);
                for rank in ["urgent", "interactive", "batch"] {
                    prop_assert_eq!(&desk["queue"]["waiting"][rank], 0, "{:#}", dump);
                    prop_assert_eq!(&desk["queue"]["running"][rank], 0, "{:#}", dump);
                }
            }
        }
    }
}
