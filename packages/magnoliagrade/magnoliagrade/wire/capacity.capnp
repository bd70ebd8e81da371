@0xb3c57ad0912ee845;
# Messages about credits, load and shared rates.

struct CreditRequest {
  wanted @0 :Float64;        # cost the entry could use now
  inUse @1 :Float64;
}

struct CreditGrant {
  amount @0 :Float64;        # total the entry may hold in flight, not a difference
  leaseSeconds @1 :Float64;
  engineBoot @2 :Text;
  limit @3 :Float64;
}

struct LoadReport {
  bootId @0 :Text;
  running @1 :UInt32;
  waiting @2 :UInt32;
  tokensInFlight @3 :UInt64;
  cacheUsed @4 :Float64;
  ageSeconds @5 :Float64;
}

struct OrganisationUsage {
  organisation @0 :Text;
  cost @1 :Float64;
  backlog @2 :Float64;
}

struct UsageReport {
  intervalSeconds @0 :Float64;
  usages @1 :List(OrganisationUsage);
}

struct CapacityMessage {
  union {
    creditRequest @0 :CreditRequest;
    creditGrant @1 :CreditGrant;
    loadReport @2 :LoadReport;
    usageReport @3 :UsageReport;
  }
}
