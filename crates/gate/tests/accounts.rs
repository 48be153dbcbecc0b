//! Accounts in virtual time: under which account requests run, which keys are refused, and how the
//! accounts share the connections to a database.

mod support;

use std::collections::BTreeMap;
use std::sync::Arc;

use gate::*;
use model::{Micros, Name, SeededRandom};
use support::{BOUNDED, LATEST, SESSION, Simulation, client_request};

/// Connections that a database accepts, as in the deployment with accounts.
const CONNECTIONS: u32 = 56;

fn millis(time: u64) -> Micros {
    Micros::from_millis(time)
}

/// Returns a configuration in which each account holds one key. `BOUNDED` is a public route.
fn configuration(version: u64, keys: &[(&str, &str)]) -> GateEvent {
    GateEvent::RoutesChanged(Box::new(accounts_table(version, keys)))
}

fn accounts_table(version: u64, keys: &[(&str, &str)]) -> RouteTable {
    let mut table = support::accounts_table(version, CONNECTIONS, keys);
    let route = table.routes.get_mut(BOUNDED).expect("the route exists");
    Arc::make_mut(route).public = true;
    table
}

/// Starts nodes with accounts; opening a connection takes 12 ms of one of four slots.
fn start(nodes: usize, keys: &[(&str, &str)]) -> Simulation {
    let mut simulation = Simulation::start(nodes);
    for name in ["a", "b", "c"] {
        let database = simulation.database(name);
        database.slots = vec![Micros::ZERO; 4];
        database.statement_time = millis(13);
        database.handshake_time = Some(millis(12));
        simulation.publish_database(name);
    }
    configure(&mut simulation, 2, keys);
    simulation.run(millis(100));
    simulation
}

fn configure(simulation: &mut Simulation, version: u64, keys: &[(&str, &str)]) {
    for gate in 0..simulation.gates.len() {
        simulation.event(gate, configuration(version, keys));
    }
}

/// Tells the node that its view of the store is current.
fn follow_store(simulation: &mut Simulation) {
    let (revision, known_at) = (simulation.revision, simulation.now);
    simulation.event(0, GateEvent::StoreFollowed { revision, known_at });
}

/// Sends a request in a new session and returns the session.
fn send(simulation: &mut Simulation, key: &str, id: &str, text: &str) -> SessionId {
    let session = simulation.open_with_key(0, LATEST, key);
    simulation.send_request(0, session, id, text);
    session
}

/// Sends a request as another node does, with the caller that it has identified.
fn forward(simulation: &mut Simulation, version: u64, account: &str, id: &str) -> SessionId {
    let session = simulation.open_as(0, LATEST, SessionOrigin::Peer);
    let mut request = client_request(id, "READ 1", None);
    let account = Some(Name::from(account));
    request.caller = Some(CallerIdentity { version, account, key: "k1".into() });
    simulation.event(0, GateEvent::RequestArrived { session, request });
    session
}

/// Requests of many accounts, at random times.
struct AccountLoad {
    random: SeededRandom,
    /// Weight of each account; the first one is the largest.
    weights: Vec<f64>,
    sent: BTreeMap<SessionId, (usize, Micros)>,
}

impl AccountLoad {
    fn new(accounts: usize) -> Self {
        let weights = (1..=accounts).map(|place| (place as f64).powf(-1.2)).collect();
        AccountLoad { random: SeededRandom::new(7), weights, sent: BTreeMap::new() }
    }

    /// Sends reads for a time; the largest account sends `factor` times its usual rate.
    fn send(&mut self, simulation: &mut Simulation, per_s: f64, factor: f64, time: Micros) {
        let usual: f64 = self.weights.iter().sum();
        self.weights[0] *= factor;
        let sum: f64 = self.weights.iter().sum();
        let mut at = 0.0;
        loop {
            at -= (1.0 - self.random.unit()).ln() / (per_s * sum / usual) * 1e6;
            if at >= time.0 as f64 {
                break;
            }
            let mut place = self.random.unit() * sum;
            let account = self.weights.iter().position(|weight| {
                place -= weight;
                place <= 0.0
            });
            let account = account.unwrap_or_default();
            let session = simulation.open_with_key(0, LATEST, &format!("k{account}"));
            let delay = Micros(at as u64);
            self.sent.insert(session, (account, simulation.now + delay));
            let request = client_request(&format!("{account}-{}", session.0), "READ 1", None);
            simulation.schedule_request(delay, 0, session, request);
        }
        self.weights[0] /= factor;
        simulation.run(time + millis(900));
    }

