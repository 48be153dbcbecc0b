# The operators' configuration of the whole fleet. A JSON key is the field's name in snake_case.

@0xcadb809530499809;

using import "annotations.capnp".doc;
using import "annotations.capnp".required;
using import "annotations.capnp".unit;
using import "annotations.capnp".min;
using import "annotations.capnp".max;
using import "annotations.capnp".kind;
using import "annotations.capnp".example;

struct FleetConfig {
  clusters @0 :List(Cluster)
    $doc("Replicated groups of backend servers, each with one primary.")
    $required $min(1) $max(1000);
  callers @1 :List(CallerLabels)
    $doc("Labels attached to callers. All entries that match apply, later ones replace equal keys.")
    $max(10000);
  selectors @2 :List(Selector)
    $doc("Which work belongs together and how it is served. The first that matches decides.")
    $max(1000);
  ranks @3 :RankShares
    $doc("Minimum shares and queue limits of the ranks.");
}

struct Cluster {
  name @0 :Text
    $doc("Name of the cluster, also the database name that callers connect to.")
    $required $kind(name) $example("\"billing-1\"");
  databases @1 :List(Database)
    $doc("Backend servers of the cluster.")
    $required $min(1) $max(15);
}

struct Database {
  name @0 :Text
    $doc("Name of the backend server, unique in the fleet.")
    $required $kind(name) $example("\"billing-1-a\"");
  dataCentre @1 :Text
    $doc("Data centre in which the backend server runs.")
    $required $kind(name) $example("\"north-1\"");
  address @2 :Text
    $doc("Where the backend server listens with the PostgreSQL protocol.")
    $required $kind(reachableAddress) $example("\"10.0.1.21:5432\"");
  labels @3 :List(Label)
    $doc("Labels of the backend server, matched by the selectors' servers.")
    $max(32) $kind(labels) $example("{ \"disk\": \"fast\" }");
  slots @4 :UInt32
    $doc("Statements that execute at once. At most the number of connections.")
    $required $unit("statements") $min(1) $max(1000) $example("2");
  connections @5 :UInt32
    $doc("Connections that the system may open, report connections included.")
    $required $unit("connections") $min(2) $max(10000) $example("16");
  leaving @6 :Bool = false
    $doc("A leaving backend server gets no new work.");
}

struct Label {
  key @0 :Text;
  value @1 :Text;
}

struct CallerLabels {
  matches @0 :Text
    $doc("Selector over the caller's user, application, address and database.")
    $required $kind(selector) $example("\"user=kiosk-app\"");
  labels @1 :List(Label)
    $doc("Labels that these callers get.")
    $required $max(32) $kind(labels) $example("{ \"kind\": \"kiosk\" }");
}

struct Selector {
  name @0 :Text
    $doc("Name of the selector, shown in reports.")
    $required $kind(name) $example("\"purchases\"");
  matches @1 :Text
    $doc("Selector over caller and session labels. An empty one matches everything.")
    $required $kind(selector) $example("\"kind in (kiosk, vendor), !report\"");
  rank @2 :RankName = interactive
    $doc("Rank of the work.") $example("\"urgent\"");
  maxAgeMs @3 :UInt32 = 0
    $doc("Accepted data age of reads. With 0, reads need the primary's current data.")
    $unit("ms") $min(0) $max(604800000);
  deadlineMs @4 :UInt32 = 10000
    $doc("Time from the arrival of a request to the end of the answer.")
    $unit("ms") $min(1) $max(3600000) $example("2000");
  durable @5 :Bool = false
    $doc("Acknowledge writes only after a majority of the cluster has received them.")
    $example("true");
  servers @6 :Text
    $doc("Selector over labels of backend servers that may serve reads. An empty one allows all.")
    $kind(selector) $example("\"disk=fast\"");
}

enum RankName {
  urgent @0;
  interactive @1;
  batch @2;
}

struct RankShares {
  urgent @0 :RankShare $doc("Token purchases and receipts. Served first.");
  interactive @1 :RankShare $doc("Balance checks and catalogue reads.");
  batch @2 :RankShare $doc("Readings uploads and reports.");
}

struct RankShare {
  floorPercent @0 :UInt32 = 10
    $doc("Share of slot time that the rank keeps while it has work. All ranks: at most 90 together.")
    $unit("percent") $min(0) $max(90);
  queueLimit @1 :UInt32 = 1024
    $doc("Requests that may wait for one backend server.")
    $unit("requests") $min(1) $max(1024);
}
