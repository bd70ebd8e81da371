@0xc10f6e8db2597a43;
# Envelope of every message between two processes of the system.

using Membership = import "membership.capnp";
using Capacity = import "capacity.capnp";
using Outcome = import "outcome.capnp";
using Configuration = import "configuration.capnp";
using Group = import "group.capnp";
using Work = import "work.capnp";

struct Envelope {
  instance @0 :Text;
  incarnation @1 :UInt64;    # random number of this run of the sending process
  sequence @2 :UInt64;       # number of the message on its link, starting at 1
  configurationRevision @3 :UInt64;
  union {
    membership @4 :Membership.MembershipMessage;
    capacity @5 :Capacity.CapacityMessage;
    outcome @6 :Outcome.OutcomeMessage;
    configuration @7 :Configuration.ConfigurationMessage;
    group @8 :Group.GroupMessage;
    work @9 :Work.WorkMessage;
  }
}
