"""Coordination of a group by one agent: collects counters, plans and switches maps.

The agent of rank 0 coordinates. If it stops, the agents of ranks 1 and 2 release a pass
that it holds, and the agent of the lowest rank from 1 to 3 that is running takes over.
"""

import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import DECODING_ERRORS
from prometheus_client import Counter

from magnoliagrade_agent.direct.expert_demand import ExpertDemand
from magnoliagrade_agent.direct.expert_map_codec import pack_experts
from magnoliagrade_agent.direct.group_reader import GroupReader
from magnoliagrade_agent.direct.link_budget import LinkBudget
from magnoliagrade_agent.direct.map_reading import read_experts, read_experts_in_use
from magnoliagrade_agent.direct.placement_arrays import expert_lists, placement_array
from magnoliagrade_agent.direct.ports import LocalRankClient
from magnoliagrade_agent.direct.rank_directory import RankDirectory, formation_key
from magnoliagrade_agent.direct.stall_detection import (
    RECOVERY_CANDIDATES,
    StallDetector,
    is_recovery_candidate,
)
from magnoliagrade_agent.direct.switching import (
    GroupSwitch,
    SwitchFailed,
    is_unsettled,
)

__all__ = ["Coordinator", "is_coordinator"]

# Interval of plans. `LinkBudget` bounds what is read each time.
PLAN_INTERVAL_S = 0.25
# Longer interval while shorter passes would serve no caller better, so that fewer
# counters cross data centres.
LOW_LOAD_PLAN_INTERVAL_S = 0.35
# Shortest pause between two plans, if a plan and its switch take longer than the
# interval: the ranks' servers and the agent's machine have other work.
MIN_PAUSE_S = 0.05
# Interval at which the agents of other ranks check whether they have to take over; well
# below the time without calls (2.5 s, and 2 s more for each rank) after which they do.
STANDBY_CHECK_INTERVAL_S = 1.0
# Interval at which the agents that may recover a group check whether it has stalled.
RECOVERY_CHECK_INTERVAL_S = 0.25
# Interval of the check for a stalled group by the agent whose rank holds a pass.
HELD_PASS_CHECK_INTERVAL_S = 0.1
# Interval at which a recovery candidate tries to find the ranks before it needs them.
DISCOVERY_INTERVAL_S = 2.0
# The agent of rank r takes over as coordinator if no other agent has called it for
# TAKEOVER_SILENCE_S + r * TAKEOVER_SILENCE_PER_RANK_S, so that lower ranks do so first.
TAKEOVER_SILENCE_S = 2.5
TAKEOVER_SILENCE_PER_RANK_S = 2.0
# Number of ranks whose agents may coordinate: two machines and one data centre may fail
# at once.
COORDINATOR_CANDIDATES = 4
# Longest wait for the pass of a switch, after which the map in use is read again.
# Longer than the passes until a switch take in a busy group.
SWITCH_TIMEOUT_S = 3.0

SWITCHES = Counter("magnoliagrade_group_switches_total", "Map switches", ["result"])
_log = logging.getLogger(__name__)


def is_coordinator(rank, *, seconds_since_call):
    """Return whether the agent of a rank has to coordinate its group.

    Parameters
    ----------
    rank : int
        Rank.
    seconds_since_call : float
        Seconds since the last call of another agent.
    """
    if rank == 0:
        return True
    return (
        rank < COORDINATOR_CANDIDATES
        and seconds_since_call > TAKEOVER_SILENCE_S + TAKEOVER_SILENCE_PER_RANK_S * rank
    )


