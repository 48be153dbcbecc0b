//! Calls between a client and a server over loopback, in one event loop.

#![allow(clippy::unwrap_used)]

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::mpsc::UnboundedSender;
use member::{Heartbeat, MemberInfo, MemberState};
use model::{LabelSet, LogPosition, Micros, Rank, RequiredPosition, Term};
use node::{
    CallId, ClientRequest, LaneId, OwnerReply, RequestKind, RoutedRequest, TransactionState,
};
use rpc::{
    AnswerPart, CallIds, ChunkPermit, ForwardReply, PeerCallError, PeerClients, PeerRequest,
    PeerSpace, RpcStream, TaskPool, serve_peer,
};
use stakker::{Fwd, Stakker};
use stakker_mio::MioPoll;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::mio::{Events, Poll};

const TIMEOUT: Duration = Duration::from_secs(5);

type ForwardResult = Result<ForwardReply, PeerCallError>;

struct PeerHarness {
    stakker: Stakker,
    poll: MioPoll,
    listener: std::net::TcpListener,
    pool: TaskPool,
    clients: PeerClients,
    requests: Rc<RefCell<Vec<PeerRequest>>>,
}

impl PeerHarness {
    fn new() -> Self {
        let mut stakker = Stakker::new(Instant::now());
        let events = Events::with_capacity(64);
        let poll = MioPoll::new(&mut stakker, Poll::new().unwrap(), events, 10).unwrap();
        let pool = TaskPool::new(&mut stakker);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let clients = PeerClients::new(pool.clone());
        PeerHarness { stakker, poll, listener, pool, clients, requests: Rc::default() }
    }

    /// Accepts the client's connection, which must have been opened.
    fn accept(&mut self) -> RpcStream {
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_nonblocking(true).unwrap();
        let stream = RpcStream::new(&self.poll, TcpStream::from_std(stream)).unwrap();
        let requests = self.requests.clone();
        let forward = Fwd::new(move |request| requests.borrow_mut().push(request));
        let space = PeerSpace::new(0);
        assert!(serve_peer(&self.pool, stream.clone(), forward, CallIds::default(), &space));
        stream
    }

    fn run_until(&mut self, mut done: impl FnMut() -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        while !done() {
            assert!(Instant::now() < deadline, "condition not met within {TIMEOUT:?}");
            self.stakker.run(Instant::now(), false);
            self.poll.poll(Duration::from_millis(1)).unwrap();
        }
    }

    fn next_request(&mut self) -> PeerRequest {
        let requests = self.requests.clone();
        self.run_until(|| !requests.borrow().is_empty());
        requests.borrow_mut().remove(0)
    }

    /// Expects the notification that a call's answer is complete or that the call ended without one.
    fn expect_finished(&mut self) {
        assert!(matches!(self.next_request(), PeerRequest::CallFinished));
    }

    fn next_execute(
        &mut self,
    ) -> (CallId, Option<LaneId>, RoutedRequest, UnboundedSender<AnswerPart>) {
        match self.next_request() {
            PeerRequest::Execute { call, lane, request, answers, .. } => {
                (call, lane, *request, answers)
            }
            _ => panic!("expected a request to execute"),
        }
    }
}

fn routed_request() -> RoutedRequest {
    RoutedRequest {
        database: "billing-1".into(),
        caller: "vendor/till/10.0.0.1".into(),
        labels: LabelSet::from_pairs([("kind", "vendor")]),
        selector: "purchases".into(),
        rank: Rank::Urgent,
        time_left: Micros::from_millis(900),
        read: false,
        commits: true,
        durable: true,
        max_age: Some(Micros::from_secs(2)),
        required_position: Some(RequiredPosition { term: Term(3), position: LogPosition(77) }),
        session_age: None,
        request_key: Some("k1".into()),
        user: "vendor".into(),
        request: ClientRequest {
            kind: RequestKind::Extended,
            text: "INSERT".into(),
            frames: Bytes::from_static(b"S\0\0\0\x04"),
        },
    }
}

fn done_reply() -> OwnerReply {
    OwnerReply::Done {
        transaction: TransactionState::Open,
        required_position: None,
        replacement_position: Some(RequiredPosition { term: Term(2), position: LogPosition(5) }),
        age: None,
        wait: Micros(12),
    }
}

