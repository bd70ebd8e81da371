@0xd2a1f0c48be37a95;
# Messages between direct entries, which send requests straight to endpoints, and
# between the agents of one group's ranks.

struct EndpointWork {
  endpoint @0 :Text;
  inFlight @1 :UInt32;
}

struct WorkInFlight {
  isComplete @0 :Bool;       # true: endpoints that are not listed have none in flight
  endpoints @1 :List(EndpointWork);
}

struct RankCall {
  call @0 :UInt64;           # number of the call on its link
  operation @1 :Text;
  epoch @2 :UInt64;          # epoch of the group
  version @3 :UInt64;        # of the expert map; for `counts`: id of the last snapshot
  step @4 :UInt64;
  placement @5 :Data;        # packed expert map, or its changes from that of `base`
  base @6 :UInt64;           # version of a map; 0: `placement` is complete
}

struct RankReply {
  call @0 :UInt64;
  outcome @1 :Text;          # confirmed, refused, failed or unknown-base
  status @2 :Data;           # JSON of the rank's status
  counts @3 :Data;           # `counts`: delta-encoded counters; `experts`: JSON
  tries @4 :UInt32;          # number of times an order was sent until it took effect
}

struct ServiceOutage {
  service @0 :Text;
  isOut @1 :Bool;            # false: the service has responded again
  group @2 :Text;            # group that is out; empty: the whole service
}

struct SiteConfigurationPull {
  version @0 :UInt64;        # version in force at the sender
}

struct SiteConfigurationCopy {
  data @0 :Data;             # configuration in force at the sender, as in the store
}

struct RequestCrash {
  endpoint @0 :Text;         # server that ended while it ran a request
  parts @1 :List(Text);      # shared parts of the prompt
  ageSeconds @2 :Float64;    # time since the attempt broke off
  request @3 :Text;          # digest of method, path, caller and body
  variant @4 :Text;          # digest of `request` and all parts of the prompt
  caller @5 :Text;           # digest of the organisation
  lastedSeconds @6 :Float64; # time from the start of the attempt until it broke off
  silentSeconds @7 :Float64; # time from the service's last response until it broke off
}

struct RequestServed {       # a request with these traits had a complete response
  parts @0 :List(Text);
  request @1 :Text;
  variant @2 :Text;
  caller @3 :Text;
}

struct EndpointLimit {
  endpoint @0 :Text;
  perSecond @1 :Float64;     # requests that it takes; infinite: it names no limit
}

struct PermitRequest {
  endpoint @0 :Text;         # endpoint that the sender wants to send a request to
  perSecond @1 :Float64;     # its limit, as the sender knows it
}

struct Permit {
  endpoint @0 :Text;         # endpoint that the receiver may send one request to
}

struct SiteChange {
  key @0 :Text;
  value @1 :Data;
  isDeleted @2 :Bool;
  revision @3 :UInt64;
}

struct SiteChangesPull {     # asks for the store's changes after a position
  call @0 :UInt64;           # number of the pull on its link
  era @1 :UInt64;
  revision @2 :UInt64;
}

struct SiteChanges {
  call @0 :UInt64;           # of the pull
  isKnown @1 :Bool;          # false: the sender cannot answer
  isConfirmed @2 :Bool;      # the store was read after the pull had arrived
  revision @3 :UInt64;       # position to continue from, in the era of the pull
  changes @4 :List(SiteChange);
  isRelaying @5 :Bool;       # the sender cannot answer this pull, but later ones
}

struct WorkMessage {
  union {
    inFlight @0 :WorkInFlight;
    rankCall @1 :RankCall;
    rankReply @2 :RankReply;
    serviceOutage @3 :ServiceOutage;
    siteConfigurationPull @4 :SiteConfigurationPull;
    siteConfigurationCopy @5 :SiteConfigurationCopy;
    requestCrash @6 :RequestCrash;
    requestServed @7 :RequestServed;
    endpointLimit @8 :EndpointLimit;
    permitRequest @9 :PermitRequest;
    permit @10 :Permit;
    siteChangesPull @11 :SiteChangesPull;
    siteChanges @12 :SiteChanges;
  }
}