class Coordinator:
    """Coordinates the group of this agent's rank, or stands by to take over.

    Parameters
    ----------
    node : DirectAgent
        The agent.
    """

    __slots__ = (
        "_clients",
        "_demand",
        "_directory",
        "_formation",
        "_is_load_low",
        "_last_failure",
        "_last_pass_sample",
        "_local_client",
        "_next_discovery_at",
        "_node",
        "_pending_version",
        "_placement",
        "_placement_version",
        "_read_s",
        "_reader",
        "_slow_ranks",
        "_stall_detector",
        "_switch",
        "_switch_deadline",
    )

    def __init__(self, *, node):
        self._node = node
        self._local_client = LocalRankClient(member=node.member)
        self._directory = RankDirectory(node=node, local_client=self._local_client)
        self._formation = None
        self._last_failure = ""
        self._is_load_low = False
        self._read_s = 0.0
        self._reader = GroupReader(
            budget=LinkBudget(link_mbps=node.settings.link_mbps), clock=node.clock
        )
        self._next_discovery_at = 0.0
        self._switch_deadline = 0.0
        self._slow_ranks = node.slow_ranks
        self._stall_detector = StallDetector(clock=node.clock)
        self._demand = ExpertDemand(
            node=node, reader=self._reader, directory=self._directory
        )
        self._reset()

    async def run(self):
        """Coordinate, recover or stand by, by the rank's status, until cancelled.

        It may be called again after it has failed: the ranks are then found again, and
        a switch that was under way is settled.
        """
        self._formation = None
        while True:
            began_at = self._node.clock.monotonic()
            try:
                status = await self._local_client.status()
                pause_s = _pause_s(status)
                if self._is_coordinating(status):
                    await self._coordinate_once(status)
                    took_s = self._node.clock.monotonic() - began_at
                    pause_s = max(MIN_PAUSE_S, self._plan_interval_s() - took_s)
                elif self._stall_detector.is_stalled(status):
                    await self._recover_group(status)
                elif is_recovery_candidate(status):
                    await self._discover_ranks_ahead(status)
                self._log_new_failure("")
            except MagnoliagradeError as exc:
                self._log_new_failure(exc.detail)
                pause_s = PLAN_INTERVAL_S
            except DECODING_ERRORS as exc:
                # A response of a server may be malformed.
                self._log_new_failure(
                    f"replies of ranks could not be used: {type(exc).__name__}: {exc}"
                )
                pause_s = PLAN_INTERVAL_S
            await self._node.clock.sleep(pause_s)

    def _log_new_failure(self, detail):
        if detail and detail != self._last_failure:
            log_event(_log, "group.step.failed", detail=detail)
        self._last_failure = detail

    async def _discover_ranks_ahead(self, status):
        """Find the ranks of a new formation in advance, so that a recovery is quick."""
        now = self._node.clock.monotonic()
        if self._formation == formation_key(status) or now < self._next_discovery_at:
            return
        self._next_discovery_at = now + DISCOVERY_INTERVAL_S
        await self._adopt_formation(status)

    async def _recover_group(self, status):
        """Release a pass that another agent has held and not released."""
        await self._adopt_formation(status, suspect_address=self._node.last_coordinator)
        address = self._node.last_coordinator
        coordinator = next((c for c in self._clients if c.name == address), None)
        log_event(
            _log,
            "group.rescue",
            epoch=status.epoch,
            step=status.step,
            coordinator=address,
        )
        engine = await self._node.engine()
        experts = await read_experts(
            self._clients,
            status.map_version,
            size=engine.experts if engine else 0,
            suspect=coordinator,
        )
        await self._switch.settle(experts, coordinator=coordinator)

    def _is_coordinating(self, status):
        if not status.group or not status.is_open:
            return False
        return is_coordinator(
            status.rank, seconds_since_call=self._node.seconds_since_call()
        )

    def _plan_interval_s(self):
        return LOW_LOAD_PLAN_INTERVAL_S if self._is_load_low else PLAN_INTERVAL_S

    async def _coordinate_once(self, status):
        await self._adopt_formation(status)
        began_at = self._node.clock.monotonic()
        statuses = await self._demand.read(
            self._clients, status.epoch, interval_s=self._plan_interval_s()
        )
        self._read_s = self._node.clock.monotonic() - began_at
        if statuses is None:
            return
        self._slow_ranks.update_paces(
            status.group,
            {
                self._address_of(client): state.pace
                for client, state in zip(self._clients, statuses, strict=True)
            },
        )
        if self._is_switch_pending(statuses):
            return
        if any(is_unsettled(status) for status in statuses):
            experts = await read_experts_in_use(self._clients, statuses)
            await self._switch.settle(experts)
            self._placement_version = None
            return
        await self._balance(statuses)

    def _address_of(self, client):
        return (
            self._node.settings.server_address
            if client is self._local_client
            else client.name
        )

    async def _adopt_formation(self, status, *, suspect_address=""):
        """Find the ranks again and reset the state if the group has a new formation."""
        if formation_key(status) == self._formation and self._switch:
            return
        self._reset()
        self._formation = formation_key(status)
        self._clients = await self._directory.find(
            status, suspect_address=suspect_address
        )
        has_others = self._directory.has_other_groups
        self._node.group_notices.set_ranks(
            map(self._address_of, self._clients) if has_others else ()
        )
        self._switch = GroupSwitch(
            clients=self._clients,
            local_client=self._local_client,
            epoch=status.epoch,
            clock=self._node.clock,
            rng=self._node.rng,
        )

    async def _balance(self, statuses):
        from magnoliagrade_agent.direct import planning

        engine = await self._node.engine()
        if engine is None or not engine.experts:
            return
        pass_s = self._mean_pass_s(statuses[0].step, self._node.clock.monotonic())
        version = statuses[0].map_version
        if version != self._placement_version:
            self._placement = placement_array(
                await read_experts_in_use(self._clients, statuses), engine.experts
            )
            self._placement_version = version
        if not self._demand.has_enough_choices:
            return
        choices = self._demand.window.choices
        load_skew = planning.load_skew(self._placement, choices)
        event_rate = self._demand.event_rate
        event_rate.update(statuses, pass_s=pass_s, now=self._node.clock.monotonic())
        settled_s = planning.settled_pass_s(
            events_per_s=event_rate.per_s, engine=engine, load_skew=load_skew
        )
        urgency = planning.rebalance_urgency(
            statuses,
            slots=engine.slots,
            pass_s=max(pass_s, settled_s),
            gap_objective_s=self._node.gap_objective_s,
        )
        self._is_load_low = not urgency
        log_event(
            _log,
            "group.counted",
            map_version=version,
            pass_s=round(pass_s, 3),
            pressure=round(urgency, 2),
            read_s=round(self._read_s, 3),
            running=sum(status.running for status in statuses),
            settled_s=round(settled_s, 3),
            skew=round(load_skew, 2),
            waiting=sum(status.waiting for status in statuses),
        )
        if self._is_load_low:
            return
        speeds = planning.rank_speeds(statuses)
        planned = planning.plan_placement(
            self._placement,
            choices,
            speeds,
            places=engine.places,
            spare=engine.spare,
            min_gain_per_copy=planning.required_gain_per_copy(urgency)
            / engine.expert_share,
        )
        saving = planning.pass_time_saving(
            self._placement,
            planned,
            choices,
            speeds,
            expert_share=engine.expert_share,
        )
        if saving < planning.required_saving(urgency):
            return
        log_event(
            _log,
            "group.planned",
            map_version=version,
            pressure=round(urgency, 2),
            pass_s=round(pass_s, 3),
            saving=round(saving, 3),
            copies=int((planned & ~self._placement).sum()),
            skew=round(load_skew, 2),
            slowest_pace=max(status.pace for status in statuses),
        )
        await self._switch_to(planned, pass_s)

    def _mean_pass_s(self, step, now):
        """Return the mean length of the passes since the last call; 0 for no pass."""
        last_step, last_at = self._last_pass_sample or (step, now)
        self._last_pass_sample = (step, now)
        return (now - last_at) / (step - last_step) if step > last_step else 0.0

    async def _switch_to(self, planned, pass_s):
        experts = expert_lists(planned)
        map_bytes = len(pack_experts(experts))
        ranks = len(self._clients)
        if not self._reader.budget.may_send_map(ranks, map_bytes):
            SWITCHES.labels("too large").inc()
            raise SwitchFailed(
                f"a map of {map_bytes} bytes for each of {ranks} ranks is too large "
                f"for a link of {self._node.settings.link_mbps:g} Mbit/s: the group "
                "keeps its map"
            )
        try:
            version = await self._switch.run(
                experts, expert_lists(self._placement), pass_s=pass_s
            )
        except MagnoliagradeError:
            SWITCHES.labels("failed").inc()
            self._placement_version = None
            raise
        SWITCHES.labels("done").inc()
        self._placement = planned
        self._placement_version = version
        self._pending_version = version
        self._switch_deadline = self._node.clock.monotonic() + SWITCH_TIMEOUT_S

    def _is_switch_pending(self, statuses):
        """Return whether the group has yet to reach the pass of the last switch.

        Ranks report the former map until that pass. The coordinator does not block on
        it, since a rank that becomes slow right after the switch was armed makes the
        remaining passes take seconds.
        """
        if self._pending_version is None:
            return False
        if all(status.map_version == self._pending_version for status in statuses):
            self._pending_version = None
            return False
        if self._node.clock.monotonic() < self._switch_deadline:
            return True
        self._pending_version = None
        self._placement_version = None
        return False

    def _reset(self):
        self._last_pass_sample = None
        self._clients = []
        self._switch = None
        self._placement = None
        self._pending_version = None
        self._demand.reset()
        self._placement_version = None


def _pause_s(status):
    if status.rank == 0:
        return PLAN_INTERVAL_S
    if status.group and status.rank <= RECOVERY_CANDIDATES:
        is_held = status.held_step is not None
        return HELD_PASS_CHECK_INTERVAL_S if is_held else RECOVERY_CHECK_INTERVAL_S
    return STANDBY_CHECK_INTERVAL_S