    /// Returns how many requests of some accounts were sent and served, and the longest time to an
    /// answer.
    fn outcome(
        &self,
        simulation: &Simulation,
        accounts: std::ops::Range<usize>,
    ) -> (usize, usize, u64) {
        let sent = self.sent.values().filter(|(account, _)| accounts.contains(account)).count();
        let (mut served, mut longest) = (0, 0);
        for answered in &simulation.answers {
            let Some((account, at)) = self.sent.get(&answered.session) else { continue };
            if accounts.contains(account) {
                served += usize::from(matches!(answered.reply, ClientReply::Done { .. }));
                longest = longest.max(answered.at.saturating_sub(*at).as_millis());
            }
        }
        (sent, served, longest)
    }
}

fn many_accounts(count: usize) -> Simulation {
    let names: Vec<_> =
        (0..count).map(|index| (format!("k{index}"), format!("t{index}"))).collect();
    let keys: Vec<_> = names.iter().map(|(key, name)| (key.as_str(), name.as_str())).collect();
    start(1, &keys)
}

/// The load of one cluster: 73 accounts by Zipf's law, 28 connections of its first owner, four slots. Guards against a handshake for each request, which
/// would take as much of the slots as the statements.
#[test]
fn many_accounts_share_few_connections() {
    let mut simulation = many_accounts(73);
    let mut load = AccountLoad::new(73);
    load.send(&mut simulation, 200.0, 1.0, Micros::from_secs(5));
    let warm = simulation.opened.len();
    load.sent.clear();
    load.send(&mut simulation, 200.0, 1.0, Micros::from_secs(20));
    let (sent, served, longest) = load.outcome(&simulation, 0..73);
    let opened = simulation.opened.len() - warm;
    assert_eq!(served, sent);
    assert!(longest < 150, "the longest took {longest} ms");
    assert!(opened * 100 < sent * 20, "{opened} handshakes for {sent} requests");
    assert!(simulation.peak_connections <= 28, "{} connections", simulation.peak_connections);
}

/// Guards against an owner beside the first one that keeps connections of accounts which it served while
/// the first one was away: after a power loss, databases hold them beside those of the first one.
#[test]
fn an_owner_beside_the_first_one_soon_closes_unused_connections() {
    let mut simulation = many_accounts(9);
    for index in 0..20 {
        let name = format!("x{index}").into();
        let data_centre = ["west", "north"][index % 2].into();
        let record = NodeRecord { data_centre, capacity: 250, ..NodeRecord::default() };
        let bytes = serde_json::to_vec(&record).expect("it is serialized");
        let document = Document::Node(NodeRole::Owner, name);
        let stored = StoredDocument { document, revision: simulation.revision, lease: 1, bytes };
        simulation.event(0, GateEvent::DocumentChanged(stored));
    }
    for mut listed in simulation.listed() {
        listed.data_centre = "west".into();
        simulation.event(0, GateEvent::DatabaseChanged(listed));
    }
    simulation.run(millis(700));
    for account in 0..9 {
        send(&mut simulation, &format!("k{account}"), &format!("r{account}"), "READ 1");
    }
    simulation.run(millis(1_000));
    assert_eq!(simulation.databases["a"].ran.len(), 9);
    assert!(simulation.connection_count("a") >= 8, "they are kept for a while");
    simulation.run(millis(3_000));
    assert!(simulation.connection_count("a") <= 2, "{}", simulation.connection_count("a"));
}

