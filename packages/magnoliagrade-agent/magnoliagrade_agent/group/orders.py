"""Interface of the orders that an agent gives to its rank."""

from dataclasses import dataclass, field
from typing import Protocol

from magnoliagrade_agent.group.view import GroupView

__all__ = ["RankOrders", "RankState"]


@dataclass(slots=True, kw_only=True)
class RankState:
    """State that a rank reports.

    Parameters
    ----------
    boot_id : str
        Identifies the start of the rank's process; changes with each restart.
    begun : int
        Newest step that the rank began.
    view : GroupView
        View that its agents stored at the rank, with the newest step that the rank
        completed.
    """

    boot_id: str = ""
    begun: int = 0
    view: GroupView = field(default_factory=GroupView)


class RankOrders(Protocol):
    """Orders to one rank; each returns once the rank has carried it out.

    A rank that has just started begins no step before the order to run. The rank keeps
    the state from its orders across a restart of its agent.
    """

    async def pause(self):
        """Begin no further step and abandon a begun one; return the `RankState`."""

    async def stage(self, version, packed_map):
        """Load the experts of a map; return whether all of them are loaded."""

    async def hold(self, view, *, after_step):
        """Do not begin the step of an open switch; return whether it is held.

        The order is rejected if the step has begun or if `after_step` has not begun.
        """

    async def note_outcome(self, view):
        """Store the outcome of the newest switch."""

    async def release(self, step):
        """Release the hold before a step."""

    async def settle(self, view):
        """Store the view from which a new generation starts; the rank is paused."""

    async def run(self, generation, step):
        """Run from a step on; return whether the maps are loaded and it runs."""
