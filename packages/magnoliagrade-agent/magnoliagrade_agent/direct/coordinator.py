"""The coordinator of a group: counts, plans and switches, from one agent."""

import asyncio
import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from prometheus_client import Counter

from magnoliagrade_agent.direct.ports import OwnPort, RankUnreachable, ask_briefly
from magnoliagrade_agent.direct.rank_directory import RankDirectory, formation_of
from magnoliagrade_agent.direct.switching import (
    GroupSwitch,
    is_next_pass_held,
    is_unsettled,
)

__all__ = ["Coordinator", "is_coordinator"]

# Plans are made this often; a reading of all counters moves some 10 KB.
INTERVAL_S = 0.4
# While shorter passes would serve nobody better: fewer counters cross data centres.
CALM_INTERVAL_S = 0.7
# Agents of other ranks look this often whether they have to take over; well within
# TAKE_OVER_S.
STANDBY_INTERVAL_S = 1.0
# The next ranks' agents look this often, and release a pass that the coordinator has
# held and left. The rank that holds it knows so, and a held pass is released within
# some 50 ms otherwise; the other sees that the group has stood still for long.
# Callers of streams leave after two seconds without an event (platform pages).
RESCUERS = 2
RESCUE_INTERVAL_S = 0.25
RESCUE_HELD_INTERVAL_S = 0.1
RESCUE_HELD_AFTER_S = 0.25
RESCUE_STANDING_AFTER_S = 1.0
# The same as a multiple of the length of passes, which a slow rank makes long.
RESCUE_STANDING_PASSES = 4
# An agent that is about to rescue finds the ranks beforehand, tried this often.
FIND_INTERVAL_S = 2.0
# An agent takes over once no agent of a lower rank has called for this long, and
# longer for each rank above.
TAKE_OVER_S = 2.5
TAKE_OVER_RANK_S = 2.0
# Ranks that may coordinate: two machines and one data centre may be lost at once.
CANDIDATES = 4
# Longer than the passes ahead of a switch take in a busy group; then it is looked into.
SWITCH_WAIT_S = 3.0

SWITCHES = Counter("magnoliagrade_group_switches_total", "Map switches", ["result"])
_log = logging.getLogger(__name__)


def is_coordinator(rank, *, silent_s):
    """Return whether the agent of a rank coordinates its group.

    Parameters
    ----------
    rank : int
        Rank.
    silent_s : float
        Seconds since an agent of a lower rank has called.
    """
    if rank == 0:
        return True
    return rank < CANDIDATES and silent_s > TAKE_OVER_S + TAKE_OVER_RANK_S * rank


