@0xe61c2f95a3d84b07;
# Messages that determine whether an attempt ran.

struct Revoke {
  attempt @0 :Text;
}

struct RevokeAnswer {
  attempt @0 :Text;
  neverStarted @1 :Bool;
  isRunning @2 :Bool;
  status @3 :UInt16;         # HTTP status of the recorded response; 0 for none
  contentType @4 :Text;
  body @5 :Data;
}

struct ClaimChange {
  action @0 :Text;           # claim, settle or release
  operation @1 :Text;        # unique id of the claim
  key @2 :Text;              # digest of organisation and idempotency key
  digest @3 :Text;           # digest of method, path and body
  until @4 :Float64;         # wall-clock seconds after which the claim may be dropped
  status @5 :UInt16;         # HTTP status of the recorded outcome; 0 for none
  contentType @6 :Text;
  body @7 :Data;
}

struct ClaimAnswer {
  asked @0 :Text;            # operation that requested the change
  isAvailable @1 :Bool;      # false: the store did not accept the claim
  operation @2 :Text;        # of the claim in force
  key @3 :Text;
  digest @4 :Text;
  until @5 :Float64;
  status @6 :UInt16;
  contentType @7 :Text;
  body @8 :Data;
}

struct OutcomeMessage {
  union {
    revoke @0 :Revoke;
    revokeAnswer @1 :RevokeAnswer;
    claimChange @2 :ClaimChange;
    claimAnswer @3 :ClaimAnswer;
  }
}
