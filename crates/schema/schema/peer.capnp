@0xb6f1a7c09d3e5c21;

# Messages between the nodes of a fleet. Times are in microseconds. An empty text stands for an absent
# one where a field says so.

enum MemberState {
  alive @0;
  leaving @1;
  suspected @2;
  dead @3;
}

struct Member {
  name @0 :Text;
  dataCentre @1 :Text;
  # IP address and port.
  peerAddress @2 :Text;
  adminAddress @3 :Text;
  incarnation @4 :UInt64;
  state @5 :MemberState;
}

struct Revision {
  document @0 :Text;
  revision @1 :UInt64;
}

struct Heartbeat {
  sender @0 :Member;
  digest @1 :UInt64;
  revisions @2 :List(Revision);
  changes @3 :List(Member);
}

struct Document {
  revision @0 :UInt64;
  bytes @1 :Data;
}

struct View {
  term @0 :UInt64;
  # Empty if not known.
  leader @1 :Text;
  confirmed :union {
    never @2 :Void;
    ago @3 :UInt64;
  }
}

struct Floor {
  term @0 :UInt64;
  position @1 :UInt64;
}

struct OptionalTime {
  union {
    none @0 :Void;
    micros @1 :UInt64;
  }
}

struct Label {
  key @0 :Text;
  value @1 :Text;
}

enum Rank {
  urgent @0;
  interactive @1;
  batch @2;
}

enum RequestKind {
  simple @0;
  extended @1;
}

enum TransactionState {
  idle @0;
  open @1;
  failed @2;
}

struct Work {
  database @0 :Text;
  caller @1 :Text;
  labels @2 :List(Label);
  selector @3 :Text;
  rank @4 :Rank;
  timeLeft @5 :UInt64;
  read @6 :Bool;
  commits @7 :Bool;
  durable @8 :Bool;
  maxAge @9 :OptionalTime;
  # Null if the session has none.
  floor @10 :Floor;
  arrivedAgo @11 :OptionalTime;
  hasRequestKey @12 :Bool;
  requestKey @13 :Text;
  user @14 :Text;
  kind @15 :RequestKind;
  text @16 :Text;
  frames @17 :Data;
}

struct Reply {
  union {
    done :group {
      transaction @0 :TransactionState;
      # Null if absent.
      floor @1 :Floor;
      lost @2 :Floor;
      repeated @3 :Bool;
      age @4 :OptionalTime;
      wait @5 :UInt64;
    }
    declined :group {
      reason @6 :Decline;
      age @7 :OptionalTime;
      wait @8 :UInt64;
    }
    rolledBack @9 :Text;
    unknown @10 :Text;
    readFailed :group {
      relayed @11 :Bool;
      message @12 :Text;
    }
    recorded :group {
      # The tag unless there is an error.
      commandTag @13 :Text;
      # Null if there is none.
      error @14 :ErrorReply;
      transaction @15 :TransactionState;
      # Null if absent.
      floor @16 :Floor;
    }
  }
}

struct ErrorReply {
  # SQLSTATE.
  code @0 :Text;
  message @1 :Text;
}

struct Decline {
  union {
    # The name of the leader, empty if not known.
    notLeader @0 :Text;
    noProof @1 :Void;
    notOwner @2 :Text;
    unavailable @3 :Void;
    queueFull @4 :UInt32;
    deadline @5 :UInt64;
    leaving @6 :Void;
  }
}

interface AnswerSink {
  # Passes on a part of the answer, at most 64 KB. Returns when the part was written to the caller, so
  # that the number of calls in flight bounds what is buffered.
  write @0 (chunk :Data) -> ();
}

interface Lane {
  # A connection that is pinned for an open transaction. It is released when the capability is dropped.
  execute @0 (call :UInt64, work :Work, sink :AnswerSink) -> (reply :Reply, open :Bool);
}

interface Peer {
  heartbeat @0 (heartbeat :Heartbeat) -> (answer :Heartbeat);
  pullTable @1 () -> (members :List(Member));
  # Null if the document is not held.
  pullDocument @2 (document :Text) -> (document :Document);
  # Null if the cluster is not known.
  view @3 (cluster :Text) -> (view :View);
  # `call` is unique among the calls of this connection. Dropping the call gives the work up. `lane` is
  # null unless a transaction is open.
  execute @4 (sender :Text, call :UInt64, work :Work, sink :AnswerSink) -> (reply :Reply, lane :Lane);
  # Cancels the work of a call on this connection, which is still answered.
  cancel @5 (call :UInt64) -> ();
}
