@0xb1f3a7c2d94e6058;
# Messages between entry VMs. The generated code is committed; regenerate it
# with tools/generate-rpc after a change. Fields may be added but never changed
# or removed.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("figturn::rpc");

struct RampGrant {
  target @0 :Text;
  bootId @1 :Text;
  level @2 :UInt32;
  sequence @3 :UInt64;
}

struct RampReport {
  target @0 :Text;
  bootId @1 :Text;
  sequence @2 :UInt64;
  successes @3 :UInt64;
  regressed @4 :Bool;
}

struct RegressNotice {
  target @0 :Text;
  bootId @1 :Text;
}

struct CrashNotice {
  fingerprint @0 :UInt64;
  crashes @1 :UInt32;
  remainingMs @2 :UInt32;
}

struct Heartbeat {
  vm @0 :Text;
  bootId @1 :Text;
  dataCentre @2 :Text;
  peerAddress @3 :Text;
  callerAddress @4 :Text;
  epoch @5 :UInt64;
  activated @6 :Bool;
  drainMs @7 :UInt32;
  memberList @8 :Data;
  configVersion @9 :UInt64;
  indexDigest @10 :UInt64;
  draining @11 :Bool;
  drained @12 :Bool;
  reports @13 :List(RampReport);
  regresses @14 :List(RegressNotice);
  grants @15 :List(RampGrant);
  quarantines @16 :List(CrashNotice);
}

struct Document {
  path @0 :Text;
  version @1 :UInt64;
  body @2 :Data;
}

struct TargetCall {
  vm @0 :Text;
  callId @1 :UInt64;
  target @2 :Text;
  path @3 :Text;
  body @4 :Data;
  deadlineMs @5 :UInt32;
  urgent @6 :Bool;
  singleRun @7 :Bool;
  epoch @8 :UInt64;
}

struct TargetResult {
  error @0 :Text;
  # Name of an Errc; empty if a complete reply was received.
  status @1 :UInt32;
  body @2 :Data;
  verdict @3 :Text;
  bootId @4 :Text;
  crashed @5 :Bool;
  latencyUs @6 :UInt64;
}

struct HolderReply {
  settled @0 :Bool;
  phase @1 :Text;
  verdict @2 :Text;
  reason @3 :Text;
  result @4 :Data;
  releaseAgeMs @5 :UInt32;
}

enum CanaryVerdict {
  proceed @0;
  wait @1;
  knownGood @2;
  quarantined @3;
}

enum CanaryOutcome {
  ok @0;
  crashed @1;
  inconclusive @2;
}

interface Peer {
  heartbeat @0 (beat :Heartbeat) -> (reply :Heartbeat);
  pullDocuments @1 (paths :List(Text)) -> (documents :List(Document));
  # Returns the configuration, index snapshots and member list of this VM.
  runCall @2 (call :TargetCall) -> (result :TargetResult);
  # Runs a call in a slot that the receiver owns. Cancelling the RPC cancels
  # the call.
  askCanary @3 (fingerprint :UInt64) -> (verdict :CanaryVerdict, canary :UInt64, remainingMs :UInt32);
  reportCanary @4 (fingerprint :UInt64, canary :UInt64, outcome :CanaryOutcome) -> ();
  # Returns once all reachable peers were notified of a crash.
  learnCrash @5 (notice :CrashNotice) -> ();
  awaitSingleRun @6 (token :Text, waitMs :UInt32) -> (reply :HolderReply);
  # Returns the outcome of the attempt that holds a single-run request's record.
}
