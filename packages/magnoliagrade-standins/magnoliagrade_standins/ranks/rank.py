"""One rank: the gate before each step and the orders of its agent."""

from dataclasses import replace

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade_agent.group import GroupView, Outcome, RankState

__all__ = ["Rank", "StaleFence"]


class StaleFence(Exception):
    """An order carries an older fencing number than an earlier one."""


class Rank:
    """A rank's gate, which its agent's orders open and close.

    Parameters
    ----------
    index : int
        Position in the group.
    honours_fence : bool
        Whether it refuses orders with an old fencing number.
    load : callable, optional
        Called with a version and a packed map, returns whether it is loaded; by
        default maps are there at once.

    Notes
    -----
    Between an arming and its outcome the gate is closed at the step of the switch;
    at all other times the rank steps on without asking anyone.
    """

    __slots__ = (
        "_load",
        "begun",
        "boots",
        "completed",
        "fence",
        "generation",
        "hold_step",
        "honours_fence",
        "index",
        "is_running",
        "view",
    )

    def __init__(self, *, index, honours_fence=True, load=None):
        self.index = index
        self.honours_fence = honours_fence
        self._load = load or (lambda version, packed_map: True)
        self.boots = 0
        self.restart()

    def restart(self):
        """Start anew: forget everything and begin nothing until told to run."""
        self.boots += 1
        self.begun = 0
        self.completed = 0
        self.fence = 0
        self.generation = 0
        self.hold_step = 0
        self.is_running = False
        self.view = GroupView()

    def check_fence(self, fence):
        """Refuse an order of an agent that has been replaced.

        Raises
        ------
        StaleFence
            If the number is old and this rank honours fencing numbers.
        """
        if fence < self.fence and self.honours_fence:
            raise StaleFence(f"fence {fence} is older than {self.fence}")
        self.fence = max(fence, self.fence)

    def may_begin(self, step):
        """Return whether the gate is open for a step."""
        is_held = self.hold_step and step >= self.hold_step
        return self.is_running and not is_held

    async def pause(self):
        """Begin no further step and give up a begun one."""
        self.is_running = False
        self.begun = self.completed
        return self.state()

    def state(self):
        """Return what the rank says of itself."""
        return RankState(
            boot_id=f"rank-{self.index}-{self.boots}",
            begun=self.begun,
            view=replace(self.view, completed=self.completed),
        )

    async def stage(self, version, packed_map):
        """Load the experts of a map; return whether they are all there."""
        return self._load(version, packed_map)

    async def hold(self, view, *, after_step):
        """Close the gate at the step of an open switch."""
        step = view.switch.step
        if not self.is_running or step <= self.begun or self.begun < after_step:
            return False
        self.view = view
        self.hold_step = step
        return True

    async def note_outcome(self, view):
        """Keep the outcome of the newest switch."""
        self._check_settled()
        self.view = view

    async def release(self, step):
        """Open the gate for a held step."""
        if self.hold_step == step:
            self.hold_step = 0

    async def settle(self, view):
        """Keep what a new generation starts from."""
        self.view = view
        self.completed = view.completed
        self.begun = view.completed
        self.hold_step = 0
        switch = view.switch
        if switch is not None and switch.outcome is Outcome.OPEN:
            self.hold_step = switch.step

    async def run(self, generation, step):
        """Run from a step on, if the maps are loaded."""
        self._check_settled()
        if self.is_running and self.generation == generation:
            return True
        loads = [self._load(v, m) for v, m in self.view.map_by_version.items()]
        if not all(loads):
            return False
        self.generation = generation
        self.completed = step - 1
        self.begun = step - 1
        self.is_running = True
        return True

    def _check_settled(self):
        # The agent may not have noticed yet that the rank has restarted.
        if not self.view.origin:
            detail = f"rank {self.index} has settled nothing since its start"
            raise MagnoliagradeError(ErrorKind.FENCED, detail)
