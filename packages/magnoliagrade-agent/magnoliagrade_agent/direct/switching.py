"""Switches all ranks of a group to another expert map at one pass.

A switch prepares the map on all ranks, holds a pass, arms all ranks for that pass and
releases it. In identifiers, `step` is the number of a pass. Ranks do not compare maps,
and an order without a response may be executed seconds later. The following rules
ensure that no pass runs with two maps:

- A pass is held at one rank before any rank is armed for it, and the effect of each
  order is read from the rank's status. The pass is not held at the coordinator's rank,
  so that other agents can release it if the coordinator's machine stops.
- The coordinator's own rank is armed last. While any other rank has never been armed,
  the coordinator's rank has not been armed either, even if its status cannot be read.
- The rank that holds the pass is armed only after all ranks but the coordinator's have
  confirmed that they are armed. If the coordinator's machine stops right after its
  first orders to arm, these may still be executed, but the holding rank is unarmed.
- The pass is released in two cases only: if all ranks are armed for the same map and
  pass, or if no rank is armed and a newer map is prepared on all of them. In the second
  case each rank rejects late orders to arm an older map.
- A rank is disarmed only after at least one rank that was not armed has prepared a
  newer map. From then on the older map can never be armed on all ranks, so no agent
  releases a pass because of it, and a late order to disarm does no harm.
- Versions and held passes are not used twice.
"""

import asyncio
import logging

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability import log_event

from magnoliagrade_agent.direct.expert_map_codec import pack_experts
from magnoliagrade_agent.direct.lead_time import lead_passes
from magnoliagrade_agent.direct.map_changes_codec import pack_changes
from magnoliagrade_agent.direct.member import CONFIRMED, UNKNOWN_BASE
from magnoliagrade_agent.direct.ports import RankUnreachable, call_with_short_timeout

__all__ = [
    "GroupSwitch",
    "SwitchFailed",
    "is_next_pass_held",
    "is_unsettled",
    "next_version",
]

# Number of passes from which their mean length is known.
MIN_PASSES_MEASURED = 2
# Number of passes that are tried to hold for one switch.
MAX_HOLDS = 3
# Versions are drawn at random from a range of this size, so that an order of another
# coordinator, or of an earlier process of this agent, does not carry the same version
# with another map.
VERSION_STRIDE = 2**24
# Interval of tries: about two passes, in which late orders take effect.
SETTLE_RETRY_INTERVAL_S = 0.1
# The tries to settle a group take at least 2 s together, after which the caller reads
# the group's state again.
MAX_SETTLE_TRIES = 20

_log = logging.getLogger(__name__)


class SwitchFailed(MagnoliagradeError):
    """A switch did not take place; the group keeps its former map."""

    def __init__(self, detail):
        super().__init__(ErrorKind.UPSTREAM_FAILED, detail)


