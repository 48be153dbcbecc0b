# Settings of one node, read from a file at start. A JSON key is the field's name in snake_case.

@0xf8ed7a590345a0d8;

using import "annotations.capnp".doc;
using import "annotations.capnp".required;
using import "annotations.capnp".unit;
using import "annotations.capnp".min;
using import "annotations.capnp".max;
using import "annotations.capnp".kind;
using import "annotations.capnp".example;

struct NodeSettings {
  name @0 :Text
    $doc("Name of this node, unique in the fleet.")
    $required $kind(name) $example("\"vm-1\"");
  dataCentre @1 :Text
    $doc("Data centre in which this node runs.")
    $required $kind(name) $example("\"north-1\"");
  callerAddress @2 :Text
    $doc("Where callers connect with the PostgreSQL protocol.")
    $required $kind(address) $example("\"0.0.0.0:5432\"");
  peerAddress @3 :Text
    $doc("Where other nodes connect.")
    $required $kind(reachableAddress) $example("\"10.0.0.11:7400\"");
  adminAddress @4 :Text
    $doc("Where operators connect with HTTP.")
    $required $kind(reachableAddress) $example("\"10.0.0.11:7401\"");
  platformAddress @5 :Text
    $doc("Where the platform's key-value service listens.")
    $required $kind(reachableAddress) $example("\"10.0.0.2:8500\"");
  peers @6 :List(Text)
    $doc("Peer addresses to ask first while the platform is unavailable.")
    $max(64) $kind(reachableAddress) $example("[\"10.0.0.12:7400\", \"10.0.0.13:7400\"]");
  metricsAddress @7 :Text
    $doc("Where counters are sent in statsd format over UDP. Without it none are sent.")
    $kind(reachableAddress) $example("\"127.0.0.1:8125\"");
  databaseUser @8 :Text = "cicadawick"
    $doc("User that this node connects as to backend servers.")
    $kind(name);
  callerLimit @9 :UInt32 = 20000
    $doc("Caller connections that this node accepts at once.")
    $unit("connections") $min(1) $max(200000);
  requestLimitBytes @10 :UInt32 = 1048576
    $doc("Largest request of a caller. Larger ones are refused.")
    $unit("bytes") $min(1024) $max(1048576);
  drainTimeoutMs @11 :UInt32 = 30000
    $doc("Time that a graceful shutdown waits for requests in flight.")
    $unit("ms") $min(0) $max(600000);
  logLevel @12 :LogLevel = info
    $doc("Least severe level that is logged.");
}

enum LogLevel {
  error @0;
  warn @1;
  info @2;
  debug @3;
  trace @4;
}