/// The largest account sends eight times its usual rate, more than the database executes. Guards
/// against small accounts that wait for a connection behind it.
#[test]
fn a_flood_of_one_account_leaves_the_others_their_connections() {
    let mut simulation = many_accounts(73);
    let mut load = AccountLoad::new(73);
    load.send(&mut simulation, 150.0, 8.0, Micros::from_secs(10));
    let (sent, served, longest) = load.outcome(&simulation, 1..73);
    assert_eq!(served, sent);
    assert!(longest < 200, "the longest took {longest} ms");
    let (_, _, smallest) = load.outcome(&simulation, 72..73);
    assert!(smallest < 150, "the smallest account waited {smallest} ms");
    let (_, largest, _) = load.outcome(&simulation, 0..1);
    assert!(largest > 1_500, "the largest account uses the free slots: {largest}");
    assert!(simulation.peak_connections <= 30, "{} connections", simulation.peak_connections);
}

/// More accounts than connections keep an urgent request waiting each. Guards against accounts of a
/// lower rank that never get a connection.
#[test]
fn an_urgent_flood_of_all_accounts_starves_no_lower_rank() {
    let mut simulation = many_accounts(73);
    let mut load = AccountLoad::new(70);
    load.weights.fill(1.0);
    let mut writes = Vec::new();
    for turn in 0..20 {
        let session = simulation.open_with_key(0, SESSION, &format!("k{}", 70 + turn % 3));
        let request = client_request(&format!("w{turn}"), "WRITE 1 x", None);
        simulation.schedule_request(millis(1_000 + 100 * turn), 0, session, request);
        writes.push(session);
    }
    load.send(&mut simulation, 600.0, 1.0, Micros::from_secs(4));
    let served = writes.iter().filter(|session| simulation.outcome(**session) == "served").count();
    assert!(served >= 15, "{served} of {} writes were served", writes.len());
}

/// Guards against a session whose identifier is taken for the name of an account, and against
/// requests without an account that wait for a connection that nobody opens.
#[test]
fn unknown_clients_of_a_public_route_run_without_an_account() {
    let mut simulation = start(1, &[("k1", "s5"), ("k2", "s6")]);
    for turn in 0..8 {
        let known = simulation.open_with_key(0, BOUNDED, ["k1", "k2"][turn % 2]);
        simulation.send_request(0, known, &format!("known{turn}"), "READ 1");
        let unknown = simulation.open_with_key(0, BOUNDED, "other");
        simulation.send_request(0, unknown, &format!("unknown{turn}"), "READ 1");
        simulation.run(millis(200));
        assert_eq!((simulation.outcome(known), simulation.outcome(unknown)), ("served", "served"));
    }
    let configured = [None, Some("s5"), Some("s6")];
    let mut opened = simulation.opened.iter();
    assert!(opened.all(|(_, account)| configured.contains(&account.as_deref())));
    for (id, account) in &simulation.accounts {
        let expected = match id.as_str() {
            id if id.starts_with("unknown") => None,
            "known0" | "known2" | "known4" | "known6" => Some("s5"),
            _ => Some("s6"),
        };
        assert_eq!(account.as_deref(), expected, "{id}");
    }
}

