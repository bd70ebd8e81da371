"""Random walks over what can happen to a group, checked by its record."""

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

__all__ = ["Exploration", "ExplorationPlan", "Finding", "explore", "finish"]

GROUP = "group"
MAX_IN_FLIGHT = 200
SETTLING_ROUNDS = 60
STARTS_APART = 1000


@dataclass(slots=True, kw_only=True)
class ExplorationPlan:
    """Bounds of the walks.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    walks : int
        Number of walks.
    events : int
        Events of one walk.
    restarts : int
        Restarts in one walk, of an agent, a rank or both.
    switches : int
        Switches begun in one walk.
    seed : int
        Seed of the first walk; the next ones count up.
    failing_part : float
        Part of the orders to ranks that get no answer.
    fault : str
        Name of a planted fault.
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
    """What the walks showed.

    Parameters
    ----------
    walks : int
        Walks taken.
    events : int
        Events in all.
    steps : int
        Steps begun by ranks.
    switches : int
        Maps that came into use after the first one.
    two_maps : str
        First step with two maps, with its seed; empty if there is none.
    stuck_seeds : list of int
        Walks after which the group did not run again once faults ended.
    """

    walks: int = 0
    events: int = 0
    steps: int = 0
    switches: int = 0
    two_maps: str = ""
    stuck_seeds: list


class Exploration:
    """One walk.

    Parameters
    ----------
    plan : ExplorationPlan
        Bounds.
    seed : int
        Seed of this walk.
    """

    def __init__(self, *, plan, seed):
        self.plan = plan
        self.rng = random.Random(seed)
        self.fault = planted_faults.get(plan.fault)
        self.group = RankGroup(ranks=[Rank(index=i) for i in range(plan.ranks)])
        self.in_flight = []
        self.cuts = set()
        self.is_settling = False
        self.unnoticed = set()
        self.coordinators = []
        self.member_by_rank = {}
        self.starts = 0
        self.restarts_left = plan.restarts
        self.switches_left = plan.switches
        for rank in range(plan.ranks):
            self.start_member(rank)

    def start_member(self, rank):
        """Start an agent, as an incarnation that forgot everything."""
        self.starts += 1
        member = self.fault.member_class(
            group=GROUP,
            rank=rank,
            ranks=self.plan.ranks,
            incarnation=self.starts * STARTS_APART,
            orders=UnreliableOrders(
                rank=self.group.ranks[rank], rng=self.rng, fails=self.failing_part
            ),
            send=functools.partial(self.send, rank),
        )
        self.member_by_rank[rank] = member
        self.unnoticed.discard(rank)
        self.act(member.start())

    def act(self, coroutine):
        """Let an agent act until its rank does not answer an order."""
        with contextlib.suppress(MagnoliagradeError):
            finish(coroutine)

    def failing_part(self):
        """Return the part of orders to ranks that get no answer."""
        return 0.0 if self.is_settling else self.plan.failing_part

    def send(self, sender, rank, message):
        """Take a message from one rank's agent to another unless its way is cut."""
        if (sender, rank) not in self.cuts:
            self.put_in_flight(rank, message)

    def put_in_flight(self, rank, message):
        """Take a message to a rank's agent."""
        if len(self.in_flight) < MAX_IN_FLIGHT:
            self.in_flight.append((rank, message))

    def walk(self):
        """Let events happen to a running group and return the number of them."""
        self.settle()
        for _ in range(self.plan.events):
            self.rng.choices(_EVENTS, _WEIGHTS)[0](self)
        return self.plan.events

    def settle(self):
        """End all faults; return whether every rank completes further steps."""
        self.cuts.clear()
        self.is_settling = True
        is_settled = self.run_without_faults()
        self.is_settling = False
        return is_settled

    def run_without_faults(self):
        """Let everyone act in turn; return whether every rank goes on."""
        goal = max(r.completed for r in self.group.ranks) + 2
        for _ in range(SETTLING_ROUNDS):
            for rank, member in self.member_by_rank.items():
                self.notice(rank)
                finish(member.offer_record(self.record(), 0))
                finish(member.tick(is_query_due=True))
                self.group.advance(rank)
            while self.in_flight:
                self.deliver(self.in_flight.pop(0))
            if min(r.completed for r in self.group.ranks) >= goal:
                return True
        return False

    def record(self):
        """Return the group's record in the store, which lags."""
        return MapRecord(version=1, map=b"1")

    def deliver(self, item):
        """Hand a message to the agent that now stands for a rank."""
        rank, message = item
        member = self.member_by_rank[rank]

        def reply(answer):
            self.route_reply(message, answer)

        self.act(member.on_message(message, reply))

    def route_reply(self, message, answer):
        """Send an answer back, to coordinators if it belongs to them."""
        if isinstance(answer, StageAck):
            for coordinator in self.coordinators:
                coordinator.on_stage_ack(answer)
            return
        self.put_in_flight(message.rank, answer)

    def on_deliver(self):
        """Deliver any message in flight."""
        if self.in_flight:
            is_in_order = self.rng.random() < 0.5
            last = 1 if is_in_order else len(self.in_flight)
            self.deliver(self.in_flight.pop(self.rng.randrange(last)))

    def on_lose(self):
        """Lose a message in flight."""
        if self.in_flight:
            self.in_flight.pop(self.rng.randrange(len(self.in_flight)))

    def on_cut(self):
        """Cut what one agent sends, or mend all."""
        if self.cuts:
            self.cuts.clear()
            return
        sender = self.rng.randrange(self.plan.ranks)
        self.cuts = {(sender, rank) for rank in range(self.plan.ranks)}

    def on_repeat(self):
        """Deliver a message in flight and leave it there."""
        if self.in_flight:
            self.deliver(self.rng.choice(self.in_flight))

    def on_advance(self):
        """Let one rank complete or begin a step."""
        self.group.advance(self.rng.randrange(self.plan.ranks))

    def on_tick(self):
        """Let one agent look after its rank and repeat itself."""
        rank = self.rng.randrange(self.plan.ranks)
        self.notice(rank)
        is_due = self.rng.random() < 0.2
        self.act(self.member_by_rank[rank].tick(is_query_due=is_due))

    def notice(self, rank):
        """Let an agent find out that its rank has restarted."""
        if rank in self.unnoticed:
            self.unnoticed.discard(rank)
            self.act(self.member_by_rank[rank].restart_rank())

    def on_record(self):
        """Let one agent read the store."""
        member = self.member_by_rank[self.rng.randrange(self.plan.ranks)]
        self.act(member.offer_record(self.record(), 0))

    def on_restart(self):
        """Restart an agent, the rank behind it, or both."""
        # Most of what can go wrong goes wrong while a switch is open.
        is_open = any(m.is_open() for m in self.member_by_rank.values())
        if not self.restarts_left or not (is_open or self.rng.random() < 0.1):
            return
        self.restarts_left -= 1
        kind = self.rng.choice(("agent", "rank", "both", "both"))
        self.restart(self.rng.randrange(self.plan.ranks), kind)

    def restart(self, rank, kind):
        """Restart a rank's `agent`, the `rank` itself, or `both`."""
        if kind != "agent":
            self.group.ranks[rank].restart()
        if kind == "rank":
            self.unnoticed.add(rank)
        else:
            self.start_member(rank)

    def on_switch(self):
        """Let another coordinator begin a switch; earlier ones stay about."""
        running = [m for m in self.member_by_rank.values() if m.is_running]
        if not self.switches_left or not running:
            return
        self.switches_left -= 1
        self.begin_switch(
            fence=1 + len(self.coordinators),
            generation=self.rng.choice(running).generation,
        )

    def begin_switch(self, *, fence, generation):
        """Let a coordinator with a fencing number begin a switch."""
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
        """Return a step that most ranks have not begun."""
        return max(r.begun for r in self.group.ranks) + self.rng.randrange(1, 3)

    def on_resend(self):
        """Let any coordinator, also one past its lease, repeat its orders."""
        if self.coordinators:
            self.rng.choice(self.coordinators).resend()


