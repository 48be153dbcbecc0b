//! Tests of the real daemon with crowds of clients that misbehave. They check what does not depend on the speed of the
//! machine: the process lives, its memory and descriptors stay below a bound that follows from its settings, and an ordinary
//! request is answered while the crowd is still connected.

#![allow(clippy::unwrap_used)]

mod common;

use std::io::{Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::MutexGuard;
use std::time::Duration;

use capnp::message::{Builder, HeapAllocator};
use capnp::traits::HasTypeId;
use capnp_rpc::rpc_capnp::message;
use common::{LocalFleet, ProxyProcess, wait_until};
use fake::crowd::{self, CrowdMember, PIECE_BYTES, run_alone, send_in_pieces};
use schema::peer_capnp::peer;

/// Most clients at once, by the settings of the test.
const CALLER_LIMIT: usize = 200;

/// Size of the largest request, by the settings of the test.
const REQUEST_LIMIT_BYTES: usize = 1024 * 1024;

/// Bound of the resident memory. A daemon without clients uses about 20 MB, and it is to hold at most 32 requests of the
/// largest size at once.
const MEMORY_MB: u64 = 20 + 32 + 24;

/// Bound of the descriptors: those of clients, 64 that are refused with an error, and 100 for everything else.
const MAX_DESCRIPTORS: usize = CALLER_LIMIT + 64 + 100;

/// Bound of the descriptors with a crowd of peers: at most 128 connections from peers.
const MAX_DESCRIPTORS_WITH_PEERS: usize = MAX_DESCRIPTORS + 128;

/// Maximum size of a message from a peer.
const PEER_MESSAGE_BYTES: usize = 8 * 1024 * 1024;

const CROWD_SIZE: usize = 150;
fn start() -> (MutexGuard<'static, ()>, LocalFleet) {
    let alone = run_alone();
    let limits = serde_json::json!({
        "caller_limit": CALLER_LIMIT, "request_limit_bytes": REQUEST_LIMIT_BYTES,
    });
    (alone, LocalFleet::start_with_settings(&limits))
}

/// Checks what must hold with a crowd.
fn check(proxy: &mut ProxyProcess, crowd: &str) {
    check_within(proxy, crowd, MAX_DESCRIPTORS);
}

fn check_within(proxy: &mut ProxyProcess, crowd: &str, max_descriptors: usize) {
    wait_until("an ordinary request is answered beside the crowd", || {
        let client = proxy.try_connect("billing", "");
        client.is_ok_and(|mut client| client.batch_execute("SELECT 1").is_ok())
    });
    wait_until("an operator is answered beside the crowd", || operator_is_answered(proxy));
    let (memory, descriptors) = (proxy.peak_resident_bytes() / 1_048_576, proxy.descriptors());
    eprintln!("{crowd}: peak of {memory} MB of {MEMORY_MB}, {descriptors} descriptors");
    assert!(proxy.is_running(), "{crowd}: the process has ended");
    assert!(memory <= MEMORY_MB, "{crowd}: {memory} MB are above the {MEMORY_MB} MB");
    assert!(descriptors <= max_descriptors, "{crowd}: {descriptors} descriptors");
}

fn operator_is_answered(proxy: &ProxyProcess) -> bool {
    let request = b"GET /v1/health HTTP/1.1\r\nHost: n\r\nConnection: close\r\n\r\n";
    let Ok(mut stream) = TcpStream::connect(proxy.admin_address) else { return false };
    stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
    let mut answer = String::new();
    stream.write_all(request).is_ok()
        && stream.read_to_string(&mut answer).is_ok()
        && answer.contains("\"ready\"")
}

/// Connects a crowd that sends in pieces and reads, until all have sent everything or none can send on.
fn gather(address: SocketAddr, size: usize, output: &[u8]) -> Vec<CrowdMember> {
    gather_with(address, size, output, true)
}

fn gather_with(address: SocketAddr, size: usize, output: &[u8], reads: bool) -> Vec<CrowdMember> {
    let mut crowd = crowd::gather(address, size, output, reads).unwrap();
    send_in_pieces(&mut crowd, PIECE_BYTES);
    crowd
}

fn startup_packet() -> Vec<u8> {
    let mut packet = bytes::BytesMut::new();
    pg::put_startup(&mut packet, &[("user", "vendor"), ("database", "billing")]);
    packet.to_vec()
}

fn query(length: usize) -> Vec<u8> {
    let mut message = vec![b'Q'];
    message.extend((length as u32 + 5).to_be_bytes());
    message.extend(std::iter::repeat_n(b' ', length));
    message.push(0);
    message
}

/// Guards against requests that are begun and never completed.
#[test]
fn requests_that_stop_half_way_stay_within_the_memory() {
    let (_alone, mut fleet) = start();
    let proxy = &mut fleet.proxies[0];
    let mut output = startup_packet();
    output.extend(query(REQUEST_LIMIT_BYTES - 1024));
    output.truncate(output.len() - 16);
    let _crowd = gather(proxy.caller_address, CROWD_SIZE, &output);
    check(proxy, "requests begun");
}

/// Guards against a process that holds the largest requests of a whole crowd at once.
#[test]
fn many_large_requests_stay_within_the_memory() {
    let (_alone, mut fleet) = start();
    let proxy = &mut fleet.proxies[0];
    let mut output = startup_packet();
    for _ in 0..2 {
        output.extend(query(REQUEST_LIMIT_BYTES - 1024));
    }
    let _crowd = gather(proxy.caller_address, CROWD_SIZE, &output);
    check(proxy, "whole requests");
}

/// Guards against requests far over the limit that are collected before they are refused.
#[test]
fn requests_far_over_the_limit_stay_within_the_memory() {
    let (_alone, mut fleet) = start();
    let proxy = &mut fleet.proxies[0];
    let mut output = startup_packet();
    output.extend(query(8 * REQUEST_LIMIT_BYTES));
    let _crowd = gather(proxy.caller_address, CROWD_SIZE, &output);
    check(proxy, "requests over the limit");
}

/// Guards against connections that send nothing and take the places of ordinary clients.
#[test]
fn connections_without_a_first_message_leave_room_for_others() {
    let (_alone, mut fleet) = start();
    let proxy = &mut fleet.proxies[0];
    let _crowd = gather(proxy.caller_address, 2 * CALLER_LIMIT, b"");
    check(proxy, "no first message");
}

/// Guards against an operators' port that collects headers without end, or keeps a thread and a descriptor for each silent
/// connection.
#[test]
fn crowds_at_the_operators_port_leave_it_usable() {
    let (_alone, mut fleet) = start();
    let proxy = &mut fleet.proxies[0];
    let mut output = b"GET /v1/health HTTP/1.1\r\nName: ".to_vec();
    output.extend(std::iter::repeat_n(b'x', 2 * 1024 * 1024));
    let crowd = gather(proxy.admin_address, CROWD_SIZE, &output);
    check(proxy, "long headers");
    drop(crowd);
    let _crowd = gather(proxy.admin_address, 600, b"GET /v1/health HTTP/1.1\r\nName");
    check(proxy, "half requests");
}

/// Guards against the tables of prepared statements of many sessions, each of legal size.
#[test]
fn statements_of_many_sessions_stay_within_the_memory() {
    let (_alone, mut fleet) = start();
    let proxy = &mut fleet.proxies[0];
    let mut output = bytes::BytesMut::from(&startup_packet()[..]);
    for index in 0..4 {
        let text = format!("SELECT 1 -- {}", "x".repeat(REQUEST_LIMIT_BYTES / 5));
        pg::put_parse(&mut output, &format!("p{index}"), &text, &[]);
        pg::put_sync(&mut output);
    }
    let _crowd = gather(proxy.caller_address, CROWD_SIZE, &output);
    check(proxy, "prepared statements");
}

/// Guards against session values of many sessions, each of legal size.
#[test]
fn labels_of_many_sessions_stay_within_the_memory() {
    let (_alone, mut fleet) = start();
    let proxy = &mut fleet.proxies[0];
    let labels: Vec<String> = (0..20_000).map(|index| format!("label{index}=x")).collect();
    let mut output = bytes::BytesMut::from(&startup_packet()[..]);
    pg::put_query(&mut output, &format!("SET cicadawick.labels = '{}'", labels.join(",")));
    let _crowd = gather(proxy.caller_address, CROWD_SIZE, &output);
    check(proxy, "session labels");
}

fn peer_message(fill: impl FnOnce(message::Builder<'_>)) -> Vec<u8> {
    let mut message = Builder::new(HeapAllocator::new());
    fill(message.init_root());
    capnp::serialize::write_message_to_words(&message)
}

/// Returns a call of a method of the peer that question 0 asks for.
fn peer_call(
    question: u32,
    method: u16,
    fill: impl FnOnce(capnp::any_pointer::Builder<'_>),
) -> Vec<u8> {
    peer_message(|message| {
        let mut call = message.init_call();
        call.set_question_id(question);
        call.set_interface_id(peer::Client::TYPE_ID);
        call.set_method_id(method);
        call.reborrow().init_target().init_promised_answer().set_question_id(0);
        fill(call.init_params().init_content());
    })
}

fn peer_bootstrap() -> Vec<u8> {
    peer_message(|message| message.init_bootstrap().set_question_id(0))
}

/// Checks what must hold with a crowd of peers, and that another peer is answered.
fn check_peers(proxy: &mut ProxyProcess, crowd: &str) {
    let output = [peer_bootstrap(), peer_call(1, 1, |_| {})].concat();
    wait_until("a peer is answered beside the crowd", || {
        let Ok(mut stream) = TcpStream::connect(proxy.peer_address) else { return false };
        stream.set_read_timeout(Some(Duration::from_secs(5))).unwrap();
        let mut answer = [0; 1024];
        // The name of the node is part of the answer to the call.
        let mut seen = Vec::new();
        stream.write_all(&output).is_ok()
            && std::iter::from_fn(|| {
                stream
                    .read(&mut answer)
                    .ok()
                    .filter(|count| *count > 0)
                    .map(|count| answer[..count].to_vec())
            })
            .any(|part| {
                seen.extend(part);
                seen.windows(4).any(|window| window == b"vm-1")
            })
    });
    check_within(proxy, crowd, MAX_DESCRIPTORS_WITH_PEERS);
}

/// Guards against connections that send nothing to the port for peers.
#[test]
fn peers_without_a_first_message_leave_room_for_others() {
    let (_alone, mut fleet) = start();
    let proxy = &mut fleet.proxies[0];
    let _crowd = gather(proxy.peer_address, 600, b"");
    check_peers(proxy, "silent peers");
}

/// Guards against messages of peers that are begun and never completed, or that are far over the limit.
#[test]
fn messages_of_peers_that_stop_half_way_stay_within_the_memory() {
    let (_alone, mut fleet) = start();
    let proxy = &mut fleet.proxies[0];
    let begun = |words: usize| {
        let mut output = vec![0; 4];
        output.extend((words as u32).to_le_bytes());
        output.resize(words * 8 - 16, 0);
        output
    };
    let _over = gather(proxy.peer_address, 20, &begun(PEER_MESSAGE_BYTES));
    let _crowd = gather(proxy.peer_address, 100, &begun(PEER_MESSAGE_BYTES / 16));
    check_peers(proxy, "messages of peers begun");
}

/// Guards against requests of legal size from peers that do not read the answers.
#[test]
fn large_requests_of_peers_that_read_nothing_stay_within_the_memory() {
    let (_alone, mut fleet) = start();
    let proxy = &mut fleet.proxies[0];
    let mut output = peer_bootstrap();
    let text = format!("SELECT 1 -- {}", "x".repeat(REQUEST_LIMIT_BYTES / 3));
    let mut frames = bytes::BytesMut::new();
    pg::put_query(&mut frames, &text);
    for question in 1..5 {
        output.extend(peer_call(question, 4, |params| {
            let mut params = params.init_as::<peer::execute_params::Builder<'_>>();
            params.set_sender("vm-2");
            params.set_call(question.into());
            let mut work = params.init_work();
            work.set_database("billing");
            work.set_caller("crowd");
            work.set_selector("all");
            work.set_user("vendor");
            work.set_time_left(30_000_000);
            work.set_text(&text);
            work.set_frames(&frames);
        }));
    }
    let _crowd = gather_with(proxy.peer_address, 120, &output, false);
    check_peers(proxy, "large requests of peers");
}

/// Guards against many small calls of peers that read no answer.
#[test]
fn small_calls_of_peers_that_read_nothing_stay_within_the_memory() {
    let (_alone, mut fleet) = start();
    let proxy = &mut fleet.proxies[0];
    let mut output = peer_bootstrap();
    for question in 1..100_000 {
        output.extend(peer_call(question, 1, |_| {}));
    }
    let _crowd = gather_with(proxy.peer_address, 4, &output, false);
    check_peers(proxy, "small calls of peers");
}
