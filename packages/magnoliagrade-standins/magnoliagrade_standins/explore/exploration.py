"""Random walks over messages, losses and restarts in a group of ranks.

Each walk is checked by the maps with which the ranks began their steps.
"""

import contextlib
import functools
import random
from dataclasses import dataclass

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.wire import StageAck
from magnoliagrade_agent.group import MapRecord

from magnoliagrade_standins.explore.faults import planted_faults
from magnoliagrade_standins.explore.orders import UnreliableOrders
from magnoliagrade_standins.ranks import Rank, RankGroup, find_map_conflict

__all__ = ["ExplorationPlan", "Finding", "RandomWalk", "explore", "run_to_completion"]

GROUP = "group"
# Messages sent while this many are in flight are lost.
MAX_MESSAGES_IN_FLIGHT = 200
# A group that does not step on within these rounds without faults counts as stuck.
MAX_RECOVERY_ROUNDS = 60
# An agent increments its incarnation when its rank restarts. The distance keeps the
# incarnations of later agents higher.
INCARNATIONS_PER_START = 1000


@dataclass(slots=True, kw_only=True)
class ExplorationPlan:
    """Bounds of the random walks.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    walks : int
        Number of walks.
    events : int
        Number of random events in each walk.
    restarts : int
        Maximum number of restarts in each walk, each of an agent, its rank or both.
    switches : int
        Maximum number of switches started in each walk.
    seed : int
        Seed of the first walk; each further walk uses the next integer.
    failing_part : float
        Fraction of the orders to ranks that get no reply, from 0 to 1.
    fault : str
        Name of a planted fault in `planted_faults`.
    """

    ranks: int = 3
    walks: int = 200
    events: int = 400
    restarts: int = 3
    switches: int = 3
    seed: int = 1
    failing_part: float = 0.02
    fault: str = "none"


@dataclass(slots=True, kw_only=True)
class Finding:
    """Result of the random walks.

    Parameters
    ----------
    walks : int
        Number of walks carried out.
    events : int
        Number of random events in all walks.
    steps : int
        Number of steps begun, counted for each rank.
    switches : int
        Number of maps that came into use after the first map of each walk.
    two_maps : str
        Seed and records of the first step begun with two maps; empty if there is none.
    stuck_seeds : list of int
        Seeds of walks after which the group did not recover when faults ended.
    """

    walks: int = 0
    events: int = 0
    steps: int = 0
    switches: int = 0
    two_maps: str = ""
    stuck_seeds: list


