"""Switching all ranks of a group to another expert map at one pass.

Ranks do not compare maps, and an order without an answer may be carried out seconds
later. What keeps two maps from meeting in a pass:

- A pass is held at one rank before any rank is armed for it, and each order is read
  back. It is held at another rank than the coordinator's, so that others can release
  it if the coordinator's machine stops.
- The coordinator's own rank is armed last. While another rank has never been armed,
  neither has this one, even if nobody can ask it. The rank that holds the pass is armed
  only after all others have answered: a coordinator whose machine stops right after its
  first orders, which may be carried out all the same, leaves that rank unarmed.
- The pass is released once all ranks are armed alike, or once no rank is armed and a
  newer map is prepared on all: orders to arm an older one are then refused.
- A rank is disarmed only after some rank that was not armed has prepared a newer map.
  From then on the older map can never be armed on all ranks, so nobody releases a
  pass because of it, and a late order to disarm does no harm.
- Versions and held passes are not used twice.
"""

import asyncio
import logging
import math

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability import log_event

from magnoliagrade_agent.direct.expert_map_codec import pack_experts
from magnoliagrade_agent.direct.member import CONFIRMED
from magnoliagrade_agent.direct.ports import RankUnreachable, ask_briefly

__all__ = [
    "GroupSwitch",
    "SwitchFailed",
    "is_next_pass_held",
    "is_unsettled",
    "lead_passes",
    "next_version",
]

# Time between the hold and the switch. Arming takes some 50 ms, so the pass is released
# before the group reaches it. Where an order has just had no answer, arming may need
# several tries of 80 ms: a group that waits for a held pass makes all its streams late.
LEAD_S = 0.25
LEAD_LOSSY_S = 0.75
# The shortest pass of a group (site sheets: 5 steps of 5.85 ms).
SHORTEST_PASS_S = 0.03
# The pass that is under way may end at once.
LEAD_MIN_PASSES = 2
# Versions are drawn from a range, so that an order of another coordinator, or of an
# earlier process of this one, never carries the same version with another map.
VERSION_STRIDE = 2**24
# Between tries: about two passes, in which late orders show.
SETTLE_PAUSE_S = 0.1
# Some seconds, after which the caller looks at the group anew.
SETTLE_TRIES = 20

_log = logging.getLogger(__name__)


def lead_passes(pass_s, *, is_lossy=False):
    """Return how many passes ahead a switch is armed.

    Parameters
    ----------
    pass_s : float
        Recent length of a pass in seconds; 0 if that is not known.
    is_lossy : bool
        Whether orders have just had no answer.

    Notes
    -----
    Load pattern: one rank turns several times slower, and passes take half a second. A
    switch that is armed many passes ahead would come when the slow time is over.

    Examples
    --------
    >>> lead_passes(0.06), lead_passes(0.6), lead_passes(0.0)
    (6, 2, 10)
    """
    lead_s = LEAD_LOSSY_S if is_lossy else LEAD_S
    passes = math.ceil(lead_s / max(SHORTEST_PASS_S, pass_s))
    return max(LEAD_MIN_PASSES, passes + 1)


class SwitchFailed(MagnoliagradeError):
    """A switch did not take place; the group has its former map."""

    def __init__(self, detail):
        super().__init__(ErrorKind.UPSTREAM_FAILED, detail)