_WEIGHT_BY_EVENT = {
    Exploration.on_deliver: 60,
    Exploration.on_lose: 3,
    Exploration.on_cut: 2,
    Exploration.on_repeat: 3,
    Exploration.on_advance: 30,
    Exploration.on_tick: 4,
    Exploration.on_record: 2,
    Exploration.on_restart: 4,
    Exploration.on_switch: 2,
    Exploration.on_resend: 2,
}
_EVENTS = list(_WEIGHT_BY_EVENT)
_WEIGHTS = list(_WEIGHT_BY_EVENT.values())


def explore(plan):
    """Take the walks of a plan until one shows two maps in a step.

    Parameters
    ----------
    plan : ExplorationPlan
        Bounds and planted fault.

    Returns
    -------
    finding : Finding
        What they showed.
    """
    finding = Finding(stuck_seeds=[])
    for seed in range(plan.seed, plan.seed + plan.walks):
        exploration = Exploration(plan=plan, seed=seed)
        finding.events += exploration.walk()
        is_running_again = exploration.settle()
        records = exploration.group.records
        finding.walks += 1
        finding.steps += len(records)
        finding.switches += len({r.version for r in records}) - 1 if records else 0
        pair = find_map_conflict(records)
        if pair is not None:
            finding.two_maps = f"seed {seed}: {pair[0]} and {pair[1]}"
            break
        if not is_running_again:
            finding.stuck_seeds.append(seed)
    return finding


def finish(coroutine):
    """Run a coroutine that waits for nothing and return its result."""
    try:
        coroutine.send(None)
    except StopIteration as stop:
        return stop.value
    coroutine.close()
    raise RuntimeError("the agents' code waited for something outside")
