"""Service that runs a group member in its agent: links, ticks, requests."""

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
from magnoliagrade_agent.group.member import GroupMember
from magnoliagrade_agent.group.rank_client import RankClient
from magnoliagrade_agent.group.view import Outcome

__all__ = ["GroupService", "new_group_incarnation"]

# A group is incomplete if a peer has been silent for this long.
PEER_TIMEOUT_S = 4.0
# Time that a switch is open before its outcome is queried.
OUTCOME_QUERY_DELAY_S = 0.3
# Minimum time between arming and the step of a switch, so that no rank is held at it.
SWITCH_LEAD_S = 0.5
# Minimum number of steps between the newest begun step and the step of a switch.
MIN_LEAD_STEPS = 4
# Lower bound of a step's duration, which is 0 before the first step is seen.
MIN_STEP_S = 0.001

_log = logging.getLogger(__name__)


class GroupService:
    """Connects a `GroupMember` to its rank, to peer agents, to entries and to requests.

    Parameters
    ----------
    node : AgentInstance
        The agent; its settings name the group.

    Notes
    -----
    Messages from all links and ticks are handled under one lock, so that each is
    handled after the rank has replied to the order before it.
    """

    __slots__ = (
        "_lock",
        "_notified_state",
        "_open_since",
        "_requests",
        "_sequence",
        "_step_at",
        "addresses",
        "balance",
        "coordinator",
        "coordinator_seen_at",
        "group",
        "member",
        "node",
        "orders",
        "peer_state_by_rank",
        "rank_boot_id",
        "recorded_version",
        "step",
        "step_s",
    )

    def __init__(self, *, node):
        settings = node.settings
        self.node = node
        self.group = settings.group
        self.addresses = [a.strip() for a in settings.group_addresses.split(",")]
        self.coordinator = None
        self.coordinator_seen_at = float("-inf")
        self.balance = None
        self.recorded_version = 0
        self.step_s = 0.0
        self._sequence = 0
        self._step_at = node.clock.monotonic()
        self.rank_boot_id = ""
        self._notified_state = None
        self.step = 0
        self.peer_state_by_rank = {}
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
        """Whether the group runs, no rank is leaving and all peers are in contact.

        A peer is in contact if its link received data within `PEER_TIMEOUT_S`.
        """
        if not self.member.is_running or self.node.is_leaving:
            return False
        if any(state.is_leaving for state in self.peer_state_by_rank.values()):
            return False
        link_by_rank = self._link_by_rank()
        link_by_rank.pop(self.member.rank, None)
        if len(link_by_rank) < self.member.ranks - 1:
            return False
        silence_s = self.node.links.silence_s
        return all(silence_s(k) < PEER_TIMEOUT_S for k in link_by_rank.values())

    def link_of(self, rank):
        """Return the link to a rank's agent, or None if there is none."""
        return self._link_by_rank().get(rank)

    def _link_by_rank(self):
        return {
            link.hello.rank: link
            for link in self.node.links.of_role(Role.AGENT)
            if link.hello.group == self.group
            and 0 <= link.hello.rank < self.member.ranks
        }

    def send(self, rank, message):
        """Send a message to a rank's agent; without a link the message is dropped."""
        link = self.link_of(rank)
        if link is not None:
            link.send(message)

    async def on_message(self, link, message):
        """Handle a message from a peer agent."""
        if isinstance(message, StageAck):
            if self.coordinator is not None:
                self.coordinator.on_stage_ack(message)
            return
        await self.call_member(self.member.on_message, message, link.send)

    async def deliver(self, rank, message):
        """Deliver a coordinator's order to the agent of a rank, possibly this agent."""
        if rank != self.member.rank:
            self.send(rank, message)
            return
        replies = []
        await self.call_member(self.member.on_message, message, replies.append)
        for reply in replies:
            if self.coordinator is not None and isinstance(reply, StageAck):
                self.coordinator.on_stage_ack(reply)

    async def call_member(self, method, *arguments, **options):
        """Call a method of the member under the lock.

        Errors of orders to the rank are logged; a later tick retries the orders.
        """
        async with self._lock:
            was_running = self.member.is_running
            try:
                await method(*arguments, **options)
            except MagnoliagradeError as exc:
                log_event(_log, "group.rank_failed", code=exc.kind.value)
            if was_running and not self.member.is_running:
                self._cancel_requests()
        if was_running != self.member.is_running:
            self.notify_entries()

    async def tick(self):
        """Poll the rank, resend messages that peers may have missed, update metrics."""
        await self._poll_rank()
        is_open = self.member.is_open()
        now = self.node.clock.monotonic()
        if not is_open:
            self._open_since = None
        elif self._open_since is None:
            self._open_since = now
        is_due = is_open and now - self._open_since > OUTCOME_QUERY_DELAY_S
        await self.call_member(self.member.tick, is_query_due=is_due)
        self.notify_entries()
        if self.node.is_leaving or self.peer_state_by_rank:
            self.notify_peers()
        metrics.update(self)

    async def _poll_rank(self):
        try:
            state = await self.orders.state()
        except MagnoliagradeError:
            return
        self._record_step(state.begun)
        boot_id, self.rank_boot_id = self.rank_boot_id, state.boot_id
        if not boot_id:
            await self.call_member(self.member.start)
        elif boot_id != state.boot_id:
            log_event(_log, "group.rank_restarted", boot_id=state.boot_id)
            await self.call_member(self.member.restart_rank)

    def _record_step(self, step):
        now = self.node.clock.monotonic()
        if step > self.step:
            self.step_s = (now - self._step_at) / (step - self.step)
        self.step, self._step_at = step, now

    def choose_step(self):
        """Return the step for a new switch, far enough ahead that no rank is held."""
        lead = math.ceil(SWITCH_LEAD_S / max(self.step_s, MIN_STEP_S))
        return self.step + max(MIN_LEAD_STEPS, lead)

    def version_in_force(self):
        """Return the version of the map that the newest begun step uses."""
        return self.member.view.version_at(self.step)

    def map_in_force(self):
        """Return the packed map that the newest begun step uses."""
        return self.member.view.map_by_version[self.version_in_force()]

    def is_record_stale(self):
        """Return whether the store's record may not contain the map in force."""
        return self.recorded_version != self.version_in_force()

    def switch_result(self, coordinator):
        """Return whether a switch was committed; None until that is known.

        A switch of an earlier generation counts as not committed.
        """
        member = self.member
        if coordinator.generation != member.generation:
            return False
        switch_key = (coordinator.version, coordinator.step)
        outcome = member.outcome_by_switch.get(switch_key)
        if outcome is None or member.is_open():
            return None
        return outcome is Outcome.COMMITTED

    async def read_counts(self):
        """Return the rank's counts since the last call, or None if the rank failed."""
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

    def record_coordinator(self, fence):
        """Record that the coordinator is alive, and its fencing token."""
        self.member.fence = max(self.member.fence, fence)
        self.coordinator_seen_at = self.node.clock.monotonic()

    def add_counts(self, message):
        """Add a rank's counts to the load statistics of this coordinator."""
        if self.member.is_running:
            self.balance.add(message, unpack_placement(self.map_in_force()))

    async def keep_peer_links(self):
        """Keep a link to the agent of each higher rank; reconnect if it breaks."""
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
        """Send the group's state to a new entry, or a join message to a new peer."""
        if link.hello.role == Role.ENTRY.value:
            link.send(self._state())
        elif link.hello.group == self.group:
            self.peer_state_by_rank.pop(link.hello.rank, None)
            member = self.member
            join = GenerationJoin(
                group=self.group,
                generation=member.generation,
                rank=member.rank,
                incarnation=member.incarnation,
            )
            link.send(join)

    def notify_entries(self):
        """Send the group's state to every entry if the state has changed."""
        state = self._state()
        if state == self._notified_state:
            return
        self._notified_state = state
        for link in self.node.links.of_role(Role.ENTRY):
            link.send(state)

    def notify_peers(self):
        """Send the number of requests in flight and `is_leaving` to all peers."""
        state = self._state()
        state.requests_in_flight = len(self._requests)
        state.is_leaving = self.node.is_leaving
        for rank in range(self.member.ranks):
            if rank != self.member.rank:
                self.send(rank, state)

    def record_peer_state(self, message):
        """Record a peer's state while that peer or this agent is leaving."""
        if message.is_leaving or self.node.is_leaving:
            self.peer_state_by_rank[message.rank] = message
        else:
            self.peer_state_by_rank.pop(message.rank, None)

    def count_in_flight(self):
        """Return the number of requests in flight, on all ranks, that need this rank.

        Notes
        -----
        Ranks run in lock-step: if this rank stops, the requests of all other ranks are
        cut off. A linked peer that has not reported its state yet counts as one
        request.
        """
        count = len(self._requests)
        for rank in set(range(self.member.ranks)) - {self.member.rank}:
            if self.link_of(rank) is not None:
                state = self.peer_state_by_rank.get(rank)
                count += 1 if state is None else state.requests_in_flight
        return count

    def _state(self):
        member = self.member
        return GroupState(
            group=self.group,
            rank=member.rank,
            generation=member.generation,
            is_complete=self.is_complete,
            map_version=member.view.version_at(self.step),
        )

    @contextlib.contextmanager
    def serving(self):
        """Return a context manager in which the group serves a request.

        Raises
        ------
        MagnoliagradeError
            `NOT_RUN` if the group is not complete; the request has not begun.
            `ANSWER_BROKEN` if a new generation begins while the request runs.
        """
        if not self.is_complete:
            detail = (
                f"group {self.group} is not complete: it does not run, a rank is "
                "leaving or a peer is not in contact"
            )
            raise MagnoliagradeError(ErrorKind.NOT_RUN, detail)
        task = asyncio.current_task()
        self._requests.add(task)
        try:
            yield
        except asyncio.CancelledError as exc:
            if task in self._requests:
                raise
            task.uncancel()
            detail = f"group {self.group} began a new generation during the request"
            raise MagnoliagradeError(ErrorKind.ANSWER_BROKEN, detail) from exc
        finally:
            self._requests.discard(task)

    def _cancel_requests(self):
        requests, self._requests = self._requests, set()
        for task in requests:
            task.cancel()
        if requests:
            log_event(_log, "group.requests_broken", count=len(requests))


def new_group_incarnation(clock, rng):
    """Return the incarnation for a new start of a rank, higher than earlier ones.

    Notes
    -----
    The number consists of the wall clock's milliseconds and 20 random bits. A clock
    that was set back costs only a round trip, since peers reply with the highest
    incarnation that they know.
    """
    milliseconds = int(clock.now().timestamp() * 1000)
    return (milliseconds << 20) | rng.getrandbits(20)
