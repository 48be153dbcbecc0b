//! Calls between two sides over loopback, in one loop.

#![allow(clippy::unwrap_used)]

use std::cell::{Cell, RefCell};
use std::rc::Rc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use futures::channel::mpsc::UnboundedSender;
use member::{Heartbeat, MemberInfo, MemberState};
use model::{LabelSet, LogPosition, Micros, Rank, SessionFloor, Term};
use node::{CallId, CallerRequest, LaneId, RequestKind, TransactionState, WorkReply, WorkRequest};
use rpc::{
    AnswerPart, CallIds, ChunkPermit, ForwardReply, PeerCallError, PeerClients, PeerRequest,
    RpcStream, TaskPool, serve_peer,
};
use stakker::{Fwd, Stakker};
use stakker_mio::MioPoll;
use stakker_mio::mio::net::TcpStream;
use stakker_mio::mio::{Events, Poll};

const TIMEOUT: Duration = Duration::from_secs(5);

type Answer = Result<ForwardReply, PeerCallError>;

struct Rig {
    stakker: Stakker,
    poll: MioPoll,
    listener: std::net::TcpListener,
    pool: TaskPool,
    clients: PeerClients,
    requests: Rc<RefCell<Vec<PeerRequest>>>,
}

impl Rig {
    fn new() -> Self {
        let mut stakker = Stakker::new(Instant::now());
        let events = Events::with_capacity(64);
        let poll = MioPoll::new(&mut stakker, Poll::new().unwrap(), events, 10).unwrap();
        let pool = TaskPool::new(&mut stakker);
        let listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
        let clients = PeerClients::new(pool.clone());
        Rig { stakker, poll, listener, pool, clients, requests: Rc::default() }
    }

    /// Accepts the client's connection, which must have been opened.
    fn accept(&mut self) -> RpcStream {
        let (stream, _) = self.listener.accept().unwrap();
        stream.set_nonblocking(true).unwrap();
        let stream = RpcStream::new(&self.poll, TcpStream::from_std(stream)).unwrap();
        let requests = self.requests.clone();
        let forward = Fwd::new(move |request| requests.borrow_mut().push(request));
        serve_peer(&self.pool, stream.clone(), forward, CallIds::default());
        stream
    }

    fn run_until(&mut self, mut done: impl FnMut() -> bool) {
        let deadline = Instant::now() + TIMEOUT;
        while !done() {
            assert!(Instant::now() < deadline, "not done in time");
            self.stakker.run(Instant::now(), false);
            self.poll.poll(Duration::from_millis(1)).unwrap();
        }
    }

    fn next_request(&mut self) -> PeerRequest {
        let requests = self.requests.clone();
        self.run_until(|| !requests.borrow().is_empty());
        requests.borrow_mut().remove(0)
    }

    /// Expects the report that a call's answer is complete, or that the call is over without one.
    fn expect_finished(&mut self) {
        assert!(matches!(self.next_request(), PeerRequest::Finished));
    }

    fn next_execute(
        &mut self,
    ) -> (CallId, Option<LaneId>, WorkRequest, UnboundedSender<AnswerPart>) {
        match self.next_request() {
            PeerRequest::Execute { call, lane, work, answers, .. } => (call, lane, *work, answers),
            _ => panic!("expected a request to execute"),
        }
    }
}

fn work() -> WorkRequest {
    WorkRequest {
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
        floor: Some(SessionFloor { term: Term(3), position: LogPosition(77) }),
        arrived_ago: None,
        request_key: Some("k1".into()),
        user: "vendor".into(),
        request: CallerRequest {
            kind: RequestKind::Extended,
            text: "INSERT".into(),
            frames: Bytes::from_static(b"S\0\0\0\x04"),
        },
    }
}

