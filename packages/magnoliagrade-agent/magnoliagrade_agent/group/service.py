"""A group member's life inside its agent: links, ticks, requests."""

import asyncio
import contextlib
import logging
import math

from magnoliagrade.algorithms.balance import unpack_placement
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.wire import (
    ExpertCounts,
    GenerationJoin,
    GroupState,
    StageAck,
    maintain_link,
)
from magnoliagrade.world import Role

from magnoliagrade_agent.group import metrics
from magnoliagrade_agent.group.knowledge import Outcome
from magnoliagrade_agent.group.member import GroupMember
from magnoliagrade_agent.group.rank_client import RankClient

__all__ = ["GroupService", "new_group_incarnation"]

PEER_GRACE_S = 4.0
QUERY_AFTER_S = 0.3
LEAD_S = 0.5
LEAST_LEAD_STEPS = 4
LEAST_STEP_S = 0.001

_log = logging.getLogger(__name__)


class GroupService:
    """What an agent does for its group.

    Parameters
    ----------
    node : AgentInstance
        The agent, whose settings name a group.

    Notes
    -----
    Messages of all links and ticks go through one lock, so that each finds the
    rank's answer to the order before it.
    """

    __slots__ = (
        "_lock",
        "_open_since",
        "_requests",
        "_sequence",
        "_step_at",
        "_told_state",
        "addresses",
        "balance",
        "coordinator",
        "coordinator_heard_at",
        "group",
        "member",
        "node",
        "orders",
        "rank_boot_id",
        "recorded_version",
        "state_by_rank",
        "step",
        "step_s",
    )

    def __init__(self, *, node):
        settings = node.settings
        self.node = node
        self.group = settings.group
        self.addresses = [a.strip() for a in settings.group_addresses.split(",")]
        self.coordinator = None
        self.coordinator_heard_at = float("-inf")
        self.balance = None
        self.recorded_version = 0
        self.step_s = 0.0
        self._sequence = 0
        self._step_at = node.clock.monotonic()
        self.rank_boot_id = ""
        self._told_state = None
        self.step = 0
        self.state_by_rank = {}
        self._lock = asyncio.Lock()
        self._requests = set()
        self._open_since = None
        self.orders = RankClient(
            url=settings.rank_url or settings.url,
            session=node.session,
            fence=lambda: self.member.incarnation,
        )
        self.member = GroupMember(
            group=self.group,
            rank=settings.rank,
            ranks=len(self.addresses),
            incarnation=new_group_incarnation(node.clock, node.rng),
            orders=self.orders,
            send=self.send,
        )

    @property
    def is_complete(self):
        """Whether the group runs and every peer has been heard of lately."""
        if not self.member.is_running or self.node.is_leaving:
            return False
        if any(state.is_leaving for state in self.state_by_rank.values()):
            return False
        link_by_rank = self._link_by_rank()
        link_by_rank.pop(self.member.rank, None)
        if len(link_by_rank) < self.member.ranks - 1:
            return False
        silence_s = self.node.links.silence_s
        return all(silence_s(k) < PEER_GRACE_S for k in link_by_rank.values())

    def link_of(self, rank):
        """Return the link to a rank's agent, or None."""
        return self._link_by_rank().get(rank)

    def _link_by_rank(self):
        return {
            link.hello.rank: link
            for link in self.node.links.of_role(Role.AGENT)
            if link.hello.group == self.group
            and 0 <= link.hello.rank < self.member.ranks
        }

    def send(self, rank, message):
        """Send a message to a rank's agent; it is lost if there is no link."""
        link = self.link_of(rank)
        if link is not None:
            link.send(message)

    async def on_message(self, link, message):
        """Handle a message of a peer's agent."""
        if isinstance(message, StageAck):
            if self.coordinator is not None:
                self.coordinator.on_stage_ack(message)
            return
        await self.act(self.member.on_message, message, link.send)

    async def order(self, rank, message):
        """Hand a coordinator's order to a rank, which may be this one."""
        if rank != self.member.rank:
            self.send(rank, message)
            return
        replies = []
        await self.act(self.member.on_message, message, replies.append)
        for reply in replies:
            if self.coordinator is not None and isinstance(reply, StageAck):
                self.coordinator.on_stage_ack(reply)

    async def act(self, method, *arguments, **options):
        """Let the member act; an order that the rank did not take is tried again."""
        async with self._lock:
            was_running = self.member.is_running
            try:
                await method(*arguments, **options)
            except MagnoliagradeError as exc:
                log_event(_log, "group.rank_failed", code=exc.kind.value)
            if was_running and not self.member.is_running:
                self._break_requests()
        if was_running != self.member.is_running:
            self.notify_entries()

    async def tick(self):
        """Look after the rank, send again what others may have missed."""
        await self._watch_rank()
        is_open = self.member.is_open()
        now = self.node.clock.monotonic()
        if not is_open:
            self._open_since = None
        elif self._open_since is None:
            self._open_since = now
        is_due = is_open and now - self._open_since > QUERY_AFTER_S
        await self.act(self.member.tick, is_query_due=is_due)
        self.notify_entries()
        if self.node.is_leaving or self.state_by_rank:
            self.notify_peers()
        metrics.update(self)

    async def _watch_rank(self):
        try:
            state = await self.orders.state()
        except MagnoliagradeError:
            return
        self._note_step(state.begun)
        boot_id, self.rank_boot_id = self.rank_boot_id, state.boot_id
        if not boot_id:
            await self.act(self.member.start)
        elif boot_id != state.boot_id:
            log_event(_log, "group.rank_restarted", boot_id=state.boot_id)
            await self.act(self.member.restart_rank)

    def _note_step(self, step):
        now = self.node.clock.monotonic()
        if step > self.step:
            self.step_s = (now - self._step_at) / (step - self.step)
        self.step, self._step_at = step, now

    def choose_step(self):
        """Return the step to arm a switch for, far enough ahead to hold no rank."""
        lead = math.ceil(LEAD_S / max(self.step_s, LEAST_STEP_S))
        return self.step + max(LEAST_LEAD_STEPS, lead)

    def version_in_force(self):
        """Return the version of the map that the newest begun step used."""
        return self.member.knowledge.version_at(self.step)

    def map_in_force(self):
        """Return the packed map that the newest begun step used."""
        return self.member.knowledge.map_by_version[self.version_in_force()]

    def record_behind(self):
        """Return whether the store's record may lack the map in force."""
        return self.recorded_version != self.version_in_force()

    def verdict(self, coordinator):
        """Return whether a switch was committed; None while that is open."""
        member = self.member
        if coordinator.generation != member.generation:
            return False
        place = (coordinator.version, coordinator.step)
        outcome = member.outcome_by_switch.get(place)
        if outcome is None or member.is_open():
            return None
        return outcome is Outcome.COMMITTED

    async def read_counts(self):
        """Return the rank's counts since the last time, or None if it is silent."""
        try:
            counts = await self.orders.counts()
        except MagnoliagradeError:
            return None
        self._sequence += 1
        return ExpertCounts(
            group=self.group,
            rank=self.member.rank,
            sequence=self._sequence,
            experts=counts.counts.shape[1],
            counts=counts.counts.ravel().tolist(),
            step=counts.step,
            step_seconds=counts.step_s,
            work_seconds=counts.work_s,
            seconds=counts.seconds,
        )

    def note_coordinator(self, fence):
        """Note a sign of life of the coordinator, and its fencing number."""
        self.member.fence = max(self.member.fence, fence)
        self.coordinator_heard_at = self.node.clock.monotonic()

    def take_counts(self, message):
        """Take a rank's counts into the balance that this coordinator keeps."""
        if self.member.is_running:
            self.balance.add(message, unpack_placement(self.map_in_force()))

    async def keep_peer_links(self):
        """Dial the agents of all higher ranks and keep linked to them."""
        node = self.node
        dials = [
            maintain_link(
                address=address,
                make_link=node.make_link,
                hello=node.hello,
                handle=node.run_link,
                clock=node.clock,
                rng=node.rng,
                source=node.settings.source_address,
            )
            for rank, address in enumerate(self.addresses)
            if rank > self.member.rank
        ]
        await asyncio.gather(*dials)

    def on_link_up(self, link):
        """Introduce this rank to a peer's agent, its state to an entry."""
        if link.hello.role == Role.ENTRY.value:
            link.send(self._state())
        elif link.hello.group == self.group:
            self.state_by_rank.pop(link.hello.rank, None)
            member = self.member
            join = GenerationJoin(
                group=self.group,
                generation=member.generation,
                rank=member.rank,
                incarnation=member.incarnation,
            )
            link.send(join)

    def notify_entries(self):
        """Notify every entry whether the group can take requests, if that changed."""
        state = self._state()
        if state == self._told_state:
            return
        self._told_state = state
        for link in self.node.links.of_role(Role.ENTRY):
            link.send(state)

    def notify_peers(self):
        """Notify the agents of the other ranks of what is in flight here."""
        state = self._state()
        state.requests_in_flight = len(self._requests)
        state.is_leaving = self.node.is_leaving
        for rank in range(self.member.ranks):
            if rank != self.member.rank:
                self.send(rank, state)

    def note_peer_state(self, message):
        """Note that a peer leaves, or what it still has in flight meanwhile."""
        if message.is_leaving or self.node.is_leaving:
            self.state_by_rank[message.rank] = message
        else:
            self.state_by_rank.pop(message.rank, None)

    def count_in_flight(self):
        """Return the requests that need this rank, on all ranks.

        Notes
        -----
        Ranks run in lock-step: if this one ends, the requests of all others break
        off. A linked peer that has not said anything yet counts as one request.
        """
        count = len(self._requests)
        for rank in set(range(self.member.ranks)) - {self.member.rank}:
            if self.link_of(rank) is not None:
                state = self.state_by_rank.get(rank)
                count += 1 if state is None else state.requests_in_flight
        return count

    def _state(self):
        member = self.member
        return GroupState(
            group=self.group,
            rank=member.rank,
            generation=member.generation,
            is_complete=self.is_complete,
            map_version=member.knowledge.version_at(self.step),
        )

    @contextlib.contextmanager
    def serving(self):
        """Return a context in which a request is served by the group.

        Raises
        ------
        MagnoliagradeError
            `NOT_RUN` before the request has begun if the group is not complete,
            `ANSWER_BROKEN` if a new generation begins while it runs.
        """
        if not self.is_complete:
            detail = f"group {self.group} is not complete"
            raise MagnoliagradeError(ErrorKind.NOT_RUN, detail)
        task = asyncio.current_task()
        self._requests.add(task)
        try:
            yield
        except asyncio.CancelledError as exc:
            if task in self._requests:
                raise
            task.uncancel()
            detail = f"group {self.group} began a new generation"
            raise MagnoliagradeError(ErrorKind.ANSWER_BROKEN, detail) from exc
        finally:
            self._requests.discard(task)

    def _break_requests(self):
        requests, self._requests = self._requests, set()
        for task in requests:
            task.cancel()
        if requests:
            log_event(_log, "group.requests_broken", count=len(requests))


def new_group_incarnation(clock, rng):
    """Return a number that is higher than those of earlier starts of a rank.

    Notes
    -----
    Milliseconds of the wall clock and random bits. A clock that has gone back only
    costs a round trip: peers tell the highest number that they know.
    """
    milliseconds = int(clock.now().timestamp() * 1000)
    return (milliseconds << 20) | rng.getrandbits(20)