def next_version(statuses, *, rng):
    """Return a version that no rank has had and no other coordinator draws.

    Parameters
    ----------
    statuses : iterable of RankStatus
        All ranks.
    rng : random.Random
        Source of chance.

    Examples
    --------
    >>> import random
    >>> next_version([], rng=random.Random(1)) >= VERSION_STRIDE
    True
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
    base = max(seen) // VERSION_STRIDE + 1
    return base * VERSION_STRIDE + rng.randrange(VERSION_STRIDE)


class GroupSwitch:
    """Orders to all ranks of one group in one epoch.

    Parameters
    ----------
    ports : list of port
        One for each rank, in order.
    own : port
        The coordinator's.
    epoch : int
        Epoch of the group.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of chance.
    """

    __slots__ = ("_clock", "_epoch", "_last_step", "_own", "ports", "_rng")

    def __init__(self, *, ports, own, epoch, clock, rng):
        self.ports = ports
        self._own = own
        self._epoch = epoch
        self._clock = clock
        self._rng = rng
        self._last_step = 0

    async def run(self, experts, former_experts, *, pass_s=0.0):
        """Switch to a map; returns its version.

        Parameters
        ----------
        experts : list of list of list of int
            Experts by set and rank.
        former_experts : list of list of list of int
            Map in use, which a failed switch falls back to.
        pass_s : float, optional
            Recent length of a pass in seconds; 0 if that is not known.

        Raises
        ------
        MagnoliagradeError
            If the group keeps its former map, or could not be reached.
        """
        statuses = await self.statuses()
        if any(is_unsettled(status) for status in statuses):
            await self.settle(former_experts)
            statuses = await self.statuses()
        if any(status.armed_version is not None for status in statuses):
            raise SwitchFailed("a former switch waits for its pass")
        version = next_version(statuses, rng=self._rng)
        for port in self.ports:
            port.tries = 0
        if not await self._prepare(self.ports, version, experts):
            raise SwitchFailed(f"not all ranks prepared map {version}")
        is_lossy = any(port.tries > 1 for port in self.ports)
        lead = lead_passes(pass_s, is_lossy=is_lossy)
        step = max(s.step for s in await self.statuses()) + lead
        step = self._last_step = max(step, self._last_step + 1)
        holder = self._holder()
        outcome, _ = await holder.hold(epoch=self._epoch, step=step)
        if outcome != CONFIRMED:
            await self._release(holder, step)
            raise SwitchFailed(f"pass {step} could not be held")
        first = [port for port in self.ports if port not in (self._own, holder)]
        try:
            for ports in (first, [holder], [self._own]):
                armed = await self._order_all(ports, "arm", version=version, step=step)
                if not armed:
                    break
        except RankUnreachable as exc:
            log_event(_log, "group.arm.failed", detail=exc.detail)
            armed = False
        if not armed:
            await self.settle(former_experts)
            raise SwitchFailed(f"not all ranks were armed with {version}")
        await self._release(holder, step)
        log_event(
            _log,
            "group.switched",
            epoch=self._epoch,
            map_version=version,
            step=step,
        )
        return version

    async def settle(self, former_experts, *, coordinator=None):
        """Leave no rank armed alone and no pass held, whatever happened before.

        Parameters
        ----------
        former_experts : list of list of list of int
            Map in use.
        coordinator : port, optional
            Port of the coordinator that left the group unsettled; it need not answer.

        Raises
        ------
        MagnoliagradeError
            If it cannot be done now.
        """
        for _ in range(SETTLE_TRIES):
            pairs = await self._answering(coordinator)
            if not any(is_unsettled(status) for _, status in pairs):
                return
            armed = {(s.armed_version, s.armed_step) for _, s in pairs}
            is_alike = len(armed) == 1 and None not in armed.pop()
            if is_alike and len(pairs) < len(self.ports):
                raise RankUnreachable("the coordinator may be the only one unarmed")
            if is_alike or await self._void(pairs, former_experts):
                await self._release_all(pairs)
                return
            await self._clock.sleep(SETTLE_PAUSE_S)
        raise SwitchFailed("the group could not be settled")

    async def statuses(self):
        """Return the status of all ranks.

        Raises
        ------
        RankUnreachable
            If one cannot be had, or is of another epoch.
        """
        return [status for _, status in await self._answering(None)]

    async def _answering(self, coordinator):
        """Return ports with their statuses; only the coordinator's may be missing."""
        found = await asyncio.gather(
            *(
                ask_briefly(port.status()) if port is coordinator else port.status()
                for port in self.ports
            ),
            return_exceptions=True,
        )
        pairs = []
        for port, status in zip(self.ports, found, strict=True):
            if isinstance(status, MagnoliagradeError) and port is coordinator:
                continue
            if isinstance(status, BaseException):
                raise status
            if status.epoch != self._epoch or not status.is_open:
                raise RankUnreachable(f"the group has left epoch {self._epoch}")
            pairs.append((port, status))
        return pairs

    def _holder(self):
        index = self.ports.index(self._own)
        return self.ports[(index + 1) % len(self.ports)]

    async def _void(self, pairs, former_experts):
        """Make sure that no rank is armed or can be; returns whether all agreed."""
        version = next_version([s for _, s in pairs], rng=self._rng)
        free = [port for port, s in pairs if s.armed_version is None]
        armed = [(port, s.armed_version) for port, s in pairs if s.armed_version]
        if not await self._prepare(free, version, former_experts):
            return False
        for port, armed_version in armed:
            await port.order("disarm", epoch=self._epoch, version=armed_version)
        return await self._prepare([port for port, _ in armed], version, former_experts)

    async def _release_all(self, pairs):
        released = []
        for port, status in pairs:
            if status.held_step is None:
                continue
            await port.order("release", epoch=self._epoch, step=status.held_step)
            released.append(status.held_step)
        log_event(_log, "group.settled", epoch=self._epoch, released=released)

    async def _prepare(self, ports, version, experts):
        return await self._order_all(
            ports, "prepare", version=version, placement=pack_experts(experts)
        )

    async def _release(self, holder, step):
        while True:
            outcome, status = await holder.order(
                "release", epoch=self._epoch, step=step
            )
            if outcome == CONFIRMED:
                return
            if status is not None and status.epoch != self._epoch:
                return
            await self._clock.sleep(SETTLE_PAUSE_S)

    async def _order_all(self, ports, operation, **fields):
        outcomes = await asyncio.gather(
            *(port.order(operation, epoch=self._epoch, **fields) for port in ports)
        )
        return all(outcome == CONFIRMED for outcome, _ in outcomes)


def is_next_pass_held(status):
    """Return whether a rank holds the pass that is due next."""
    return status.held_step is not None and status.step >= status.held_step - 1


def is_unsettled(status):
    """Return whether a rank is armed or holds a pass."""
    return status.armed_version is not None or status.held_step is not None