fn done_reply() -> WorkReply {
    WorkReply::Done {
        transaction: TransactionState::Open,
        floor: None,
        lost: Some(SessionFloor { term: Term(2), position: LogPosition(5) }),
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
    let mut rig = Rig::new();
    let sent = Heartbeat {
        from: member("node-1"),
        digest: 5,
        revisions: vec![("config".into(), 3)],
        changes: vec![member("node-2")],
    };
    let answer = Rc::new(RefCell::new(None));
    let slot = answer.clone();
    let address = rig.listener.local_addr().unwrap();
    rig.clients.heartbeat(&mut rig.stakker, address, &sent, TIMEOUT, move |result| {
        *slot.borrow_mut() = Some(result);
    });
    rig.accept();
    let PeerRequest::Heartbeat { heartbeat, reply } = rig.next_request() else { panic!() };
    assert_eq!(heartbeat, sent);
    reply.send(heartbeat).unwrap();
    let arrived = answer.clone();
    rig.run_until(|| arrived.borrow().is_some());
    assert_eq!(answer.take(), Some(Ok(sent)));
}

struct Forwarded {
    received: Rc<RefCell<Vec<(Bytes, ChunkPermit)>>>,
    answer: Rc<RefCell<Option<Answer>>>,
    guard: Option<rpc::CallGuard>,
}

fn forward(rig: &mut Rig, lane: Option<&rpc::LaneHandle>) -> Forwarded {
    let received = Rc::new(RefCell::new(Vec::new()));
    let answer = Rc::new(RefCell::new(None));
    let (chunks, slot) = (received.clone(), answer.clone());
    let chunks = move |bytes, permit| chunks.borrow_mut().push((bytes, permit));
    let done = move |result| *slot.borrow_mut() = Some(result);
    let address = rig.listener.local_addr().unwrap();
    let (clients, core) = (rig.clients.clone(), &mut rig.stakker);
    let guard = match lane {
        None => clients.execute(core, address, "node-1", &work(), TIMEOUT, chunks, done),
        Some(lane) => clients.execute_on_lane(core, lane, &work(), TIMEOUT, chunks, done),
    };
    Forwarded { received, answer, guard: Some(guard) }
}

#[test]
fn chunks_arrive_in_order_and_permits_wait_for_the_caller() {
    let mut rig = Rig::new();
    let forwarded = forward(&mut rig, None);
    rig.accept();
    let (_, lane, arrived, answers) = rig.next_execute();
    assert_eq!((lane, arrived), (None, work()));
    let returned = Rc::new(Cell::new(0));
    for index in 0..4u8 {
        let count = returned.clone();
        let permit = ChunkPermit::new(move || count.set(count.get() + 1));
        let chunk = Bytes::from(vec![index; rpc::CHUNK_BYTES]);
        answers.unbounded_send(AnswerPart::Chunk(chunk, permit)).ok().unwrap();
    }
    answers.unbounded_send(AnswerPart::End(done_reply(), None)).ok().unwrap();
    let received = forwarded.received.clone();
    rig.run_until(|| received.borrow().len() == 4);
    for _ in 0..20 {
        rig.stakker.run(Instant::now(), false);
        rig.poll.poll(Duration::from_millis(1)).unwrap();
    }
    assert_eq!(returned.get(), 0, "a permit returned before the caller took the chunk");
    assert!(forwarded.answer.borrow().is_none());
    let firsts: Vec<u8> = received.borrow().iter().map(|(bytes, _)| bytes[0]).collect();
    assert_eq!(firsts, [0, 1, 2, 3]);
    received.borrow_mut().clear();
    let answer = forwarded.answer.clone();
    rig.run_until(|| answer.borrow().is_some());
    assert_eq!(returned.get(), 4);
    let reply = answer.take().unwrap().ok().unwrap();
    assert_eq!(reply.reply, done_reply());
    assert!(reply.lane.is_none());
}

#[test]
fn cancelled_call_is_still_answered_and_dropped_call_is_reported() {
    let mut rig = Rig::new();
    let mut forwarded = forward(&mut rig, None);
    rig.accept();
    let (call, _, _, answers) = rig.next_execute();
    forwarded.guard.as_ref().unwrap().cancel();
    assert!(matches!(rig.next_request(), PeerRequest::Cancelled { call: id } if id == call));
    answers.unbounded_send(AnswerPart::End(done_reply(), None)).ok().unwrap();
    let answer = forwarded.answer.clone();
    rig.run_until(|| answer.borrow().is_some());
    assert!(answer.take().unwrap().is_ok());
    rig.expect_finished();
    drop(forwarded.guard.take());

    let mut forwarded = forward(&mut rig, None);
    let (call, _, _, _answers) = rig.next_execute();
    drop(forwarded.guard.take());
    assert!(matches!(rig.next_request(), PeerRequest::Dropped { call: id } if id == call));
    rig.expect_finished();
    assert!(forwarded.answer.borrow().is_none());
}

#[test]
fn lane_is_released_when_dropped_and_when_the_link_breaks() {
    for link_breaks in [false, true] {
        let mut rig = Rig::new();
        let forwarded = forward(&mut rig, None);
        let stream = rig.accept();
        let (_, _, _, answers) = rig.next_execute();
        answers.unbounded_send(AnswerPart::End(done_reply(), Some(LaneId(4)))).ok().unwrap();
        let answer = forwarded.answer.clone();
        rig.run_until(|| answer.borrow().is_some());
        let lane = answer.take().unwrap().ok().unwrap().lane.unwrap();
        rig.expect_finished();
        let second = forward(&mut rig, Some(&lane));
        let (_, on, _, answers) = rig.next_execute();
        assert_eq!(on, Some(LaneId(4)));
        if link_breaks {
            stream.close();
            drop(answers);
            let answer = second.answer.clone();
            rig.run_until(|| answer.borrow().is_some());
            assert!(answer.take().unwrap().err().unwrap().may_have_arrived());
        } else {
            answers.unbounded_send(AnswerPart::End(done_reply(), None)).ok().unwrap();
            let answer = second.answer.clone();
            rig.run_until(|| answer.borrow().is_some());
            assert!(answer.take().unwrap().ok().unwrap().lane.is_none());
        }
        drop(lane);
        let requests = rig.requests.clone();
        rig.run_until(|| {
            requests.borrow().iter().any(|request| {
                matches!(request, PeerRequest::LaneDropped { lane } if *lane == LaneId(4))
            })
        });
    }
}

#[test]
fn refused_connection_is_reported_as_not_sent_and_the_next_call_reconnects() {
    let mut rig = Rig::new();
    let address = rig.listener.local_addr().unwrap();
    rig.listener = std::net::TcpListener::bind("127.0.0.1:0").unwrap();
    let failure = Rc::new(RefCell::new(None));
    let slot = failure.clone();
    rig.clients.view(&mut rig.stakker, address, "billing", TIMEOUT, move |result| {
        *slot.borrow_mut() = Some(result);
    });
    let arrived = failure.clone();
    rig.run_until(|| arrived.borrow().is_some());
    let error = failure.take().unwrap().unwrap_err();
    assert!(!error.may_have_arrived(), "{error}");

    rig.listener = std::net::TcpListener::bind(address).unwrap();
    let forwarded = forward(&mut rig, None);
    rig.accept();
    let (_, _, _, answers) = rig.next_execute();
    answers.unbounded_send(AnswerPart::End(done_reply(), None)).ok().unwrap();
    let answer = forwarded.answer.clone();
    rig.run_until(|| answer.borrow().is_some());
    assert!(answer.take().unwrap().is_ok());
}

#[test]
fn silent_peer_times_out() {
    let mut rig = Rig::new();
    let failure = Rc::new(RefCell::new(None));
    let slot = failure.clone();
    let address = rig.listener.local_addr().unwrap();
    let timeout = Duration::from_millis(50);
    rig.clients.pull_table(&mut rig.stakker, address, timeout, move |result| {
        *slot.borrow_mut() = Some(result);
    });
    let arrived = failure.clone();
    rig.run_until(|| arrived.borrow().is_some());
    assert_eq!(failure.take().unwrap().unwrap_err(), PeerCallError::TimedOut { address });
}
