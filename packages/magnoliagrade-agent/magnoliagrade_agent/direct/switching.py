"""Switching all ranks of a group to another expert map at one pass.

Ranks do not compare maps, and an order without an answer may be carried out seconds
later. So the pass is held at one rank before any rank is armed, each order is read
back, and the pass is released only once all ranks are armed alike, or none is and
none can be by a late order.
"""

import asyncio
import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability import log_event

from magnoliagrade_agent.direct.member import CONFIRMED
from magnoliagrade_agent.direct.placement_code import pack_experts
from magnoliagrade_agent.direct.ports import RankUnreachable

__all__ = ["GroupSwitch", "SwitchFailed", "next_version"]

# Passes between the hold and the switch: arming takes some 50 ms, a pass 45 and more,
# so the pass is released before the group reaches it.
LEAD_PASSES = 6
# Versions of different coordinators never meet: each takes numbers of its own rank.
VERSION_STRIDE = 1024
SETTLE_PAUSE_S = 0.1
DISARM_TRIES = 5

_log = logging.getLogger(__name__)


class SwitchFailed(MagnoliagradeError):
    """A switch did not take place; the group has its former map."""

    def __init__(self, detail):
        super().__init__(ErrorKind.UPSTREAM_FAILED, detail)


def next_version(statuses, *, rank):
    """Return a version that no rank has had and no other coordinator uses.

    Parameters
    ----------
    statuses : iterable of RankStatus
        All ranks.
    rank : int
        Rank of the coordinator.

    Examples
    --------
    >>> next_version([], rank=3)
    1027
    """
    seen = [0]
    for status in statuses:
        seen += [
            version
            for version in (
                status.map_version,
                status.prepared_version,
                status.armed_version,
            )
            if version is not None
        ]
    return (max(seen) // VERSION_STRIDE + 1) * VERSION_STRIDE + rank


class GroupSwitch:
    """Orders to all ranks of one group in one epoch.

    Parameters
    ----------
    ports : list of port
        One for each rank, in order.
    own : port
        The coordinator's, whose rank holds the pass.
    own_rank : int
        Rank of the coordinator.
    epoch : int
        Epoch of the group.
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_epoch", "_own", "_own_rank", "_ports", "last_version")

    def __init__(self, *, ports, own, own_rank, epoch, clock):
        self._ports = ports
        self._own = own
        self._own_rank = own_rank
        self._epoch = epoch
        self._clock = clock
        self.last_version = 0

    async def run(self, experts, former_experts):
        """Switch to a map; returns its version.

        Parameters
        ----------
        experts : list of list of list of int
            Experts by set and rank.
        former_experts : list of list of list of int
            Map in use, which a failed switch falls back to.

        Raises
        ------
        MagnoliagradeError
            If the group keeps its former map, or could not be reached.
        """
        statuses = await self.statuses()
        if any(
            s.armed_version is not None or s.held_step is not None for s in statuses
        ):
            await self.settle(former_experts)
            statuses = await self.statuses()
        version = self._new_version(statuses)
        await self._prepare(version, experts)
        step = max(s.step for s in await self.statuses()) + LEAD_PASSES
        outcome, _ = await self._own.order("hold", epoch=self._epoch, step=step)
        if outcome != CONFIRMED:
            await self._release(step)
            raise SwitchFailed(f"pass {step} could not be held")
        try:
            armed = await self._order_all("arm", version=version, step=step)
        except RankUnreachable as exc:
            log_event(_log, "group.arm.failed", detail=exc.detail)
            armed = False
        if not armed:
            await self.settle(former_experts)
            raise SwitchFailed(f"not all ranks were armed with {version}")
        await self._release(step)
        log_event(
            _log,
            "group.switched",
            epoch=self._epoch,
            map_version=version,
            step=step,
        )
        return version

    async def settle(self, former_experts):
        """Leave no rank armed alone and no pass held, whatever happened before.

        Notes
        -----
        Where not all ranks are armed alike, orders to arm may still be on their way.
        They need their version to be prepared, so preparing a newer one on all ranks
        makes them void before the pass is released.
        """
        statuses = await self.statuses()
        armed = {(s.armed_version, s.armed_step) for s in statuses}
        if len(armed) > 1 or None in armed.pop():
            await self._disarm(statuses, former_experts)
        released = []
        for port, status in zip(self._ports, statuses, strict=True):
            if status.held_step is None:
                continue
            await port.order("release", epoch=self._epoch, step=status.held_step)
            released.append(status.held_step)
        log_event(_log, "group.settled", epoch=self._epoch, released=released)

    async def statuses(self):
        """Return the status of all ranks.

        Raises
        ------
        RankUnreachable
            If one cannot be had, or is of another epoch.
        """
        statuses = await asyncio.gather(*(port.status() for port in self._ports))
        if any(s.epoch != self._epoch or not s.is_open for s in statuses):
            raise RankUnreachable(f"the group has left epoch {self._epoch}")
        return statuses

    async def _prepare(self, version, experts):
        is_prepared = await self._order_all(
            "prepare", version=version, placement=pack_experts(experts)
        )
        if not is_prepared:
            raise SwitchFailed(f"not all ranks prepared map {version}")

    async def _disarm(self, statuses, former_experts):
        versions = {s.armed_version for s in statuses} - {None}
        for _ in range(DISARM_TRIES):
            for version in versions:
                await self._order_all("disarm", version=version)
            # Refused where an order to arm has come in between.
            try:
                await self._prepare(self._new_version(statuses), former_experts)
            except SwitchFailed:
                statuses = await self.statuses()
                versions |= {s.armed_version for s in statuses} - {None}
                continue
            return
        raise SwitchFailed("ranks could not be disarmed")

    async def _release(self, step):
        while True:
            outcome, status = await self._own.order(
                "release", epoch=self._epoch, step=step
            )
            if outcome == CONFIRMED:
                return
            if status is not None and status.epoch != self._epoch:
                return
            await self._clock.sleep(SETTLE_PAUSE_S)

    async def _order_all(self, operation, **fields):
        outcomes = await asyncio.gather(
            *(
                port.order(operation, epoch=self._epoch, **fields)
                for port in self._ports
            )
        )
        return all(outcome == CONFIRMED for outcome, _ in outcomes)

    def _new_version(self, statuses):
        version = next_version(statuses, rank=self._own_rank)
        while version <= self.last_version:
            version += VERSION_STRIDE
        self.last_version = version
        return version
