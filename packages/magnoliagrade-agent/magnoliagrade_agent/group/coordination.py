"""Background tasks that read a group's record and coordinate the group."""

import asyncio
import logging

from magnoliagrade.algorithms.balance import (
    initial_placement,
    pack_placement,
    unpack_placement,
)
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.wire import CountsRequest

from magnoliagrade_agent.group import metrics
from magnoliagrade_agent.group.balancing import GroupBalance
from magnoliagrade_agent.group.coordinator import SwitchCoordinator, SwitchPhase
from magnoliagrade_agent.group.map_record import CoordinatorLease, MapRecordStore

__all__ = ["coordinate", "poll_record"]

# Version of the initial placement, with which a group without a record starts.
FIRST_VERSION = 1
LEASE_TTL_S = 10.0
# A third of the lifetime, so that a late renewal does not let the lease expire.
RENEWAL_INTERVAL_S = LEASE_TTL_S / 3
# Mean interval between rounds; each is varied by half so that agents do not poll the
# store at the same time.
COORDINATION_INTERVAL_S = 1.0
# Interval between reads of the record while the group does not run.
RECORD_READ_INTERVAL_S = 0.5
# A coordinator abandons a switch that has no outcome after this time.
SWITCH_TIMEOUT_S = 60.0
# Interval between checks of the switch's phase and outcome.
SWITCH_POLL_INTERVAL_S = 0.05
# Interval between repetitions of the orders to stage or arm.
RESEND_INTERVAL_S = 0.3
# A version is the fencing token times this number plus a count, so versions of
# different coordinators never collide and later coordinators use higher versions.
VERSIONS_PER_FENCE = 1 << 20

_log = logging.getLogger(__name__)


async def poll_record(service):
    """Read the group's record and newest fencing token until a record is known.

    Parameters
    ----------
    service : GroupService
        Group service of the agent.

    Notes
    -----
    The store is read only while the group does not run. While the store is
    unavailable, a group in which no rank knows a map runs no steps.
    """
    node = service.node
    records = MapRecordStore(store=node.store, group=service.group)
    while True:
        await node.clock.sleep(RECORD_READ_INTERVAL_S)
        group = _group_configuration(service)
        if service.member.is_running or service.member.record or group is None:
            continue
        try:
            first = pack_placement(_initial_placement(group))
            record = await records.read_or_create(FIRST_VERSION, first)
            fence = await records.newest_fence()
        except MagnoliagradeError as exc:
            log_event(_log, "group.record_unknown", code=exc.kind.value)
            continue
        await service.call_member(service.member.offer_record, record, fence)


async def coordinate(service):
    """Compete for the lease; while holding it, collect counts, plan and switch maps.

    Parameters
    ----------
    service : GroupService
        Group service of the agent.
    """
    node = service.node
    lease = CoordinatorLease(
        store=node.store,
        group=service.group,
        holder=node.identity.instance,
        clock=node.clock,
        ttl_s=LEASE_TTL_S,
    )
    coordination = _Coordination(service, lease)
    while True:
        await node.clock.sleep(COORDINATION_INTERVAL_S * node.rng.uniform(0.5, 1.5))
        group = _group_configuration(service)
        if group is None or not service.member.is_running:
            continue
        silent_s = node.clock.monotonic() - service.coordinator_seen_at
        if not lease.is_held and silent_s < LEASE_TTL_S:
            # Reads the store only if no coordinator was seen for the lease's lifetime.
            continue
        is_held = await coordination.hold_lease()
        metrics.COORDINATOR.labels(service.group).set(is_held)
        if is_held:
            await coordination.try_round(group)
        else:
            service.balance = None