def next_version(statuses, *, rng):
    """Return a version above those of all ranks, unlike those of other coordinators.

    Parameters
    ----------
    statuses : iterable of RankStatus
        Status of all ranks.
    rng : random.Random
        Random number generator.

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
    """Switches the ranks of one group in one epoch.

    Parameters
    ----------
    clients : list of rank client
        One for each rank, ordered by rank.
    local_client : rank client
        Client of the coordinator's own rank.
    epoch : int
        Epoch of the group.
    clock : Clock
        Source of time.
    rng : random.Random
        Random number generator.
    """

    __slots__ = (
        "_clock",
        "_epoch",
        "_last_held_step",
        "_local_client",
        "_rng",
        "clients",
    )

    def __init__(self, *, clients, local_client, epoch, clock, rng):
        self.clients = clients
        self._local_client = local_client
        self._epoch = epoch
        self._clock = clock
        self._rng = rng
        self._last_held_step = 0

    async def run(self, experts, former_experts, *, pass_s=0.0):
        """Switch to a map and return its version.

        Parameters
        ----------
        experts : list of list of list of int
            Experts by set and rank.
        former_experts : list of list of list of int
            Map in use, to which the group returns if the switch fails.
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
            raise SwitchFailed(
                "an earlier switch has not reached its pass: armed maps "
                f"{sorted({s.armed_version for s in statuses} - {None})}"
            )
        version = next_version(statuses, rng=self._rng)
        for client in self.clients:
            client.tries = 0
        first_step = max(status.step for status in statuses)
        prepared_from = self._clock.monotonic()
        if not await self._prepare_changes(statuses, version, experts, former_experts):
            raise SwitchFailed(f"map {version} was not prepared on all ranks")
        began_at = self._clock.monotonic()
        prepare_s = began_at - prepared_from
        holder = self._holding_client()
        for _ in range(MAX_HOLDS):
            read_from = self._clock.monotonic()
            statuses = await self.statuses()
            now = self._clock.monotonic()
            step = max(status.step for status in statuses)
            if step - first_step >= MIN_PASSES_MEASURED:
                # Passes become longer until the map is in use.
                pass_s = (now - prepared_from) / (step - first_step)
            lead = lead_passes(
                pass_s,
                tries=max(client.tries for client in self.clients),
                read_s=now - read_from,
            )
            step = self._last_held_step = max(step + lead, self._last_held_step + 1)
            outcome, _ = await holder.hold(epoch=self._epoch, step=step)
            if outcome == CONFIRMED:
                break
            # The pass began before a repeated order to hold it arrived.
            await self._release(holder, step)
        else:
            raise SwitchFailed(
                f"{holder.name}: pass {step} could not be held: {outcome}"
            )
        others = [
            client
            for client in self.clients
            if client not in (self._local_client, holder)
        ]
        try:
            for clients in (others, [holder], [self._local_client]):
                armed = await self._order_all(
                    clients, "arm", version=version, step=step
                )
                if not armed:
                    break
        except RankUnreachable as exc:
            log_event(_log, "group.arm.failed", detail=exc.detail)
            armed = False
        if not armed:
            await self.settle(former_experts)
            raise SwitchFailed(f"map {version} was not armed on all ranks")
        await self._release(holder, step)
        log_event(
            _log,
            "group.switched",
            epoch=self._epoch,
            map_version=version,
            step=step,
            lead=lead,
            prepare_s=round(prepare_s, 3),
            arm_s=round(self._clock.monotonic() - began_at, 3),
        )
        return version

    async def settle(self, former_experts, *, coordinator=None):
        """Bring the group out of an unfinished switch, so that no pass remains held.

        Afterwards either all ranks are armed for the same map and pass, or none is.

        Parameters
        ----------
        former_experts : list of list of list of int
            Map in use.
        coordinator : rank client, optional
            Client of the rank whose agent coordinated; this rank need not reply.

        Raises
        ------
        MagnoliagradeError
            If the group cannot be settled now.
        """
        for _ in range(MAX_SETTLE_TRIES):
            pairs = await self._reachable_statuses(coordinator)
            if not any(is_unsettled(status) for _, status in pairs):
                return
            armed = {(s.armed_version, s.armed_step) for _, s in pairs}
            is_armed_alike = len(armed) == 1 and None not in armed.pop()
            if is_armed_alike and len(pairs) < len(self.clients):
                raise RankUnreachable(
                    f"{coordinator.name}: no reply from the coordinator's rank, which "
                    "may be unarmed"
                )
            if is_armed_alike or await self._invalidate_armed_maps(
                pairs, former_experts
            ):
                await self._release_all(pairs)
                return
            await self._clock.sleep(SETTLE_RETRY_INTERVAL_S)
        raise SwitchFailed(
            f"the group could not be settled in {MAX_SETTLE_TRIES} tries"
        )

    async def statuses(self):
        """Return the statuses of all ranks, ordered by rank.

        Raises
        ------
        RankUnreachable
            If one cannot be read, or the group has left the epoch.
        """
        return [status for _, status in await self._reachable_statuses(None)]

    async def _reachable_statuses(self, coordinator):
        """Return pairs of client and status; only the coordinator's may be missing."""
        found = await asyncio.gather(
            *(
                call_with_short_timeout(client.status())
                if client is coordinator
                else client.status()
                for client in self.clients
            ),
            return_exceptions=True,
        )
        pairs = []
        for client, status in zip(self.clients, found, strict=True):
            if isinstance(status, MagnoliagradeError) and client is coordinator:
                continue
            if isinstance(status, BaseException):
                raise status
            if status.epoch != self._epoch or not status.is_open:
                raise RankUnreachable(
                    f"{client.name} reports epoch {status.epoch}, "
                    f"is_open={status.is_open}; expected open epoch {self._epoch}"
                )
            pairs.append((client, status))
        return pairs

    def _holding_client(self):
        index = self.clients.index(self._local_client)
        return self.clients[(index + 1) % len(self.clients)]

    async def _invalidate_armed_maps(self, pairs, former_experts):
        """Disarm all ranks and make them reject orders to arm an older map.

        Returns whether a newer map is prepared on all of them.
        """
        version = next_version([s for _, s in pairs], rng=self._rng)
        free = [client for client, s in pairs if s.armed_version is None]
        armed = [(client, s.armed_version) for client, s in pairs if s.armed_version]
        if not await self._prepare(free, version, former_experts):
            return False
        for client, armed_version in armed:
            await client.order("disarm", epoch=self._epoch, version=armed_version)
        return await self._prepare(
            [client for client, _ in armed], version, former_experts
        )

    async def _release_all(self, pairs):
        released = []
        for client, status in pairs:
            if status.held_step is None:
                continue
            await client.order("release", epoch=self._epoch, step=status.held_step)
            released.append(status.held_step)
        log_event(_log, "group.settled", epoch=self._epoch, released=released)

    async def _prepare_changes(self, statuses, version, experts, former_experts):
        """Prepare a map on all ranks by its changes from the map in use.

        Agents that do not know the map in use, as after a restart, get the whole map.
        """
        in_use = {status.map_version for status in statuses}
        if len(in_use) > 1 or 0 in in_use:
            return await self._prepare(self.clients, version, experts)
        replies = await self._order_each(
            self.clients,
            "prepare",
            version=version,
            base=in_use.pop(),
            placement=pack_changes(former_experts, experts),
        )
        outcomes = [outcome for outcome, _ in replies]
        if not {*outcomes} <= {CONFIRMED, UNKNOWN_BASE}:
            return False
        uninformed = [
            client
            for client, outcome in zip(self.clients, outcomes, strict=True)
            if outcome == UNKNOWN_BASE
        ]
        return await self._prepare(uninformed, version, experts)

    async def _prepare(self, clients, version, experts):
        return await self._order_all(
            clients, "prepare", version=version, placement=pack_experts(experts)
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
            await self._clock.sleep(SETTLE_RETRY_INTERVAL_S)

    async def _order_all(self, clients, operation, **fields):
        replies = await self._order_each(clients, operation, **fields)
        return all(outcome == CONFIRMED for outcome, _ in replies)

    async def _order_each(self, clients, operation, **fields):
        return await asyncio.gather(
            *(
                client.order(operation, epoch=self._epoch, **fields)
                for client in clients
            )
        )


def is_next_pass_held(status):
    """Return whether a rank holds the next pass, so that the group waits for it."""
    return status.held_step is not None and status.step >= status.held_step - 1


def is_unsettled(status):
    """Return whether a rank is armed or holds a pass."""
    return status.armed_version is not None or status.held_step is not None
