@0xa94d07e3c85b12f6;
# Messages that spread the configuration.

struct ConfigurationPull {
  knownRevision @0 :UInt64;
  knownDigests @1 :List(Text);
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

struct ConfigurationMessage {
  union {
    pull @0 :ConfigurationPull;
    offer @1 :ConfigurationOffer;
  }
}
