//! Random sequences of events: no resource may leak and each request must end exactly once.

#![allow(clippy::unwrap_used)]

mod driver;

use std::collections::{HashMap, HashSet};

use driver::Driver;
use model::Micros;
use node::{NodeEvent, SessionId};
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum TestStep {
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

/// Statement texts; `N` is replaced by the number of the request.
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

fn steps() -> impl Strategy<Value = Vec<TestStep>> {
    let step = prop_oneof![
        3 => (0..3usize, 0..3usize).prop_map(|(node, labels)| TestStep::Open { node, labels }),
        12 => (0..8usize, 0..TEXTS.len()).prop_map(|(session, text)| TestStep::Send { session, text }),
        2 => (0..8usize).prop_map(|session| TestStep::Close { session }),
        2 => (0..8usize).prop_map(|session| TestStep::Cancel { session }),
        8 => (0..60u64).prop_map(|millis| TestStep::Advance { millis }),
        2 => (0..8u64).prop_map(|secs| TestStep::Advance { millis: secs * 700 }),
        2 => (0..3usize, 0..6usize).prop_map(|(database, fault)| TestStep::Fail { database, fault }),
        2 => (0..3usize).prop_map(|database| TestStep::Heal { database }),
        1 => (0..12usize).prop_map(|node| TestStep::Drain { node }),
        1 => (0..12usize).prop_map(|node| TestStep::Kill { node }),
    ];
    prop::collection::vec(step, 1..60)
}

struct RandomRun {
    driver: Driver,
    sessions: Vec<(usize, SessionId)>,
    closed: HashSet<(usize, SessionId)>,
    sent: HashMap<(usize, SessionId), usize>,
    /// Session, index within the session, and text of each request.
    texts: Vec<((usize, SessionId), usize, String)>,
}

impl RandomRun {
    fn usable(&self, at: usize) -> Option<(usize, SessionId)> {
        let live: Vec<_> = self
            .sessions
            .iter()
            .filter(|key| !self.closed.contains(key) && !self.driver.killed[key.0])
            .filter(|(node, id)| {
                !self.driver.closed.iter().any(|(other, closed, _)| other == node && closed == id)
            })
            .collect();
        (!live.is_empty()).then(|| *live[at % live.len()])
    }

    fn ended(&self, key: (usize, SessionId)) -> usize {
        self.driver.finishes.get(&key).map_or(0, Vec::len)
    }

    fn apply_step(&mut self, step: &TestStep) {
        match *step {
            TestStep::Open { node, .. } if self.driver.killed[node] => {}
            TestStep::Open { node, labels } => {
                let labels = ["kind=aged", "kind=short", "kind=none"][labels];
                let session = self.driver.open(node, "phone", &[("cicadawick.labels", labels)]);
                if self.driver.accepted.contains(&(node, session)) {
                    self.sessions.push((node, session));
                }
            }
            TestStep::Send { session, text } => {
                let Some(key) = self.usable(session) else { return };
                // The I/O driver sends one request at a time.
                if self.sent.get(&key).copied().unwrap_or(0) == self.ended(key) {
                    let index = self.sent.entry(key).or_default();
                    let text = TEXTS[text].replace('N', &self.texts.len().to_string());
                    self.driver.send(key.0, key.1, &text);
                    self.texts.push((key, *index, text));
                    *index += 1;
                }
            }
            TestStep::Close { session } => {
                let Some(key) = self.usable(session) else { return };
                self.closed.insert(key);
                self.driver.handle_event(key.0, NodeEvent::SessionClosed { session: key.1 });
            }
            TestStep::Cancel { session } => {
                let Some(key) = self.usable(session) else { return };
                self.driver.handle_event(key.0, NodeEvent::CancelArrived { session: key.1 });
            }
            TestStep::Advance { millis } => self.driver.advance(Micros::from_millis(millis)),
            TestStep::Fail { database, fault } => {
                let name = format!("db{}", database + 1);
                let found = self.driver.databases.get_mut(&name).unwrap();
                match fault {
                    0 => found.frozen = true,
                    1 => found.down = true,
                    2 => found.lags = true,
                    3 => found.lose_next = Some(("insert", true)),
                    4 => found.lose_next = Some(("", false)),
                    _ => found.service_time = Micros::from_millis(700),
                }
            }
            TestStep::Heal { database } => self.heal(database),
            TestStep::Drain { node } if node < 3 && self.driver.shut_down.is_empty() => {
                self.driver.handle_event(node, NodeEvent::DrainRequested);
            }
            TestStep::Kill { node } if node < 3 && !self.driver.killed.contains(&true) => {
                self.driver.kill(node);
            }
            TestStep::Drain { .. } | TestStep::Kill { .. } => {}
        }
    }

    /// Checks the results that clients received against the writes that databases committed.
    fn check_outcomes(&self) -> Result<(), TestCaseError> {
        for (key, index, text) in &self.texts {
            let Some((_, value)) = text.split_once("values") else { continue };
            let commits = self.driver.count_commits(value);
            prop_assert!(commits <= 1, "{text} ran {commits} times");
            let finish = self.driver.finishes.get(key).and_then(|finishes| finishes.get(*index));
            let Some(finish) = finish else { continue };
            if finish.code().starts_with("WK") {
                prop_assert_eq!(commits, 0, "{} was reported as not run", text);
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
        found.service_time = Micros::from_millis(2);
    }
}

fn cases() -> u32 {
    std::env::var("PROPTEST_CASES").ok().and_then(|cases| cases.parse().ok()).unwrap_or(64)
}

proptest! {
    // A case takes about 0.1 s. PROPTEST_CASES sets the number of cases.
    #![proptest_config(ProptestConfig::with_cases(cases()))]

    #[test]
    fn nothing_leaks_and_each_request_ends_once(steps in steps()) {
        let mut random_run = RandomRun {
            driver: Driver::start(3),
            sessions: Vec::new(),
            closed: HashSet::new(),
            sent: HashMap::new(),
            texts: Vec::new(),
        };
        for step in &steps {
            random_run.apply_step(step);
        }
        for database in 0..3 {
            random_run.heal(database);
        }
        random_run.driver.advance(Micros::from_secs(30));
        random_run.check_outcomes()?;
        for (key, sent) in &random_run.sent {
            if random_run.driver.killed[key.0] {
                continue;
            }
            let ended = random_run.ended(*key);
            let closed = random_run.closed.contains(key)
                || random_run.driver.closed.iter().any(|closed| (closed.0, closed.1) == *key);
            prop_assert!(ended == *sent || (closed && ended + 1 == *sent),
                "{ended} ends of {sent} requests of {key:?}");
        }
        for key in random_run.sessions.clone() {
            random_run.driver.handle_event(key.0, NodeEvent::SessionClosed { session: key.1 });
        }
        random_run.driver.advance(Micros::from_secs(10));
        for node in (0..3).filter(|node| !random_run.driver.killed[*node]) {
            let dump = random_run.driver.dump(node);
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
