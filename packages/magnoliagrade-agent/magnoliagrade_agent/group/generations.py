"""Protocol by which the ranks of a group form a generation."""

import logging
from dataclasses import replace

from magnoliagrade.observability import log_event
from magnoliagrade.wire import (
    GenerationAnswer,
    GenerationJoin,
    GenerationSettled,
)

from magnoliagrade_agent.group.view import (
    GroupView,
    agreed_view,
    generation_of,
)

__all__ = ["GenerationMember"]

_log = logging.getLogger(__name__)


class GenerationMember:
    """State machine of one rank's agent that forms generations with its peers.

    Parameters
    ----------
    group : str
        Name of the group.
    rank : int
        Rank of this agent.
    ranks : int
        Number of ranks.
    incarnation : int
        Number of this start of the rank, meant to exceed those of earlier starts. If a
        peer knows a higher one, it replies with that one and this agent exceeds it.
    orders : RankOrders
        Orders to the rank.
    send : callable
        Called with a rank and a message; the message may be lost.

    Attributes
    ----------
    generation : int
        Number of the current generation; 0 until the rank is paused and the
        incarnations of all ranks are known.
    answer_by_rank : dict of int to GenerationAnswer
        Answers of the ranks in this generation.
    settled_ranks : set of int
        Ranks that have stored the common view of this generation.
    is_running : bool
        Whether the rank runs in this generation.
    has_run : bool
        Whether the rank has run in any generation since this agent started.
    is_rank_new : bool
        Whether the rank held no view when it was last paused.
    is_superseded : bool
        Whether another process has replaced this one as the agent of the rank.
    view : GroupView
        View of the rank.
    record : MapRecord
        Record of the store; None until it is read.
    fence : int
        Newest fencing token of a coordinator that this agent knows.

    Notes
    -----
    A generation forms in four rounds: the ranks exchange incarnations, answer with
    their views, store the common view that follows from the answers (settle), and run
    once all of them have stored it.

    The number of a generation is computed from the incarnations of all ranks, so the
    ranks need not agree on a number. In a generation each rank gives exactly one answer
    to each question and never changes it: one answer about its view before the
    generation, and one reply to each arming. Therefore all ranks that have all answers
    reach the same conclusion, regardless of the order in which messages arrive.
    Messages are resent until they are no longer needed, so a loss only causes a delay.
    """

    __slots__ = (
        "_maps",
        "_send",
        "answer_by_rank",
        "fence",
        "generation",
        "generations_opened",
        "group",
        "has_run",
        "incarnation_by_rank",
        "is_rank_new",
        "is_running",
        "is_superseded",
        "orders",
        "rank",
        "ranks",
        "record",
        "settled_ranks",
        "view",
    )

    def __init__(self, *, group, rank, ranks, incarnation, orders, send):
        self.group = group
        self.rank = rank
        self.ranks = ranks
        self.orders = orders
        self._send = send
        self.incarnation_by_rank = {rank: incarnation}
        self.view = GroupView()
        self.record = None
        self.fence = 0
        self.generations_opened = 0
        self.is_rank_new = True
        self.is_superseded = False
        self.has_run = False
        self._maps = {}
        self._reset_generation()

    @property
    def incarnation(self):
        """Return the incarnation with which this rank joins generations."""
        return self.incarnation_by_rank[self.rank]

    async def start(self):
        """Pause the rank, read its view and open a generation."""
        await self._open_generation()

    async def restart_rank(self):
        """Open a generation after the rank of this agent has restarted."""
        self.incarnation_by_rank[self.rank] += 1
        await self._open_generation()

    async def offer_record(self, record, fence):
        """Accept the group's record and newest fencing token, as read from the store.

        Parameters
        ----------
        record : MapRecord
            Record with the map to start from if no rank knows a map.
        fence : int
            Newest fencing token in the store.
        """
        self.record = record
        self.fence = max(self.fence, fence)
        if self.generation and not self.is_running:
            await self._broadcast_answer()

    async def on_message(self, message, reply):
        """Handle a message from a peer; ignored once this agent is superseded.

        Parameters
        ----------
        message : object
            Message of a class in `handler_by_message`.
        reply : callable
            Sends a message to the sender of this one.
        """
        if self.is_superseded:
            return
        await self.handler_by_message[type(message)](self, message, reply)

    async def tick(self):
        """Resend messages of a generation that does not run yet, and retry orders."""
        if self.is_running or self.is_superseded:
            return
        # The order to pause the rank may have failed after the generation was reset.
        if not self.generation and len(self.incarnation_by_rank) == self.ranks:
            await self._open_generation()
            return
        await self._maybe_settle()
        self._broadcast_generation()
        await self._maybe_run()

    def _reset_generation(self):
        self.generation = 0
        self.answer_by_rank = {}
        self.settled_ranks = set()
        self.is_running = False

    async def _open_generation(self):
        self._reset_generation()
        self.generations_opened += 1
        state = await self.orders.pause()
        self.is_rank_new = not state.view.origin
        if not self.view.origin:
            self.view = state.view
        completed = max(self.view.completed, state.view.completed)
        self.view = replace(self.view, completed=completed)
        if len(self.incarnation_by_rank) == self.ranks:
            self.generation = generation_of(self._incarnations())
            await self._broadcast_answer()
        self._broadcast(self._join())

    def _incarnations(self):
        return [self.incarnation_by_rank.get(r, 0) for r in range(self.ranks)]

    def _join(self):
        return GenerationJoin(
            group=self.group,
            generation=self.generation,
            rank=self.rank,
            incarnation=self.incarnation,
        )

    async def _on_join(self, message, reply):
        known_incarnation = self.incarnation_by_rank.get(message.rank, 0)
        if message.rank == self.rank:
            await self._on_own_incarnation(message.incarnation)
        elif message.incarnation < known_incarnation:
            reply(replace(message, incarnation=known_incarnation))
        elif message.incarnation > known_incarnation:
            self.incarnation_by_rank[message.rank] = message.incarnation
            await self._open_generation()
        elif message.generation != self.generation:
            reply(self._join())
            if self.rank in self.answer_by_rank:
                reply(self.answer_by_rank[self.rank])
        else:
            self._send_generation_state(reply)

    async def _on_own_incarnation(self, incarnation):
        if incarnation <= self.incarnation:
            return
        if self.has_run:
            # Another process has replaced this one as the agent of the rank.
            self._reset_generation()
            self.is_superseded = True
            await self.orders.pause()
            log_event(_log, "group.superseded", group=self.group, rank=self.rank)
            return
        self.incarnation_by_rank[self.rank] = incarnation + 1
        await self._open_generation()

    async def _broadcast_answer(self):
        if self.rank in self.answer_by_rank or not self._can_answer():
            return
        view = self.view
        version, packed_map = view.version, view.map_by_version.get(view.version)
        if not view.origin and self.record is not None:
            version, packed_map = self.record.version, self.record.map
        switch = view.switch
        answer = GenerationAnswer(
            group=self.group,
            generation=self.generation,
            rank=self.rank,
            incarnation=self.incarnation,
            current_version=version,
            map=packed_map or b"",
            completed_step=view.completed,
            origin=view.origin,
            fence=self.fence,
            incarnations=self._incarnations(),
            is_rank_new=self.is_rank_new,
        )
        if switch is not None:
            # The `open_...` fields describe the newest switch, whatever its outcome.
            answer.open_version, answer.open_step = switch.key
            answer.outcome = switch.outcome.value
            answer.open_map = view.map_by_version.get(switch.version, b"")
        self.answer_by_rank[self.rank] = answer
        self._broadcast(answer)
        await self._maybe_settle()

    def _can_answer(self):
        # A rank without a map waits for the store's record or a peer that knows a map.
        others_know = any(a.current_version for a in self.answer_by_rank.values())
        return bool(self.view.origin or self.record or others_know)

    async def _on_answer(self, message, reply):
        if message.generation != self.generation:
            await self._on_other_incarnations(message.incarnations, reply)
            return
        self.answer_by_rank.setdefault(message.rank, message)
        await self._broadcast_answer()
        await self._maybe_settle()

    async def _on_other_incarnations(self, incarnations, reply):
        if incarnations[self.rank] > self.incarnation:
            await self._on_own_incarnation(incarnations[self.rank])
            return
        is_new = False
        for rank, incarnation in enumerate(incarnations):
            known_incarnation = self.incarnation_by_rank.get(rank, 0)
            if rank != self.rank and incarnation > known_incarnation:
                self.incarnation_by_rank[rank] = incarnation
                is_new = True
        if is_new:
            await self._open_generation()
        else:
            reply(self._join())

    async def _maybe_settle(self):
        if len(self.answer_by_rank) < self.ranks or self.rank in self.settled_ranks:
            return
        answers = list(self.answer_by_rank.values())
        self.view = agreed_view(answers, generation=self.generation)
        self.fence = max(self.fence, *(a.fence for a in answers))
        await self.orders.settle(self.view)
        self._maps = dict(self.view.map_by_version)
        self.settled_ranks.add(self.rank)
        self._broadcast(self._settled())
        await self._maybe_run()

    def _settled(self):
        return GenerationSettled(
            group=self.group, generation=self.generation, rank=self.rank
        )

    async def _on_settled(self, message, reply):
        if message.generation == self.generation:
            self.settled_ranks.add(message.rank)
            await self._maybe_run()

    async def _maybe_run(self):
        if self.is_running or not self._may_run():
            return
        step = self.view.completed + 1
        if await self.orders.run(self.generation, step):
            self.is_running = True
            self.has_run = True
            log_event(
                _log,
                "group.running",
                group=self.group,
                generation=self.generation,
                map_version=self.view.version_at(step),
                step=step,
            )

    def _may_run(self):
        # Round 4, the last of the formation: every rank has stored the common view.
        return len(self.settled_ranks) == self.ranks

    def _broadcast_generation(self):
        self._broadcast(self._join())
        self._send_generation_state(self._broadcast)

    def _send_generation_state(self, send):
        if self.rank in self.answer_by_rank:
            send(self.answer_by_rank[self.rank])
        if self.rank in self.settled_ranks:
            send(self._settled())

    def _broadcast(self, message):
        for rank in range(self.ranks):
            if rank != self.rank:
                self._send(rank, message)


GenerationMember.handler_by_message = {
    GenerationAnswer: GenerationMember._on_answer,
    GenerationJoin: GenerationMember._on_join,
    GenerationSettled: GenerationMember._on_settled,
}