fn member(name: &str) -> MemberInfo {
    MemberInfo {
        name: name.into(),
        data_centre: "ondangwa".into(),
        peer_address: "127.0.0.1:1".parse().unwrap(),
        admin_address: "127.0.0.1:2".parse().unwrap(),
        incarnation: 9,
        state: MemberState::Leaving,
    }
}

#[test]
fn heartbeat_arrives_unchanged_and_is_answered() {
    let mut harness = PeerHarness::new();
    let sent = Heartbeat {
        from: member("node-1"),
        digest: 5,
        revisions: vec![("config".into(), 3)],
        changes: vec![member("node-2")],
    };
    let answer = Rc::new(RefCell::new(None));
    let slot = answer.clone();
    let address = harness.listener.local_addr().unwrap();
    harness.clients.heartbeat(&mut harness.stakker, address, &sent, TIMEOUT, move |result| {
        *slot.borrow_mut() = Some(result);
    });
    harness.accept();
    let PeerRequest::Heartbeat { heartbeat, reply } = harness.next_request() else { panic!() };
    assert_eq!(heartbeat, sent);
    reply.send(heartbeat).unwrap();
    let arrived = answer.clone();
    harness.run_until(|| arrived.borrow().is_some());
    assert_eq!(answer.take(), Some(Ok(sent)));
}

struct ForwardedCall {
    received: Rc<RefCell<Vec<(Bytes, ChunkPermit)>>>,
    answer: Rc<RefCell<Option<ForwardResult>>>,
    guard: Option<rpc::CallGuard>,
}

fn forward(harness: &mut PeerHarness, lane: Option<&rpc::LaneHandle>) -> ForwardedCall {
    let received = Rc::new(RefCell::new(Vec::new()));
    let answer = Rc::new(RefCell::new(None));
    let (chunks, slot) = (received.clone(), answer.clone());
    let chunks = move |bytes, permit| chunks.borrow_mut().push((bytes, permit));
    let done = move |result| *slot.borrow_mut() = Some(result);
    let address = harness.listener.local_addr().unwrap();
    let (clients, core) = (harness.clients.clone(), &mut harness.stakker);
    let guard = match lane {
        None => clients.execute(core, address, "node-1", &routed_request(), TIMEOUT, chunks, done),
        Some(lane) => clients.execute_on_lane(core, lane, &routed_request(), TIMEOUT, chunks, done),
    };
    ForwardedCall { received, answer, guard: Some(guard) }
}

#[test]
fn chunks_arrive_in_order_and_permits_are_held_until_delivery() {
    let mut harness = PeerHarness::new();
    let forwarded = forward(&mut harness, None);
    harness.accept();
    let (_, lane, arrived, answers) = harness.next_execute();
    assert_eq!((lane, arrived), (None, routed_request()));
    let released = Rc::new(Cell::new(0));
    for index in 0..4u8 {
        let count = released.clone();
        let permit = ChunkPermit::new(move || count.set(count.get() + 1));
        let chunk = Bytes::from(vec![index; rpc::CHUNK_BYTES]);
        answers.unbounded_send(AnswerPart::Chunk(chunk, permit)).ok().unwrap();
    }
    answers.unbounded_send(AnswerPart::End(done_reply(), None)).ok().unwrap();
    let received = forwarded.received.clone();
    harness.run_until(|| received.borrow().len() == 4);
    for _ in 0..20 {
        harness.stakker.run(Instant::now(), false);
        harness.poll.poll(Duration::from_millis(1)).unwrap();
    }
    assert_eq!(released.get(), 0, "a permit was released before its chunk was delivered");
    assert!(forwarded.answer.borrow().is_none());
    let first_bytes: Vec<u8> = received.borrow().iter().map(|(bytes, _)| bytes[0]).collect();
    assert_eq!(first_bytes, [0, 1, 2, 3]);
    received.borrow_mut().clear();
    let answer = forwarded.answer.clone();
    harness.run_until(|| answer.borrow().is_some());
    assert_eq!(released.get(), 4);
    let reply = answer.take().unwrap().ok().unwrap();
    assert_eq!(reply.reply, done_reply());
    assert!(reply.lane.is_none());
}

