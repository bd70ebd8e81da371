"""A rank: its gate before each step and the orders that its agent gives."""

from dataclasses import replace

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade_agent.group import GroupView, Outcome, RankState

__all__ = ["Rank", "StaleFence"]


class StaleFence(Exception):
    """An order carries a lower fencing token than an earlier order."""


class Rank:
    """A rank whose gate before each step is opened and closed by its agent.

    It carries out the orders of `magnoliagrade_agent.group.orders.RankOrders`.

    Parameters
    ----------
    index : int
        Index of the rank in its group, from 0.
    honours_fence : bool
        Whether the rank rejects orders with a stale fencing token.
    load : callable, optional
        Called with a version and a packed map, returns whether the map is loaded; by
        default every map counts as loaded.

    Notes
    -----
    The gate is closed at the step of a switch from its arming until its release. At
    all other times the rank begins steps without an order.
    """

    __slots__ = (
        "_load",
        "begun",
        "boot_count",
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
        self.boot_count = 0
        self.restart()

    def restart(self):
        """Reset all state; the rank begins no step before the order to run."""
        self.boot_count += 1
        self.begun = 0
        self.completed = 0
        self.fence = 0
        self.generation = 0
        self.hold_step = 0
        self.is_running = False
        self.view = GroupView()

    def check_fence(self, fence):
        """Store the fencing token of an order, or reject a stale one.

        Parameters
        ----------
        fence : int
            Fencing token of the order.

        Raises
        ------
        StaleFence
            If the token is lower than that of an earlier order and this rank honours
            fencing tokens.
        """
        if fence < self.fence and self.honours_fence:
            raise StaleFence(f"fencing token {fence} is lower than {self.fence}")
        self.fence = max(fence, self.fence)

    def may_begin(self, step):
        """Return whether the rank runs and its gate is open for a step."""
        is_held = self.hold_step and step >= self.hold_step
        return self.is_running and not is_held

    async def pause(self):
        """Begin no further step and abandon a begun one; return the `RankState`."""
        self.is_running = False
        self.begun = self.completed
        return self.state()

    def state(self):
        """Return the `RankState` that the rank reports."""
        return RankState(
            boot_id=f"rank-{self.index}-{self.boot_count}",
            begun=self.begun,
            view=replace(self.view, completed=self.completed),
        )

    async def stage(self, version, packed_map):
        """Load the experts of a map; return whether all of them are loaded."""
        return self._load(version, packed_map)

    async def hold(self, view, *, after_step):
        """Close the gate at the step of an open switch; return whether it is closed.

        The order is rejected if the step has begun or if `after_step` has not begun.
        """
        step = view.switch.step
        if not self.is_running or step <= self.begun or self.begun < after_step:
            return False
        self.view = view
        self.hold_step = step
        return True

    async def note_outcome(self, view):
        """Store the outcome of the newest switch."""
        self._check_settled()
        self.view = view

    async def release(self, step):
        """Open the gate if it is closed at a step."""
        if self.hold_step == step:
            self.hold_step = 0

    async def settle(self, view):
        """Store the view from which a new generation starts."""
        self.view = view
        self.completed = view.completed
        self.begun = view.completed
        self.hold_step = 0
        switch = view.switch
        if switch is not None and switch.outcome is Outcome.OPEN:
            self.hold_step = switch.step

    async def run(self, generation, step):
        """Run from a step on; return whether the maps are loaded and the rank runs."""
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
        # The agent may not have detected yet that the rank has restarted.
        if not self.view.origin:
            detail = f"rank {self.index} has settled no view since its start"
            raise MagnoliagradeError(ErrorKind.FENCED, detail)
