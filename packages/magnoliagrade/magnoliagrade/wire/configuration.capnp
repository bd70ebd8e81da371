@0xa94d07e3c85b12f6;
# Messages that propagate the configuration and report an instance's state.

struct ConfigurationPull {
  knownRevision @0 :UInt64;
  knownDigests @1 :List(Text);  # of chunks that the sender has
}

struct ConfigurationChunk {
  name @0 :Text;
  digest @1 :Text;
  content @2 :Data;
}

struct ConfigurationOffer {
  revision @0 :UInt64;
  root @1 :Data;
  chunks @2 :List(ConfigurationChunk);
}

struct ConfigurationWatch {
  isWatching @0 :Bool;
}

struct StatusPull {
}

struct StatusReport {
  revision @0 :UInt64;
  operation @1 :Text;        # id of the newest change of the configuration
  ageSeconds @2 :Float64;    # time that the configuration has been in force
  role @3 :Text;
  dataCentre @4 :Text;
  notReady @5 :List(Text);
  isLeaving @6 :Bool;
}

struct ConfigurationMessage {
  union {
    pull @0 :ConfigurationPull;
    offer @1 :ConfigurationOffer;
    watch @2 :ConfigurationWatch;
    statusPull @3 :StatusPull;
    statusReport @4 :StatusReport;
  }
}
