@0xd2a1f0c48be37a95;
# Messages between entries that send work straight to endpoints.

struct EndpointWork {
  endpoint @0 :Text;
  inFlight @1 :UInt32;
}

struct WorkInFlight {
  isComplete @0 :Bool;       # endpoints that are not listed have none
  endpoints @1 :List(EndpointWork);
}

struct WorkMessage {
  union {
    inFlight @0 :WorkInFlight;
    reserved @1 :Void;
  }
}
