"""Faults planted into the agents' code, which the explorer has to find."""

from magnoliagrade.registry import Registry
from magnoliagrade.wire import SwitchOutcome
from magnoliagrade_agent.group import GroupMember, SwitchCoordinator, SwitchPhase

__all__ = ["planted_faults"]

planted_faults = Registry(family="planted fault")


@planted_faults.register("none")
class Sound:
    """The product's own classes."""

    member_class = GroupMember
    coordinator_class = SwitchCoordinator


class _MemberWithoutRound(GroupMember):
    __slots__ = ()

    def _is_known_by_all(self, place):
        return True


@planted_faults.register("no-known-round")
class NoKnownRound(Sound):
    """A rank begins the step of a switch as soon as it knows the outcome."""

    member_class = _MemberWithoutRound


class _MemberWithoutSettledRound(GroupMember):
    __slots__ = ()

    def _may_run(self):
        return self.rank in self.settled_ranks


@planted_faults.register("no-settled-round")
class NoSettledRound(Sound):
    """A rank runs in a new generation as soon as it has all answers."""

    member_class = _MemberWithoutSettledRound


class _DecidingCoordinator(SwitchCoordinator):
    __slots__ = ()

    def resend(self):
        """Give up a switch that takes long, whether or not the lease holds."""
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
class CoordinatorDecides(Sound):
    """The outcome is learnt from the coordinator alone after its lease lapsed."""

    coordinator_class = _DecidingCoordinator
