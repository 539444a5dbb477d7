@0xd6a1c05b7e3f9248;
# Gossip messages that entry VMs exchange as datagrams. The generated code is
# committed; regenerate it with tools/generate-rpc after a change. Fields may
# be added but never changed or removed.

using Cxx = import "/capnp/c++.capnp";
$Cxx.namespace("figturn::rpc");

struct GossipVm {
  name @0 :Text;
  startedMs @1 :Int64;
  beat @2 :UInt64;
  phase @3 :UInt8;
  dataCentre @4 :Text;
  callerAddress @5 :Text;
  gossipAddress @6 :Text;
  stateAddress @7 :Text;
  configVersion @8 :UInt64;
  capacityPermille @9 :UInt32;
  lagMs @10 :UInt32;
  storeUnreachable @11 :Bool;
}

struct GossipBeat {
  key @0 :UInt32;
  # Identifies one process of a VM; see vmInstanceKey().
  beat @1 :UInt64;
  lagMs @2 :UInt32;
}

struct GossipHolder {
  # A VM with a recent copy of the platform's state, and the copy's versions.
  address @0 :Text;
  config @1 :UInt64;
  targets @2 :UInt64;
  evacuations @3 :UInt64;
  configEra @4 :UInt64;
  # Eras of the store that the revisions belong to.
  targetsEra @5 :UInt64;
  evacuationsEra @6 :UInt64;
  configNumber @7 :UInt64;
  # The operator's number of the configuration.
}

struct GossipCrash {
  request @0 :UInt64;
  # Fingerprint of a request that crashed the target.
  target @1 :UInt32;
  # Identifies one process instance of the target.
  leftMs @2 :UInt32;
  # Remaining validity of the record.
  vm @3 :UInt32;
  # Identifies the VM that recorded the crash.
}

struct Gossip {
  vms @0 :List(GossipVm);
  beats @1 :List(GossipBeat);
  holders @2 :List(GossipHolder);
  crashes @3 :List(GossipCrash);
}