#[test]
fn cancelled_call_is_still_answered_and_dropped_call_is_reported() {
    let mut harness = PeerHarness::new();
    let mut forwarded = forward(&mut harness, None);
    harness.accept();
    let (call, _, _, answers) = harness.next_execute();
    forwarded.guard.as_ref().unwrap().cancel();
    assert!(
        matches!(harness.next_request(), PeerRequest::CallCancelled { call: id } if id == call)
    );
    answers.unbounded_send(AnswerPart::End(done_reply(), None)).ok().unwrap();
    let answer = forwarded.answer.clone();
    harness.run_until(|| answer.borrow().is_some());
    assert!(answer.take().unwrap().is_ok());
    harness.expect_finished();
    drop(forwarded.guard.take());

    let mut forwarded = forward(&mut harness, None);
    let (call, _, _, _answers) = harness.next_execute();
    drop(forwarded.guard.take());
    assert!(matches!(harness.next_request(), PeerRequest::CallDropped { call: id } if id == call));
    harness.expect_finished();
    assert!(forwarded.answer.borrow().is_none());
}

#[test]
fn lane_is_released_when_dropped_and_when_the_connection_breaks() {
    for connection_breaks in [false, true] {
        let mut harness = PeerHarness::new();
        let forwarded = forward(&mut harness, None);
        let stream = harness.accept();
        let (_, _, _, answers) = harness.next_execute();
        answers.unbounded_send(AnswerPart::End(done_reply(), Some(LaneId(4)))).ok().unwrap();
        let answer = forwarded.answer.clone();
        harness.run_until(|| answer.borrow().is_some());
        let lane = answer.take().unwrap().ok().unwrap().lane.unwrap();
        harness.expect_finished();
        let second = forward(&mut harness, Some(&lane));
        let (_, lane_id, _, answers) = harness.next_execute();
        assert_eq!(lane_id, Some(LaneId(4)));
        if connection_breaks {
            stream.close();
            drop(answers);
            let answer = second.answer.clone();
            harness.run_until(|| answer.borrow().is_some());
            assert!(answer.take().unwrap().err().unwrap().may_have_arrived());
        } else {
            answers.unbounded_send(AnswerPart::End(done_reply(), None)).ok().unwrap();
            let answer = second.answer.clone();
            harness.run_until(|| answer.borrow().is_some());
            assert!(answer.take().unwrap().ok().unwrap().lane.is_none());
        }
        drop(lane);
        let requests = harness.requests.clone();
        harness.run_until(|| {
            requests.borrow().iter().any(|request| {
                matches!(request, PeerRequest::LaneDropped { lane } if *lane == LaneId(4))
            })
        });
    }
}

#[test]
fn refused_connection_is_reported_as_not_sent_and_the_next_call_reconnects() {
    let mut harness = PeerHarness::new();
    let address = harness.listener.local_addr().unwrap();
    harness.listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let failure = Rc::new(RefCell::new(None));
    let slot = failure.clone();
    harness.clients.view(&mut harness.stakker, address, "billing", TIMEOUT, move |result| {
        *slot.borrow_mut() = Some(result);
    });
    let arrived = failure.clone();
    harness.run_until(|| arrived.borrow().is_some());
    let error = failure.take().unwrap().unwrap_err();
    assert!(!error.may_have_arrived(), "{error}");

    harness.listener = std::net::TcpListener::bind(address).unwrap();
    let forwarded = forward(&mut harness, None);
    harness.accept();
    let (_, _, _, answers) = harness.next_execute();
    answers.unbounded_send(AnswerPart::End(done_reply(), None)).ok().unwrap();
    let answer = forwarded.answer.clone();
    harness.run_until(|| answer.borrow().is_some());
    assert!(answer.take().unwrap().is_ok());
}

#[test]
fn silent_peer_times_out() {
    let mut harness = PeerHarness::new();
    let failure = Rc::new(RefCell::new(None));
    let slot = failure.clone();
    let address = harness.listener.local_addr().unwrap();
    let timeout = Duration::from_millis(50);
    harness.clients.pull_table(&mut harness.stakker, address, timeout, move |result| {
        *slot.borrow_mut() = Some(result);
    });
    let arrived = failure.clone();
    harness.run_until(|| arrived.borrow().is_some());
    assert_eq!(failure.take().unwrap().unwrap_err(), PeerCallError::TimedOut { address });
}