/// Guards against a key that keeps working in an open session, in a transaction, or for a request that
/// waits, after operators have removed it.
#[test]
fn a_removed_key_stops_open_sessions_and_begun_transactions() {
    let mut simulation = start(1, &[("k1", "one"), ("k2", "two")]);
    let open = send(&mut simulation, "k1", "r1", "READ 1");
    let transaction = send(&mut simulation, "k1", "b1", "BEGIN");
    simulation.send_request(0, transaction, "t1", "WRITE 1 x");
    simulation.run(millis(200));
    simulation.database("a").handshake_time = Some(millis(300));
    let waiting = send(&mut simulation, "k2", "r2", "READ 1");
    simulation.run(millis(40));
    configure(&mut simulation, 3, &[("k3", "one")]);
    follow_store(&mut simulation);
    assert_eq!(simulation.outcome(waiting), "not_authorized");
    simulation.send_request(0, open, "r3", "READ 1");
    assert_eq!(simulation.outcome(open), "not_authorized");
    simulation.send_request(0, open, "b2", "BEGIN");
    assert_eq!(simulation.outcome(open), "not_authorized");
    simulation.send_request(0, transaction, "t2", "COMMIT");
    simulation.run(millis(400));
    assert_eq!(simulation.outcome(transaction), "aborted");
    assert!(!simulation.ran_at("a", "t2"));
    let refused = simulation.open_with_key(0, LATEST, "k1");
    assert_eq!(simulation.refused_sessions.get(&refused), Some(&ErrorCode::NotAuthorized));
    assert!(!simulation.accounts.contains_key("r2") && !simulation.accounts.contains_key("r3"));
    // Without news of the store, the key may be a new one.
    simulation.run(millis(4_000));
    simulation.send_request(0, open, "r4", "READ 1");
    assert_eq!(simulation.outcome(open), "busy");
}

/// Guards against a request that runs under the account that held its key when it was queued.
#[test]
fn a_waiting_request_follows_its_key_to_another_account() {
    let mut simulation = start(1, &[("k1", "one")]);
    simulation.database("a").handshake_time = Some(millis(100));
    let waiting = send(&mut simulation, "k1", "r1", "READ 1");
    simulation.run(millis(40));
    configure(&mut simulation, 3, &[("k1", "two")]);
    simulation.run(millis(400));
    assert_eq!(simulation.outcome(waiting), "served");
    assert_eq!(simulation.accounts["r1"].as_deref(), Some("two"));
    // An older configuration, as from a relay that is behind, changes nothing.
    configure(&mut simulation, 2, &[("k1", "one")]);
    send(&mut simulation, "k1", "r2", "READ 1");
    simulation.run(millis(400));
    assert_eq!(simulation.accounts["r2"].as_deref(), Some("two"));
}

/// Guards against an owner that decides by an older configuration than the node that forwards, or
/// against one that lets an older node decide.
#[test]
fn the_newer_of_two_nodes_identifies_a_forwarded_request() {
    let mut simulation = start(1, &[("k1", "one")]);
    let cases = [(1, "old", Some("one")), (2, "same", Some("one")), (3, "new", Some("new"))];
    for (version, account, expected) in cases {
        let session = forward(&mut simulation, version, account, account);
        simulation.run(millis(200));
        assert_eq!(simulation.outcome(session), "served");
        assert_eq!(simulation.accounts[account].as_deref(), expected, "version {version}");
    }
    configure(&mut simulation, 4, &[]);
    let session = forward(&mut simulation, 3, "new", "removed");
    assert_eq!(simulation.outcome(session), "not_authorized");
    let session = simulation.open_as(0, LATEST, SessionOrigin::Peer);
    simulation.send_request(0, session, "nobody", "READ 1");
    assert_eq!(simulation.outcome(session), "misrouted");
}

/// Guards against one account that the database refuses, or a database that is full, keeping other
/// accounts from being served.
#[test]
fn refused_connections_keep_no_other_account_waiting() {
    let mut simulation = many_accounts(10);
    let database = simulation.database("a");
    (database.connection_limit, database.refused_account) = (4, Some("t0".into()));
    let sessions: Vec<_> = (0..10)
        .map(|index| send(&mut simulation, &format!("k{index}"), &format!("r{index}"), "READ 1"))
        .collect();
    simulation.run(millis(1_000));
    let outcomes: Vec<_> = sessions.iter().map(|session| simulation.outcome(*session)).collect();
    assert_eq!((outcomes[0], &outcomes[1..]), ("busy", &["served"; 9][..]));
    assert!(simulation.peak_connections <= 4);
}