class RandomWalk:
    """Group of ranks and agents to which random events happen.

    Parameters
    ----------
    plan : ExplorationPlan
        Bounds of the walk.
    seed : int
        Seed of the random number generator.
    """

    def __init__(self, *, plan, seed):
        self.plan = plan
        self.rng = random.Random(seed)
        self.fault = planted_faults.get(plan.fault)
        self.group = RankGroup(ranks=[Rank(index=i) for i in range(plan.ranks)])
        self.in_flight = []
        self.cut_links = set()
        self.is_recovering = False
        self.undetected_restarts = set()
        self.coordinators = []
        self.member_by_rank = {}
        self.agent_starts = 0
        self.restarts_left = plan.restarts
        self.switches_left = plan.switches
        for rank in range(plan.ranks):
            self.start_member(rank)

    def start_member(self, rank):
        """Start a new agent for a rank, with no state and a higher incarnation."""
        self.agent_starts += 1
        member = self.fault.member_class(
            group=GROUP,
            rank=rank,
            ranks=self.plan.ranks,
            incarnation=self.agent_starts * INCARNATIONS_PER_START,
            orders=UnreliableOrders(
                rank=self.group.ranks[rank],
                rng=self.rng,
                failure_rate=self.failure_rate,
            ),
            send=functools.partial(self.send, rank),
        )
        self.member_by_rank[rank] = member
        self.undetected_restarts.discard(rank)
        self.run_until_order_fails(member.start())

    def run_until_order_fails(self, coroutine):
        """Run a coroutine of an agent until it ends or an order to the rank fails."""
        with contextlib.suppress(MagnoliagradeError):
            run_to_completion(coroutine)

    def failure_rate(self):
        """Return the fraction of orders to ranks that currently get no reply."""
        return 0.0 if self.is_recovering else self.plan.failing_part

    def send(self, sender, rank, message):
        """Send a message from one rank's agent to another unless their link is cut."""
        if (sender, rank) not in self.cut_links:
            self.put_in_flight(rank, message)

    def put_in_flight(self, rank, message):
        """Queue a message to a rank's agent; it is lost if too many are in flight."""
        if len(self.in_flight) < MAX_MESSAGES_IN_FLIGHT:
            self.in_flight.append((rank, message))

    def run(self):
        """Start the group, let the random events happen and return their number."""
        self.recover()
        for _ in range(self.plan.events):
            self.rng.choices(_EVENT_METHODS, _EVENT_WEIGHTS)[0](self)
        return self.plan.events

    def recover(self):
        """End all faults and return whether every rank completes further steps."""
        self.cut_links.clear()
        self.is_recovering = True
        is_recovered = self.run_without_faults()
        self.is_recovering = False
        return is_recovered

    def run_without_faults(self):
        """Run agents and ranks in rounds; return whether every rank steps on."""
        goal = max(r.completed for r in self.group.ranks) + 2
        for _ in range(MAX_RECOVERY_ROUNDS):
            for rank, member in self.member_by_rank.items():
                self.detect_rank_restart(rank)
                run_to_completion(member.offer_record(self.record(), 0))
                run_to_completion(member.tick(is_query_due=True))
                self.group.advance(rank)
            while self.in_flight:
                self.deliver(self.in_flight.pop(0))
            if min(r.completed for r in self.group.ranks) >= goal:
                return True
        return False

    def record(self):
        """Return the group's record in the store, which still has the first map."""
        return MapRecord(version=1, map=b"1")

    def deliver(self, item):
        """Deliver a message to the current agent of a rank.

        Parameters
        ----------
        item : tuple of int and object
            The rank and the message.
        """
        rank, message = item
        member = self.member_by_rank[rank]

        def reply(response):
            self.send_reply(message, response)

        self.run_until_order_fails(member.on_message(message, reply))

    def send_reply(self, message, reply):
        """Send a reply to the sender of a message, or a `StageAck` to coordinators."""
        if isinstance(reply, StageAck):
            for coordinator in self.coordinators:
                coordinator.on_stage_ack(reply)
            return
        self.put_in_flight(message.rank, reply)

    def on_deliver(self):
        """Deliver a message: half of the time the oldest, otherwise a random one."""
        if self.in_flight:
            is_in_order = self.rng.random() < 0.5
            choices = 1 if is_in_order else len(self.in_flight)
            self.deliver(self.in_flight.pop(self.rng.randrange(choices)))

    def on_drop(self):
        """Drop a random message in flight."""
        if self.in_flight:
            self.in_flight.pop(self.rng.randrange(len(self.in_flight)))

    def on_partition(self):
        """Cut all links on which a random agent sends, or restore all cut links."""
        if self.cut_links:
            self.cut_links.clear()
            return
        sender = self.rng.randrange(self.plan.ranks)
        self.cut_links = {(sender, rank) for rank in range(self.plan.ranks)}

    def on_duplicate(self):
        """Deliver a random message in flight and keep it in flight."""
        if self.in_flight:
            self.deliver(self.rng.choice(self.in_flight))

    def on_advance(self):
        """Let a random rank complete or begin a step."""
        self.group.advance(self.rng.randrange(self.plan.ranks))

    def on_tick(self):
        """Let a random agent check its rank and resend messages."""
        rank = self.rng.randrange(self.plan.ranks)
        self.detect_rank_restart(rank)
        is_due = self.rng.random() < 0.2
        self.run_until_order_fails(self.member_by_rank[rank].tick(is_query_due=is_due))

    def detect_rank_restart(self, rank):
        """Let an agent detect that its rank has restarted, if it has."""
        if rank in self.undetected_restarts:
            self.undetected_restarts.discard(rank)
            self.run_until_order_fails(self.member_by_rank[rank].restart_rank())

    def on_store_read(self):
        """Let a random agent read the group's record from the store."""
        member = self.member_by_rank[self.rng.randrange(self.plan.ranks)]
        self.run_until_order_fails(member.offer_record(self.record(), 0))

    def on_restart(self):
        """Restart a random rank, its agent or both, mostly while a switch is open."""
        # Most faults of the protocol show only if a restart meets an open switch.
        is_open = any(m.is_open() for m in self.member_by_rank.values())
        if not self.restarts_left or not (is_open or self.rng.random() < 0.1):
            return
        self.restarts_left -= 1
        kind = self.rng.choice(("agent", "rank", "both", "both"))
        self.restart(self.rng.randrange(self.plan.ranks), kind)

    def restart(self, rank, kind):
        """Restart a rank's `agent`, the `rank` itself, or `both`, as `kind` says."""
        if kind != "agent":
            self.group.ranks[rank].restart()
        if kind == "rank":
            self.undetected_restarts.add(rank)
        else:
            self.start_member(rank)

    def on_switch(self):
        """Start a switch by a new coordinator; earlier coordinators stay active."""
        running = [m for m in self.member_by_rank.values() if m.is_running]
        if not self.switches_left or not running:
            return
        self.switches_left -= 1
        self.begin_switch(
            fence=1 + len(self.coordinators),
            generation=self.rng.choice(running).generation,
        )

    def begin_switch(self, *, fence, generation):
        """Start a switch by a new coordinator with a given fencing token."""
        version = 2 + len(self.coordinators)
        coordinator = self.fault.coordinator_class(
            group=GROUP,
            ranks=self.plan.ranks,
            generation=generation,
            fence=fence,
            version=version,
            packed_map=str(version).encode(),
            choose_step=self.choose_step,
            send=self.put_in_flight,
        )
        self.coordinators.append(coordinator)
        coordinator.start()

    def choose_step(self):
        """Return a step one or two after the newest step that any rank has begun."""
        return max(r.begun for r in self.group.ranks) + self.rng.randrange(1, 3)

    def on_resend(self):
        """Let a random coordinator resend its orders, even if its lease has expired."""
        if self.coordinators:
            self.rng.choice(self.coordinators).resend()


