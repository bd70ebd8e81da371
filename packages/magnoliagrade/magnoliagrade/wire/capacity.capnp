@0xb3c57ad0912ee845;
# Messages about credit, load and shared rates. Credit and limits are in units of cost.

struct CreditRequest {
  wanted @0 :Float64;        # cost of one more request that waits for credit
  inUse @1 :Float64;         # not used
  returned @2 :Float64;      # cost of a cancelled credit request
  isSurplus @3 :Bool;        # the organisation uses more than its share
  unused @4 :Float64;        # granted credit that no request uses
}

struct CreditGrant {
  amount @0 :Float64;        # added to the credit granted before
  leaseSeconds @1 :Float64;
  engineBoot @2 :Text;
  limit @3 :Float64;         # cost that the endpoint may have in progress
  held @4 :Float64;          # cost in flight or granted, over all entries
  isSurplus @5 :Bool;        # as in the credit request
  headroom @6 :Float64;      # cost that requests above a share must leave free
}

struct LoadReport {
  bootId @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  tokensInFlight @3 :UInt64;
  cacheUsed @4 :Float64;
  ageSeconds @5 :Float64;
  limit @6 :Float64;         # cost that the endpoint may have in progress
  held @7 :Float64;          # cost in flight or granted, over all entries
  asked @8 :Float64;         # cost of requests that wait at the entries
  headroom @9 :Float64;      # cost that requests above a share must leave free
}

struct OrganisationUsage {
  organisation @0 :Text;
  cost @1 :Float64;          # cost per second
  backlog @2 :Float64;       # not used
}

struct UsageReport {
  intervalSeconds @0 :Float64;
  usages @1 :List(OrganisationUsage);
  dataCentre @2 :Text;       # empty: usage of the sender; else sum over its entries
  entries @3 :UInt32;        # entries of the sender's data centre
}

struct CapacityMessage {
  union {
    creditRequest @0 :CreditRequest;
    creditGrant @1 :CreditGrant;
    loadReport @2 :LoadReport;
    usageReport @3 :UsageReport;
  }
}