/// Guards against idle transactions that keep all connections from an account without
/// one for longer than they last.
#[test]
fn an_account_waits_only_while_all_connections_are_in_transactions() {
    let mut simulation = many_accounts(31);
    let transactions: Vec<_> = (0..30)
        .map(|index| {
            let session =
                send(&mut simulation, &format!("k{index}"), &format!("b{index}"), "BEGIN");
            simulation.send_request(0, session, &format!("t{index}"), "WRITE 1 x");
            simulation.run(millis(20));
            session
        })
        .collect();
    simulation.run(millis(200));
    let waiting = send(&mut simulation, "k30", "r", "READ 1");
    simulation.run(millis(100));
    assert_eq!(simulation.outcome(waiting), "none");
    simulation.send_request(0, transactions[0], "c", "COMMIT");
    simulation.run(millis(100));
    assert_eq!(simulation.outcome(waiting), "served");
    assert_eq!(simulation.accounts["r"].as_deref(), Some("t30"));
    assert!(simulation.peak_connections <= 30);
}

/// Guards against accounts that are not served after a failover, and against requests that run on the
/// connections of others meanwhile.
#[test]
fn accounts_are_served_by_a_new_primary() {
    let mut simulation = many_accounts(40);
    let mut load = AccountLoad::new(40);
    load.send(&mut simulation, 50.0, 1.0, Micros::from_secs(1));
    simulation.fail_database("a");
    simulation.run(Micros::from_secs(9));
    load.sent.clear();
    load.send(&mut simulation, 50.0, 1.0, Micros::from_secs(2));
    assert_eq!(simulation.promotions.len(), 1);
    let (sent, served, _) = load.outcome(&simulation, 0..40);
    assert_eq!(served, sent);
    assert_own_accounts(&simulation);
}

/// Guards against a handshake for each account that pauses, and against an owner that keeps the
/// connections that its successor needs.
#[test]
fn idle_connections_are_kept_within_the_share_and_returned_beyond_it() {
    let mut simulation = many_accounts(20);
    for index in 0..20 {
        send(&mut simulation, &format!("k{index}"), &format!("r{index}"), "READ 1");
        simulation.run(millis(60));
    }
    simulation.run(Micros::from_secs(20));
    assert!(simulation.connection_count("a") >= 20, "{}", simulation.connection_count("a"));
    let mut table = accounts_table(3, &[]);
    table.clusters.values_mut().for_each(|limits| limits.max_connections = 16);
    simulation.event(0, GateEvent::RoutesChanged(Box::new(table.clone())));
    simulation.run(millis(700));
    assert_eq!(simulation.connection_count("a"), 8);
    (table.version, table.clusters) = (4, Default::default());
    simulation.event(0, GateEvent::RoutesChanged(Box::new(table)));
    simulation.run(millis(700));
    assert_eq!(simulation.connection_count("a"), 0);
}

/// `BEGIN` is on its way when the configuration changes. Guards against a first statement that runs
/// under an account that does not hold the key any more.
#[test]
fn a_key_that_changes_while_a_transaction_begins_is_resolved_again() {
    for (keys, outcome, account) in
        [(&[][..], "not_authorized", None), (&[("k1", "two")][..], "served", Some("two"))]
    {
        let mut simulation = start(1, &[("k1", "one")]);
        send(&mut simulation, "k1", "warm", "READ 1");
        simulation.run(millis(100));
        let transaction = send(&mut simulation, "k1", "b", "BEGIN");
        simulation.send_request(0, transaction, "t", "WRITE 1 x");
        configure(&mut simulation, 3, keys);
        simulation.run(millis(200));
        assert_eq!(simulation.outcome(transaction), outcome);
        let ran_under = simulation.accounts.get("t").map(|account| account.as_deref());
        assert_eq!(ran_under, account.map(Some));
        // The connection of the transaction that did not begin is free again.
        let next = simulation.open_with_key(0, BOUNDED, "k1");
        simulation.send_request(0, next, "n", "READ 1");
        simulation.run(millis(200));
        assert_eq!(simulation.outcome(next), "served");
    }
}

