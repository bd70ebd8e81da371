"""What an agent orders its rank to do."""

from dataclasses import dataclass, field
from typing import Protocol

from magnoliagrade_agent.group.view import GroupView

__all__ = ["RankOrders", "RankState"]


@dataclass(slots=True, kw_only=True)
class RankState:
    """What a rank says of itself.

    Parameters
    ----------
    boot_id : str
        Changes whenever the rank's process starts anew.
    begun : int
        Newest step that it began.
    view : GroupView
        What its agents have told it, with the newest step that it completed.
    """

    boot_id: str = ""
    begun: int = 0
    view: GroupView = field(default_factory=GroupView)


class RankOrders(Protocol):
    """Orders to one rank; each returns once the rank has obeyed.

    A rank that has just started begins no step until it is told to run. What it is
    told outlives a restart of its agent.
    """

    async def pause(self):
        """Begin no further step, give up a begun one; return the `RankState`."""

    async def stage(self, version, packed_map):
        """Load the experts of a map; return whether they are all there."""

    async def hold(self, view, *, after_step):
        """Do not begin the step of an open switch; return whether it is held.

        It is refused if the step has begun, or `after_step` has not.
        """

    async def note_outcome(self, view):
        """Keep the outcome of the newest switch."""

    async def release(self, step):
        """Lift the hold of a step."""

    async def settle(self, view):
        """Keep what a new generation starts from, while paused."""

    async def run(self, generation, step):
        """Run from a step on; return whether the maps are loaded and it runs."""
