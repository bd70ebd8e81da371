"""Faults planted into the agents' code, which the random walks must find."""

from magnoliagrade.registry import Registry
from magnoliagrade.wire import SwitchOutcome
from magnoliagrade_agent.group import GroupMember, SwitchCoordinator, SwitchPhase

__all__ = ["planted_faults"]

planted_faults = Registry(family="planted fault")


@planted_faults.register("none")
class UnmodifiedCode:
    """Agents' classes without a planted fault."""

    member_class = GroupMember
    coordinator_class = SwitchCoordinator


class _MemberReleasingEarly(GroupMember):
    __slots__ = ()

    def _is_known_by_all(self, switch_key):
        return True


@planted_faults.register("no-known-round")
class ReleaseBeforeAllInformed(UnmodifiedCode):
    """A rank begins the step of a switch as soon as it knows the outcome itself."""

    member_class = _MemberReleasingEarly


class _MemberRunningEarly(GroupMember):
    __slots__ = ()

    def _may_run(self):
        return self.rank in self.settled_ranks


@planted_faults.register("no-settled-round")
class RunBeforeAllSettled(UnmodifiedCode):
    """A rank runs in a new generation as soon as it has settled itself."""

    member_class = _MemberRunningEarly


class _AbortingCoordinator(SwitchCoordinator):
    __slots__ = ()

    def resend(self):
        """Resend orders and abort an armed switch, even if the lease has expired."""
        super().resend()
        if self.phase is not SwitchPhase.ARMING:
            return
        for rank in range(self.ranks):
            outcome = SwitchOutcome(
                group=self.group,
                generation=self.generation,
                version=self.version,
                step=self.step,
            )
            self._send(rank, outcome)


@planted_faults.register("coordinator-decides")
class CoordinatorAborts(UnmodifiedCode):
    """A coordinator aborts a switch on its own, even after its lease has expired."""

    coordinator_class = _AbortingCoordinator