/// The account of a request that is sent again is gone, and the database refuses connections of
/// it. Guards against a request that waits for such a connection instead of following its key.
#[test]
fn a_request_that_is_sent_again_follows_its_key() {
    for (keys, outcome) in [(&[][..], "not_authorized"), (&[("k1", "two")][..], "served")] {
        let mut simulation = start(1, &[("k1", "one")]);
        send(&mut simulation, "k1", "warm", "READ 1");
        simulation.run(millis(100));
        let read = send(&mut simulation, "k1", "r", "READ 1");
        simulation.database("a").refused_account = Some("one".into());
        configure(&mut simulation, 3, keys);
        follow_store(&mut simulation);
        simulation.lose_connections("a", millis(2));
        simulation.run(millis(400));
        assert_eq!(simulation.outcome(read), outcome);
        let ran_under = simulation.accounts.get("r").cloned().flatten();
        assert_ne!(ran_under.as_deref(), Some("one"));
    }
}

/// Stack for a test that must not nest once for each request.
const SMALL_STACK_BYTES: usize = 256 * 1024;

/// Guards against a stack that grows with the number of requests of a removed key.
#[test]
fn removing_the_key_of_many_waiting_requests_needs_little_stack() {
    let refuse_all = || {
        let mut simulation = start(1, &[("k1", "one")]);
        simulation.database("a").handshake_time = Some(millis(300));
        let sessions: Vec<_> = (0..500)
            .map(|turn| {
                let session = simulation.open_with_key(0, [LATEST, SESSION][turn % 2], "k1");
                simulation.send_request(0, session, &format!("r{turn}"), "WRITE 1 x");
                session
            })
            .collect();
        simulation.run(millis(40));
        configure(&mut simulation, 3, &[]);
        follow_store(&mut simulation);
        sessions.iter().filter(|id| simulation.outcome(**id) == "not_authorized").count()
    };
    let thread = std::thread::Builder::new().stack_size(SMALL_STACK_BYTES).spawn(refuse_all);
    let refused = thread.expect("a thread is started").join().expect("the stack suffices");
    assert_eq!(refused, 500);
}

/// An owner has served a request of another node by a newer version than its own. Guards against
/// requests that it then serves by the older one, under an account that may not hold the key.
#[test]
fn requests_wait_for_a_newer_version_that_was_used() {
    let mut simulation = start(1, &[("k1", "one"), ("k2", "two")]);
    send(&mut simulation, "k2", "warm", "READ 1");
    simulation.run(millis(100));
    let transaction = send(&mut simulation, "k2", "b", "BEGIN");
    simulation.send_request(0, transaction, "t", "WRITE 1 x");
    let newer = forward(&mut simulation, 3, "new", "newer");
    let own = send(&mut simulation, "k1", "own", "READ 1");
    let older = forward(&mut simulation, 2, "one", "older");
    simulation.run(millis(200));
    assert_eq!(simulation.outcome(newer), "served");
    for id in ["own", "older", "t"] {
        assert!(!simulation.accounts.contains_key(id), "{id}");
    }
    configure(&mut simulation, 3, &[("k1", "new"), ("k2", "other")]);
    simulation.run(millis(300));
    for (session, id, account) in
        [(own, "own", "new"), (older, "older", "new"), (transaction, "t", "other")]
    {
        assert_eq!(simulation.outcome(session), "served", "{id}");
        assert_eq!(simulation.accounts[id].as_deref(), Some(account), "{id}");
    }
}

/// A node names a version that never arrives, again and again. Guards against an owner that refuses
/// all other requests from then on.
#[test]
fn a_version_that_does_not_arrive_is_awaited_for_a_limited_time() {
    let mut simulation = start(1, &[("k1", "one")]);
    forward(&mut simulation, u64::MAX - 1, "new", "newer");
    let own = send(&mut simulation, "k1", "own", "READ 1");
    let older = forward(&mut simulation, 2, "one", "older");
    simulation.run(millis(400));
    assert_eq!((simulation.outcome(own), simulation.outcome(older)), ("busy", "misrouted"));
    simulation.run(millis(2_600));
    forward(&mut simulation, u64::MAX, "new", "newest");
    let own = send(&mut simulation, "k1", "later", "READ 1");
    simulation.run(millis(200));
    assert_eq!(simulation.outcome(own), "served");
    assert_eq!(simulation.accounts["later"].as_deref(), Some("one"));
}

