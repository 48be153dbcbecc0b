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
    Kill { node: usize },
}

/// Texts to send; `N` becomes the number of the request.
const TEXTS: [&str; 9] = [
    "select N",
    "insert into t values (N.)",
    "begin",
    "commit",
    "rollback",
    "/*request_key='kN'*/ insert into t values (N.)",
    "insert into fail values (N)",
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
        1 => (0..12usize).prop_map(|node| Act::Drain { node }),
        1 => (0..12usize).prop_map(|node| Act::Kill { node }),
    ];
    prop::collection::vec(act, 1..60)
}

struct Trial {
    driver: Driver,
    sessions: Vec<(usize, SessionId)>,
    closed: HashSet<(usize, SessionId)>,
    sent: HashMap<(usize, SessionId), usize>,
    /// Session, place among its requests, and text of each request.
    texts: Vec<((usize, SessionId), usize, String)>,
}

impl Trial {
    fn usable(&self, at: usize) -> Option<(usize, SessionId)> {
        let live: Vec<_> = self
            .sessions
            .iter()
            .filter(|key| !self.closed.contains(key) && !self.driver.dead[key.0])
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
            Act::Open { node, .. } if self.driver.dead[node] => {}
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
                    let place = self.sent.entry(key).or_default();
                    let text = TEXTS[text].replace('N', &self.texts.len().to_string());
                    self.driver.send(key.0, key.1, &text);
                    self.texts.push((key, *place, text));
                    *place += 1;
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
            Act::Kill { node } if node < 3 && !self.driver.dead.contains(&true) => {
                self.driver.kill(node);
            }
            Act::Drain { .. } | Act::Kill { .. } => {}
        }
    }

    /// Checks what callers were told against what the backend servers committed.
    fn check_outcomes(&self) -> Result<(), TestCaseError> {
        for (key, place, text) in &self.texts {
            let Some((_, value)) = text.split_once("values") else { continue };
            let commits = self.driver.committed_with(value);
            prop_assert!(commits <= 1, "{text} ran {commits} times");
            let finish = self.driver.finishes.get(key).and_then(|finishes| finishes.get(*place));
            let Some(finish) = finish else { continue };
            if finish.code().starts_with("WK") {
                prop_assert_eq!(commits, 0, "{} was told not to have run", text);
            }
            if finish.code().is_empty() && finish.token.is_some() {
                prop_assert_eq!(commits, 1, "{} was acknowledged", text);
            }
        }
        Ok(())
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

fn cases() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(64)
}

proptest! {
    // A case takes about 0.1 s; more with PROPTEST_CASES.
    #![proptest_config(ProptestConfig::with_cases(cases()))]

    #[test]
    fn nothing_leaks_and_each_request_ends_once(acts in acts()) {
        let mut trial = Trial {
            driver: Driver::start(3),
            sessions: Vec::new(),
            closed: HashSet::new(),
            sent: HashMap::new(),
            texts: Vec::new(),
        };
        for act in &acts {
            trial.play(act);
        }
        for database in 0..3 {
            trial.heal(database);
        }
        trial.driver.advance(Micros::from_secs(30));
        trial.check_outcomes()?;
        for (key, sent) in &trial.sent {
            if trial.driver.dead[key.0] {
                continue;
            }
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
        for node in (0..3).filter(|node| !trial.driver.dead[*node]) {
            let dump = trial.driver.dump(node);
            prop_assert_eq!(&dump["forwarded"], 0);
            prop_assert_eq!(&dump["sessions"]["open"], 0);
            for database in dump["databases"].as_object().unwrap().values() {
                for entry in ["pinned", "busy", "waiting", "opening"] {
                    prop_assert_eq!(&database["pool"][entry], 0, "{} {:#}", entry, dump);
                }
                prop_assert_eq!(&database["queue"]["deferred"], 0);
                for rank in ["urgent", "interactive", "batch"] {
                    prop_assert_eq!(&database["queue"]["waiting"][rank], 0, "{:#}", dump);
                    prop_assert_eq!(&database["queue"]["running"][rank], 0, "{:#}", dump);
                }
            }
        }
    }
}
