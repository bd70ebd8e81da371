@0xf27ac3b86d1405e9;
# Messages of expert-parallel groups: switches of the expert map and token counts.
# `fence` is the fencing token of the coordinator's lease, `version` is of the map.

struct StageMap {
  group @0 :Text;
  generation @1 :UInt64;
  fence @2 :UInt64;
  version @3 :UInt64;
  map @4 :Data;              # packed expert map
}

struct StageAck {
  group @0 :Text;
  generation @1 :UInt64;
  version @2 :UInt64;
  rank @3 :UInt32;
  accepted @4 :Bool;
  fence @5 :UInt64;          # newest fencing token that the rank has received
  needsMap @6 :Bool;
}

struct ArmSwitch {
  group @0 :Text;
  generation @1 :UInt64;
  fence @2 :UInt64;
  version @3 :UInt64;
  step @4 :UInt64;
}

struct ArmAck {
  group @0 :Text;
  generation @1 :UInt64;
  version @2 :UInt64;
  step @3 :UInt64;
  rank @4 :UInt32;
  accepted @5 :Bool;
}

struct SwitchOutcome {
  group @0 :Text;
  generation @1 :UInt64;
  version @2 :UInt64;
  step @3 :UInt64;
  rank @4 :UInt32;
  committed @5 :Bool;
}

struct OutcomeKnown {
  group @0 :Text;
  generation @1 :UInt64;
  version @2 :UInt64;
  step @3 :UInt64;
  rank @4 :UInt32;
}

struct OutcomeQuery {
  group @0 :Text;
  generation @1 :UInt64;
  version @2 :UInt64;
  step @3 :UInt64;
  rank @4 :UInt32;
}

struct GenerationJoin {
  group @0 :Text;
  generation @1 :UInt64;
  rank @2 :UInt32;
  incarnation @3 :UInt64;
}

struct GenerationAnswer {
  group @0 :Text;
  generation @1 :UInt64;
  rank @2 :UInt32;
  incarnation @3 :UInt64;
  currentVersion @4 :UInt64;
  openVersion @5 :UInt64;
  openStep @6 :UInt64;
  outcome @7 :Text;          # committed, aborted, or empty for none
  map @8 :Data;
  openMap @9 :Data;
  completedStep @10 :UInt64;
  origin @11 :UInt64;        # generation that steps count from; 0: rank has no map
  fence @12 :UInt64;
  incarnations @13 :List(UInt64);
  isRankNew @14 :Bool;       # the rank's process restarted since the rank last ran
}

struct ExpertCounts {
  group @0 :Text;
  rank @1 :UInt32;
  sequence @2 :UInt64;
  experts @3 :UInt32;
  counts @4 :List(Float32);  # layers x experts, row-major
  step @5 :UInt64;
  stepSeconds @6 :Float32;   # duration of a step
  seconds @7 :Float32;       # length of the counted period
  workSeconds @8 :Float32;   # time that the rank worked, without waits for other ranks
}

struct GenerationSettled {
  group @0 :Text;
  generation @1 :UInt64;
  rank @2 :UInt32;
}

struct CountsRequest {
  group @0 :Text;
  fence @1 :UInt64;
  isBeat @2 :Bool;           # heartbeat of the coordinator; no counts are requested
}

struct GroupState {
  group @0 :Text;
  rank @1 :UInt32;
  generation @2 :UInt64;
  isComplete @3 :Bool;
  mapVersion @4 :UInt64;
  requestsInFlight @5 :UInt32;
  isLeaving @6 :Bool;
}

struct GroupMessage {
  union {
    stage @0 :StageMap;
    stageAck @1 :StageAck;
    arm @2 :ArmSwitch;
    armAck @3 :ArmAck;
    outcome @4 :SwitchOutcome;
    known @5 :OutcomeKnown;
    query @6 :OutcomeQuery;
    join @7 :GenerationJoin;
    joinAnswer @8 :GenerationAnswer;
    expertCounts @9 :ExpertCounts;
    settled @10 :GenerationSettled;
    state @11 :GroupState;
    countsRequest @12 :CountsRequest;
  }
}