/// Guards against a key, which is a credential, in the `Debug` output of events and of a gate.
#[test]
fn debug_output_contains_no_key() {
    let mut simulation = start(1, &[("secret", "one")]);
    let opened = GateEvent::SessionOpened {
        session: SessionId(1),
        database: LATEST.into(),
        key: "secret".into(),
        origin: SessionOrigin::Client,
    };
    assert!(!format!("{opened:?}").contains("secret"));
    send(&mut simulation, "secret", "r", "READ 1");
    let state = format!("{:?}", simulation.gates[0]);
    assert!(state.contains("Session {") && !state.contains("secret"));
}

/// Checks that each request ran under the account that its id names.
fn assert_own_accounts(simulation: &Simulation) {
    for (id, account) in &simulation.accounts {
        let expected = id.split_once('-').map(|(account, _)| format!("t{account}"));
        assert_eq!(account.as_deref(), expected.as_deref(), "{id}");
    }
}

/// Guards against requests that are forgotten, or run under another account, when the connections
/// that their accounts wait for are lost.
#[test]
fn accounts_wait_for_another_connection_when_one_is_lost() {
    let mut simulation = many_accounts(10);
    let mut sessions = Vec::new();
    for turn in 0..3 {
        for index in 0..10 {
            let id = format!("{index}-{turn}");
            sessions.push(send(&mut simulation, &format!("k{index}"), &id, "READ 1"));
        }
    }
    // Some connections are open by now, some are being opened, and some accounts have none.
    simulation.run(millis(40));
    simulation.lose_connections("a", millis(1));
    simulation.run(millis(700));
    let served = sessions.iter().filter(|session| simulation.outcome(**session) == "served");
    assert_eq!(served.count(), sessions.len());
    assert_own_accounts(&simulation);
}

/// Transactions of accounts hold the connections to the replicas when the primary fails. Guards
/// against a failover whose reports and fences wait for them, or whose commands change the account
/// under which a request runs.
#[test]
fn a_failover_does_not_wait_for_transactions_of_accounts() {
    let mut simulation = many_accounts(40);
    let mut load = AccountLoad::new(40);
    load.send(&mut simulation, 100.0, 1.0, Micros::from_secs(1));
    let transactions: Vec<_> = (0..80)
        .map(|index| {
            let account = index % 40;
            let session = simulation.open_with_key(0, BOUNDED, &format!("k{account}"));
            simulation.send_request(0, session, &format!("{account}-b{index}"), "BEGIN READ");
            simulation.send_request(0, session, &format!("{account}-r{index}"), "READ 1");
            simulation.run(millis(20));
            session
        })
        .collect();
    let (at_b, at_c) = (simulation.connection_count("b"), simulation.connection_count("c"));
    assert!(at_b.max(at_c) >= 28, "the connections to a replica are in use: {at_b}, {at_c}");
    simulation.fail_database("a");
    let failed_at = simulation.now;
    load.send(&mut simulation, 50.0, 1.0, Micros::from_secs(2));
    assert_eq!(simulation.promotions.len(), 1);
    let time = simulation.promotions[0].0.saturating_sub(failed_at).as_millis();
    assert!(time < 2_000, "the promotion was called after {time} ms");
    for (index, session) in transactions.iter().enumerate() {
        let id = format!("{}-c{index}", index % 40);
        simulation.send_request(0, *session, &id, "COMMIT");
    }
    simulation.run(Micros::from_secs(8));
    load.sent.clear();
    load.send(&mut simulation, 50.0, 1.0, Micros::from_secs(2));
    let (sent, served, _) = load.outcome(&simulation, 0..40);
    assert_eq!(served, sent);
    assert_own_accounts(&simulation);
}
