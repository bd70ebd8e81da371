@0xe61c2f95a3d84b07;
# Messages that settle whether an attempt ran.

struct Revoke {
  attempt @0 :Text;
}

struct RevokeAnswer {
  attempt @0 :Text;
  neverStarted @1 :Bool;
}

struct OutcomeMessage {
  union {
    revoke @0 :Revoke;
    revokeAnswer @1 :RevokeAnswer;
  }
}