class _Coordination:
    def __init__(self, service, lease):
        self.service = service
        self.lease = lease
        self.records = MapRecordStore(store=service.node.store, group=service.group)
        self.planned_at = service.node.clock.monotonic()
        self.counts_requested_at = self.planned_at
        self.version_count = 0
        self.renewed_at = float("-inf")

    async def hold_lease(self):
        """Renew the lease if due, or try to acquire it; return whether it is held."""
        now = self.service.node.clock.monotonic()
        if self.lease.is_held and now - self.renewed_at < RENEWAL_INTERVAL_S:
            return True
        is_held = await self.lease.acquire_or_renew()
        if is_held:
            self.renewed_at = now
            self._send_request(is_beat=True)
        return is_held

    def _send_request(self, *, is_beat):
        service = self.service
        request = CountsRequest(
            group=service.group, fence=self.lease.fence, is_beat=is_beat
        )
        for rank in range(service.member.ranks):
            service.send(rank, request)

    async def try_round(self, group):
        """Run a coordination round; an error, such as a store outage, ends only it."""
        try:
            await self.run_round(group)
        except MagnoliagradeError as exc:
            log_event(_log, "group.turn_failed", code=exc.kind.value)

    async def run_round(self, group):
        """Write the record, request counts and rebalance, each if it is due.

        Counts are requested five times for each rebalancing.
        """
        service = self.service
        if service.balance is None or service.balance.group is not group:
            groups = len(service.node.configuration.in_force.group_by_name)
            service.balance = GroupBalance(
                group=group, groups=groups, clock=service.node.clock
            )
        await self._write_record()
        now = service.node.clock.monotonic()
        interval_s = group.rebalancing_options().interval_s
        if now - self.counts_requested_at >= interval_s / 5:
            self.counts_requested_at = now
            await self._request_counts()
        if now - self.planned_at >= interval_s:
            self.planned_at = now
            await self._rebalance(group)

    async def _request_counts(self):
        service = self.service
        self._send_request(is_beat=False)
        local_counts = await service.read_counts()
        if local_counts is not None:
            service.add_counts(local_counts)

    async def _rebalance(self, group):
        service = self.service
        placement = unpack_placement(service.map_in_force())
        metrics.SKEW.labels(group.name).set(service.balance.skew(placement))
        if group.pinned_version:
            await self._switch_to_pinned(group.pinned_version)
            return
        if group.is_frozen:
            metrics.PLANS.labels(group.name, "frozen").inc()
            return
        plan = await asyncio.to_thread(service.balance.plan, placement)
        if plan is None:
            metrics.PLANS.labels(group.name, "stay").inc()
            return
        metrics.PLAN_COST_S.labels(group.name).set(plan.cost_s)
        log_event(
            _log,
            "group.planned",
            group=group.name,
            transfers=plan.transfers,
            saving_s=round(plan.saving_s, 3),
            cost_s=round(plan.cost_s, 3),
        )
        is_carried_out = await self._switch(pack_placement(plan.placement))
        result = "carried-out" if is_carried_out else "failed"
        metrics.PLANS.labels(group.name, result).inc()
        if is_carried_out:
            size = group.rebalancing_options().expert_bytes
            moved = plan.transfers * size
            metrics.MOVED_BYTES.labels(group.name).inc(moved)

    async def _switch_to_pinned(self, version):
        """Switch to the map that operators have pinned, unless it is in force."""
        packed_map = await self.records.read_version(version)
        if packed_map is None:
            log_event(_log, "group.pinned_unknown", map_version=version)
        elif packed_map != self.service.map_in_force():
            await self._switch(packed_map)

    async def _switch(self, packed_map):
        service, clock = self.service, self.service.node.clock
        self.version_count += 1
        # `SwitchCoordinator` cannot await the delivery of a message, so it is queued.
        outbox = []
        coordinator = SwitchCoordinator(
            group=service.group,
            ranks=service.member.ranks,
            generation=service.member.generation,
            fence=self.lease.fence,
            version=self.lease.fence * VERSIONS_PER_FENCE + self.version_count,
            packed_map=packed_map,
            choose_step=service.choose_step,
            send=lambda rank, message: outbox.append((rank, message)),
        )
        service.coordinator = coordinator
        coordinator.start()
        began = phase_began = resent = clock.monotonic()
        phase = coordinator.phase
        is_carried_out = False
        while clock.monotonic() - began < SWITCH_TIMEOUT_S:
            await self._send_outbox(outbox)
            if coordinator.phase is not phase:
                self._record_phase(phase, clock.monotonic() - phase_began)
                phase, phase_began = coordinator.phase, clock.monotonic()
            is_committed = service.switch_result(coordinator)
            if is_committed is not None or phase is SwitchPhase.FENCED:
                is_carried_out = bool(is_committed)
                break
            await clock.sleep(SWITCH_POLL_INTERVAL_S)
            if clock.monotonic() - resent > RESEND_INTERVAL_S:
                resent = clock.monotonic()
                await self.hold_lease()
                coordinator.resend()
        self._record_phase(phase, clock.monotonic() - phase_began)
        service.coordinator = None
        return is_carried_out

    def _record_phase(self, phase, seconds):
        metrics.SWITCH_S.labels(self.service.group, phase.value).observe(seconds)

    async def _send_outbox(self, outbox):
        while outbox:
            rank, message = outbox.pop(0)
            await self.service.deliver(rank, message)

    async def _write_record(self):
        """Write the map in force to the store if the record is stale."""
        service = self.service
        version = service.version_in_force()
        if not service.is_record_stale():
            return
        record = await self.records.read()
        if record is None:
            return
        packed_map = service.map_in_force()
        if record.version != version:
            await self.records.write(
                version, packed_map, expected_revision=record.revision
            )
        await self.records.write_version(version, packed_map)
        service.recorded_version = version


def _group_configuration(service):
    """Return the group's configuration, or None if missing or of another size.

    The number of ranks must match the number of addresses in the agent's settings.
    """
    configuration = service.node.configuration.in_force
    group = configuration.group_by_name.get(service.group)
    if group is not None and group.ranks != service.member.ranks:
        log_event(
            _log,
            "group.sizes_differ",
            group=group.name,
            configured_ranks=group.ranks,
            addresses=service.member.ranks,
        )
        return None
    return group


def _initial_placement(group):
    return initial_placement(
        layers=group.layers,
        ranks=group.ranks,
        experts=group.experts,
        slots=group.slots_per_rank,
    )