class Coordinator:
    """Plans and switches of the group of this agent's rank.

    Parameters
    ----------
    node : DirectAgent
        The agent.
    """

    __slots__ = (
        "_directory",
        "_due_until",
        "_due_version",
        "_failure",
        "_find_at",
        "_formation",
        "_is_calm",
        "_node",
        "_own",
        "_pass_mark",
        "_placement",
        "_placement_version",
        "_ports",
        "_recent_pass_s",
        "_slow_ranks",
        "_progress",
        "_progress_at",
        "_switch",
        "_window",
    )

    def __init__(self, *, node):
        self._node = node
        self._own = OwnPort(member=node.member)
        self._directory = RankDirectory(node=node, own=self._own)
        self._formation = None
        self._failure = ""
        self._is_calm = False
        self._find_at = 0.0
        self._due_until = 0.0
        self._slow_ranks = node.slow_ranks
        self._progress = None
        self._progress_at = 0.0
        self._recent_pass_s = 0.0
        self._window = None
        self._reset()

    async def run(self):
        """Coordinate whenever it is this agent's turn, until cancelled."""
        while True:
            try:
                status = await self._own.status()
                pause_s = _pause_s(status)
                if self._is_turn(status):
                    await self._step(status)
                    pause_s = CALM_INTERVAL_S if self._is_calm else INTERVAL_S
                elif self._is_left_standing(status):
                    await self._rescue(status)
                elif self._is_rescuer(status):
                    await self._find_early(status)
                self._note_failure("")
            except MagnoliagradeError as exc:
                self._note_failure(exc.detail)
                pause_s = INTERVAL_S
            except (KeyError, TypeError, ValueError) as exc:
                # What a server says may be of another shape than expected.
                self._note_failure(f"{type(exc).__name__}: {exc}")
                pause_s = INTERVAL_S
            await self._node.clock.sleep(pause_s)

    def _note_failure(self, detail):
        if detail and detail != self._failure:
            log_event(_log, "group.step.failed", detail=detail)
        self._failure = detail

    def _is_rescuer(self, status):
        return status.is_open and 0 < status.rank <= RESCUERS

    def _is_left_standing(self, status):
        """Return whether the group has work but begins no pass for too long."""
        now = self._node.clock.monotonic()
        progress = (status.epoch, status.step)
        if progress != self._progress or not status.running or not status.is_open:
            self._note_progress(progress, now)
            return False
        if not self._is_rescuer(status):
            return False
        stands_s = now - self._progress_at
        if is_next_pass_held(status):
            return stands_s > RESCUE_HELD_AFTER_S
        usual_s = RESCUE_STANDING_PASSES * self._recent_pass_s
        return stands_s > max(RESCUE_STANDING_AFTER_S * status.rank, usual_s)

    def _note_progress(self, progress, now):
        if self._progress and self._progress[0] == progress[0]:
            passes = progress[1] - self._progress[1]
            if passes > 0:
                self._recent_pass_s = (now - self._progress_at) / passes
        self._progress = progress
        self._progress_at = now

    async def _find_early(self, status):
        """Find the ranks before a rescue needs them."""
        now = self._node.clock.monotonic()
        if self._formation == formation_of(status) or now < self._find_at:
            return
        self._find_at = now + FIND_INTERVAL_S
        await self._take_formation(status)

    async def _rescue(self, status):
        """Release a pass that another agent has held and left."""
        await self._take_formation(status, may_miss=self._node.last_caller)
        caller = self._node.last_caller
        coordinator = next((p for p in self._ports if p.name == caller), None)
        log_event(
            _log,
            "group.rescue",
            epoch=status.epoch,
            step=status.step,
            coordinator=caller,
        )
        experts = await self._experts_at(status.map_version, missing=coordinator)
        await self._switch.settle(experts, coordinator=coordinator)

    def _is_turn(self, status):
        if not status.group or not status.is_open:
            return False
        return is_coordinator(status.rank, silent_s=self._node.silent_s())

    async def _step(self, status):
        await self._take_formation(status)
        states = await asyncio.gather(
            *(port.counts(status.epoch) for port in self._ports)
        )
        statuses = [state for state, _ in states]
        self._slow_ranks.note(
            status.group,
            {
                self._address_of(port): state.pace
                for port, state in zip(self._ports, statuses, strict=True)
            },
        )
        if self._awaits_switch(statuses):
            return
        if any(is_unsettled(status) for status in statuses):
            experts = await self._experts_in_use(statuses)
            await self._switch.settle(experts)
            self._placement_version = None
            return
        await self._balance(statuses, [counts for _, counts in states])

    def _address_of(self, port):
        return self._node.settings.server_address if port is self._own else port.name

    async def _take_formation(self, status, *, may_miss=""):
        """Find the ranks anew if the group has formed anew."""
        if formation_of(status) == self._formation and self._switch:
            return
        self._reset()
        self._formation = formation_of(status)
        self._ports = await self._directory.find(status, may_miss=may_miss)
        self._switch = GroupSwitch(
            ports=self._ports,
            own=self._own,
            epoch=status.epoch,
            clock=self._node.clock,
            rng=self._node.rng,
        )

    async def _balance(self, statuses, counts):
        # Only the coordinator needs arrays, and its agent's memory.
        from magnoliagrade_agent.direct import planning

        engine = await self._node.engine()
        if engine is None or not engine.experts:
            return
        now = self._node.clock.monotonic()
        pass_s = self._pass_length_s(statuses[0].step, now)
        if self._window is None:
            self._window = planning.CountWindow(
                sets=engine.sets, experts=engine.experts
            )
        self._window.add(dict(enumerate(counts)), now=now)
        version = statuses[0].map_version
        if version != self._placement_version:
            self._placement = _as_holds(
                await self._experts_in_use(statuses), engine.experts
            )
            self._placement_version = version
        if not self._window.has_enough:
            return
        pressure = planning.pressure(
            statuses,
            slots=engine.slots,
            pass_s=pass_s,
            gap_objective_s=self._node.gap_objective_s,
        )
        self._is_calm = not pressure
        if self._is_calm:
            return
        choices = self._window.choices
        speeds = planning.speeds_of(statuses)
        planned = planning.plan_placement(
            self._placement,
            choices,
            speeds,
            places=engine.places,
            spare=engine.spare,
            least_gain=planning.least_gain(pressure) / engine.expert_share,
        )
        saving = planning.saving(
            self._placement,
            planned,
            choices,
            speeds,
            expert_share=engine.expert_share,
        )
        if saving < planning.LEAST_SAVING:
            return
        log_event(
            _log,
            "group.planned",
            map_version=version,
            pressure=round(pressure, 2),
            pass_s=round(pass_s, 3),
            saving=round(saving, 3),
            copies=int((planned & ~self._placement).sum()),
            skew=round(planning.skew_of(self._placement, choices), 2),
            slowest_pace=max(status.pace for status in statuses),
        )
        await self._switch_to(planned, pass_s)

    def _pass_length_s(self, step, now):
        """Return the mean length of the passes since the last look; 0 without any."""
        last_step, last_at = self._pass_mark or (step, now)
        self._pass_mark = (step, now)
        return (now - last_at) / (step - last_step) if step > last_step else 0.0

    async def _switch_to(self, planned, pass_s):
        try:
            version = await self._switch.run(
                _as_experts(planned), _as_experts(self._placement), pass_s=pass_s
            )
        except MagnoliagradeError:
            SWITCHES.labels("failed").inc()
            self._placement_version = None
            raise
        SWITCHES.labels("done").inc()
        self._placement = planned
        self._placement_version = version
        self._due_version = version
        self._due_until = self._node.clock.monotonic() + SWITCH_WAIT_S

    def _awaits_switch(self, statuses):
        """Return whether the group has yet to reach the pass of the last switch.

        Ranks report the former map until then. The loop goes on meanwhile: a rank that
        turns slow right after a switch makes the way to its pass seconds long.
        """
        if self._due_version is None:
            return False
        if all(status.map_version == self._due_version for status in statuses):
            self._due_version = None
            return False
        if self._node.clock.monotonic() < self._due_until:
            return True
        self._due_version = None
        self._placement_version = None
        return False

    async def _experts_in_use(self, statuses):
        version = statuses[0].map_version
        if any(status.map_version != version for status in statuses):
            raise RankUnreachable("a switch is under way")
        return await self._experts_at(version)

    async def _experts_at(self, version, *, missing=None):
        """Return the map in use; a missing rank gets what no other rank holds."""
        found = await asyncio.gather(
            *(
                ask_briefly(port.experts(version))
                if port is missing
                else port.experts(version)
                for port in self._ports
            ),
            return_exceptions=True,
        )
        by_rank = []
        for port, experts in zip(self._ports, found, strict=True):
            is_missing = isinstance(experts, MagnoliagradeError) and port is missing
            if isinstance(experts, BaseException) and not is_missing:
                raise experts
            by_rank.append(None if is_missing else experts)
        if None in by_rank:
            engine = await self._node.engine()
            by_rank[by_rank.index(None)] = _left_over(by_rank, engine.experts)
        return [list(ranks) for ranks in zip(*by_rank, strict=True)]

    def _reset(self):
        self._pass_mark = None
        self._ports = []
        self._switch = None
        self._placement = None
        self._due_version = None
        if self._window is not None:
            self._window.start_anew()
        self._placement_version = None


def _pause_s(status):
    if status.rank == 0:
        return INTERVAL_S
    if status.group and status.rank <= RESCUERS:
        is_held = status.held_step is not None
        return RESCUE_HELD_INTERVAL_S if is_held else RESCUE_INTERVAL_S
    return STANDBY_INTERVAL_S


def _left_over(by_rank, size):
    known = [experts for experts in by_rank if experts is not None]
    return [
        sorted(set(range(size)).difference(*held)) for held in zip(*known, strict=True)
    ]


def _as_experts(holds):
    return [[row.nonzero()[0].tolist() for row in ranks] for ranks in holds]


def _as_holds(experts, size):
    import numpy as np

    holds = np.zeros((len(experts), len(experts[0]), size), dtype=bool)
    for index, ranks in enumerate(experts):
        for rank, held in enumerate(ranks):
            holds[index, rank, held] = True
    return holds