_WEIGHT_BY_EVENT = {
    RandomWalk.on_deliver: 60,
    RandomWalk.on_drop: 3,
    RandomWalk.on_partition: 2,
    RandomWalk.on_duplicate: 3,
    RandomWalk.on_advance: 30,
    RandomWalk.on_tick: 4,
    RandomWalk.on_store_read: 2,
    RandomWalk.on_restart: 4,
    RandomWalk.on_switch: 2,
    RandomWalk.on_resend: 2,
}
_EVENT_METHODS = list(_WEIGHT_BY_EVENT)
_EVENT_WEIGHTS = list(_WEIGHT_BY_EVENT.values())


def explore(plan):
    """Return the finding of a plan's walks; stop at the first step with two maps.

    Parameters
    ----------
    plan : ExplorationPlan
        Bounds of the walks and the planted fault.

    Returns
    -------
    finding : Finding
        Result of the walks.
    """
    finding = Finding(stuck_seeds=[])
    for seed in range(plan.seed, plan.seed + plan.walks):
        walk = RandomWalk(plan=plan, seed=seed)
        finding.events += walk.run()
        has_recovered = walk.recover()
        records = walk.group.records
        finding.walks += 1
        finding.steps += len(records)
        finding.switches += len({r.version for r in records}) - 1 if records else 0
        conflict = find_map_conflict(records)
        if conflict is not None:
            finding.two_maps = f"seed {seed}: {conflict[0]} and {conflict[1]}"
            break
        if not has_recovered:
            finding.stuck_seeds.append(seed)
    return finding


def run_to_completion(coroutine):
    """Run a coroutine that never suspends and return its result.

    Raises
    ------
    RuntimeError
        If the coroutine suspends.
    """
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    coroutine.close()
    raise RuntimeError(
        "the agent's coroutine suspended; it may await only orders to its rank"
    )
