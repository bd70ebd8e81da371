@0xd8f2b1a46c0e9f31;
# Messages about the instances of the system and their states.

struct Label {
  name @0 :Text;
  value @1 :Text;
}

struct Hello {
  protocolVersion @0 :UInt16;
  role @1 :Text;
  dataCentre @2 :Text;
  dataAddress @3 :Text;      # host:port of the HTTP listener for other processes
  controlAddress @4 :Text;   # host:port of the listener for links
  labels @5 :List(Label);
  group @6 :Text;
  rank @7 :Int32 = -1;       # -1: not a rank of a group
}

struct Heartbeat {
  echoSequence @0 :UInt64;   # sequence of the newest message received on the link
}

struct Leaving {
  subject @0 :Text;          # instance that leaves; empty for the sender
  subjectIncarnation @1 :UInt64;
  reason @2 :Text;
}

struct InstanceRow {
  name @0 :Text;
  role @1 :Text;
  dataCentre @2 :Text;
  controlAddress @3 :Text;
  state @4 :Text;
}

struct PeerSummary {
  dataCentre @0 :Text;
  pools @1 :List(PoolSummary);
  instances @2 :List(InstanceRow);
}

struct PoolSummary {
  pool @0 :Text;
  freeCredits @1 :Float64;   # free credit, in units of cost
  waiting @2 :Float64;       # cost of the requests in the wait queue
  estimatedWaitSeconds @3 :Float64;
  readyEndpoints @4 :UInt32;
}

struct InstanceRowsPull {
  ageSeconds @0 :Float64;    # age of the sender's list
}

struct InstanceRows {
  ageSeconds @0 :Float64;    # time since the list was read from the platform
  rows @1 :List(InstanceRow);
}

struct MembershipMessage {
  union {
    hello @0 :Hello;
    heartbeat @1 :Heartbeat;
    leaving @2 :Leaving;
    peerSummary @3 :PeerSummary;
    instanceRows @4 :InstanceRows;
    instanceRowsPull @5 :InstanceRowsPull;
  }
}
