"""A rank's part in the switch of its group's expert map."""

import logging
from dataclasses import replace

from magnoliagrade.observability import log_event
from magnoliagrade.wire import (
    ArmAck,
    ArmSwitch,
    OutcomeKnown,
    OutcomeQuery,
    StageAck,
    StageMap,
    SwitchOutcome,
)

from magnoliagrade_agent.group.generations import GenerationMember
from magnoliagrade_agent.group.knowledge import Outcome

__all__ = ["GroupMember"]

_log = logging.getLogger(__name__)


class GroupMember(GenerationMember):
    """One rank's agent as a member of its group.

    Parameters are those of `GenerationMember`.

    Notes
    -----
    Every rank answers an arming to all others, once and for good. So the outcome
    follows from the answers alone: committed if all armed, aborted if one refused.
    Neither the coordinator nor the store is needed to find it: a rank that is asked
    about a switch that it has not armed refuses it. The rank begins the step of the
    switch only after every rank is known to know the outcome.
    """

    __slots__ = (
        "_arm_acks_by_switch",
        "_arm_answer_by_switch",
        "_doubtful_place",
        "_known_by_switch",
        "is_switch_closed",
        "outcome_by_switch",
    )

    async def tick(self, *, is_query_due=False):
        """Send again what others may have missed.

        Parameters
        ----------
        is_query_due : bool
            Whether an open switch has been open for long enough to ask for it.
        """
        await super().tick()
        if self.is_running:
            await self._refuse_doubtful()
        if self.is_open():
            await self._maybe_decide()
            await self._maybe_release()
            self._broadcast_switch()
            if is_query_due:
                self._broadcast(self._query())

    def is_open(self):
        """Return whether a switch is armed here and not yet closed."""
        return self.is_running and not self.is_switch_closed

    def _forget_generation(self):
        super()._forget_generation()
        self.is_switch_closed = True
        self._doubtful_place = None
        self.outcome_by_switch = {}
        self._arm_answer_by_switch = {}
        self._arm_acks_by_switch = {}
        self._known_by_switch = {}

    async def _on_stage(self, message, reply):
        accepted = self._accept_fence(message) and self.is_running
        packed_map = message.map or self._maps.get(message.version, b"")
        if accepted and packed_map:
            self._maps[message.version] = packed_map
            accepted = await self.orders.stage(message.version, packed_map)
        ack = StageAck(
            group=self.group,
            generation=self.generation,
            version=message.version,
            rank=self.rank,
            accepted=bool(accepted and packed_map),
            fence=self.fence,
            needs_map=not packed_map,
        )
        reply(ack)

    def _accept_fence(self, message):
        if message.fence < self.fence:
            log_event(_log, "group.fenced", fence=message.fence, newest=self.fence)
            return False
        self.fence = message.fence
        return True

    async def _on_arm(self, message, reply):
        if message.generation != self.generation or not self.is_running:
            return
        place = (message.version, message.step)
        if self._doubtful_place != place:
            await self._refuse_doubtful()
        if place in self._arm_answer_by_switch:
            self._tell_switch(place, self._broadcast)
            return
        self._doubtful_place = place
        await self._give_arm_answer(place, await self._try_arm(message))
        self._doubtful_place = None

    async def _refuse_doubtful(self):
        """Refuse a switch that the rank may hold without having said so."""
        place = self._doubtful_place
        if place is not None and place not in self._arm_answer_by_switch:
            await self._give_arm_answer(place, False)
        self._doubtful_place = None

    async def _try_arm(self, message):
        packed_map = self._maps.get(message.version, b"")
        last = self.knowledge.switch
        if not self._accept_fence(message) or not packed_map:
            return False
        if not self.is_switch_closed or message.step <= self._last_taken_step():
            return False
        if not await self.orders.stage(message.version, packed_map):
            return False
        armed = self.knowledge.armed(
            version=message.version, step=message.step, packed_map=packed_map
        )
        # Steps before the last switch may still need the map that arming drops.
        after_step = last.step if last else 0
        if not await self.orders.hold(armed, after_step=after_step):
            return False
        # The rank has begun that step, so it has completed the one before.
        completed = max(armed.completed, after_step - 1)
        self.knowledge = replace(armed, completed=completed)
        self.is_switch_closed = False
        return True

    def _last_taken_step(self):
        """Return the newest step that some rank may have begun on today's map.

        A rank that died may have completed the step that its survivors gave up,
        and have begun the one after.
        """
        last = self.knowledge.switch
        return max(self.knowledge.completed + 2, last.step if last else 0)

    async def _give_arm_answer(self, place, accepted):
        if not accepted and not self.is_open():
            await self.orders.release(place[1])
        self._arm_answer_by_switch[place] = accepted
        self._acks(place)[self.rank] = accepted
        if not accepted:
            # Who refuses knows the outcome.
            self.outcome_by_switch[place] = Outcome.ABORTED
            self._known(place).add(self.rank)
        self._tell_switch(place, self._broadcast)
        await self._maybe_decide()

    def _acks(self, place):
        return self._arm_acks_by_switch.setdefault(place, {})

    def _known(self, place):
        return self._known_by_switch.setdefault(place, set())

    async def _on_arm_ack(self, message, reply):
        if message.generation != self.generation:
            return
        place = (message.version, message.step)
        self._acks(place).setdefault(message.rank, message.accepted)
        await self._maybe_decide()

    async def _maybe_decide(self):
        if not self.is_open() or self.knowledge.switch.outcome is not Outcome.OPEN:
            return
        acks = self._acks(self.knowledge.switch.place)
        if not all(acks.values()):
            await self._decide(Outcome.ABORTED)
        elif len(acks) == self.ranks:
            await self._decide(Outcome.COMMITTED)

    async def _decide(self, outcome):
        place = self.knowledge.switch.place
        decided = self.knowledge.decided(outcome)
        # The rank keeps the outcome before anyone may rely on this agent's word.
        await self.orders.note_outcome(decided)
        self.knowledge = decided
        self.outcome_by_switch[place] = outcome
        self._known(place).add(self.rank)
        self._tell_switch(place, self._broadcast)
        await self._maybe_release()

    async def _on_outcome(self, message, reply):
        place = (message.version, message.step)
        if message.generation != self.generation or not self.is_open():
            return
        switch = self.knowledge.switch
        if switch.place == place and switch.outcome is Outcome.OPEN:
            is_committed = message.committed
            await self._decide(Outcome.COMMITTED if is_committed else Outcome.ABORTED)

    async def _on_known(self, message, reply):
        if message.generation == self.generation:
            self._known((message.version, message.step)).add(message.rank)
            await self._maybe_release()

    async def _maybe_release(self):
        if not self.is_open() or self.knowledge.switch.outcome is Outcome.OPEN:
            return
        if self._is_known_by_all(self.knowledge.switch.place):
            await self.orders.release(self.knowledge.switch.step)
            self.is_switch_closed = True
            log_event(
                _log,
                "group.switched",
                group=self.group,
                map_version=self.knowledge.switch.version,
                step=self.knowledge.switch.step,
                outcome=self.knowledge.switch.outcome.value,
            )

    def _is_known_by_all(self, place):
        return len(self._known(place)) == self.ranks

    async def _on_query(self, message, reply):
        if message.generation != self.generation:
            reply(self._join())
            return
        place = (message.version, message.step)
        if place not in self._arm_answer_by_switch:
            await self._give_arm_answer(place, False)
        self._tell_switch(place, reply)

    def _query(self):
        return self._about(OutcomeQuery, self.knowledge.switch.place)

    def _about(self, message_class, place, **fields):
        version, step = place
        return message_class(
            group=self.group,
            generation=self.generation,
            version=version,
            step=step,
            rank=self.rank,
            **fields,
        )

    def _broadcast_switch(self):
        self._tell_switch(self.knowledge.switch.place, self._broadcast)

    def _tell_switch(self, place, send):
        accepted = self._arm_answer_by_switch[place]
        send(self._about(ArmAck, place, accepted=accepted))
        outcome = self.outcome_by_switch.get(place)
        if outcome is not None:
            committed = outcome is Outcome.COMMITTED
            send(self._about(SwitchOutcome, place, committed=committed))
            send(self._about(OutcomeKnown, place))


GroupMember.handler_by_message = {
    **GenerationMember.handler_by_message,
    ArmAck: GroupMember._on_arm_ack,
    ArmSwitch: GroupMember._on_arm,
    OutcomeKnown: GroupMember._on_known,
    OutcomeQuery: GroupMember._on_query,
    StageMap: GroupMember._on_stage,
    SwitchOutcome: GroupMember._on_outcome,
}
