"""Protocol by which the ranks of a group switch the expert map."""

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
from magnoliagrade_agent.group.view import Outcome

__all__ = ["GroupMember"]

_log = logging.getLogger(__name__)


class GroupMember(GenerationMember):
    """State machine of one rank's agent that switches maps with its peers.

    Parameters are those of `GenerationMember`.

    Attributes
    ----------
    is_switch_closed : bool
        Whether the newest armed switch is closed; True if none was armed.
    outcome_by_switch : dict of tuple to Outcome
        Outcomes that this agent knows, by version and step of the switch.

    Notes
    -----
    Every rank sends its reply to an arming to all other ranks and never changes it. So
    the outcome follows from the replies alone: committed if all ranks armed, aborted if
    one rejected. Neither the coordinator nor the store is needed to determine the
    outcome: a rank that is queried about a switch that it has not armed rejects the
    switch. The rank begins the step of the switch only after it knows that every rank
    knows the outcome, so no step runs with two maps.
    """

    __slots__ = (
        "_arm_acks_by_switch",
        "_arm_reply_by_switch",
        "_informed_ranks_by_switch",
        "_pending_arm_key",
        "is_switch_closed",
        "outcome_by_switch",
    )

    async def tick(self, *, is_query_due=False):
        """Resend messages that peers may have missed, and retry pending decisions.

        Parameters
        ----------
        is_query_due : bool
            Whether the switch has been open long enough to query peers for its outcome.
        """
        await super().tick()
        if self.is_running:
            await self._reject_pending_arm()
        if self.is_open():
            await self._maybe_decide()
            await self._maybe_release()
            self._broadcast_switch()
            if is_query_due:
                self._broadcast(self._query())

    def is_open(self):
        """Return whether this rank has armed a switch and not yet closed it.

        A switch is closed only once this rank knows that all ranks know the outcome. So
        it may still be open although its outcome is no longer `Outcome.OPEN`.
        """
        return self.is_running and not self.is_switch_closed

    def _reset_generation(self):
        super()._reset_generation()
        self.is_switch_closed = True
        self._pending_arm_key = None
        self.outcome_by_switch = {}
        self._arm_reply_by_switch = {}
        self._arm_acks_by_switch = {}
        self._informed_ranks_by_switch = {}

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
        switch_key = (message.version, message.step)
        if self._pending_arm_key != switch_key:
            await self._reject_pending_arm()
        if switch_key in self._arm_reply_by_switch:
            self._send_switch_state(switch_key, self._broadcast)
            return
        self._pending_arm_key = switch_key
        await self._reply_to_arm(switch_key, await self._try_arm(message))
        self._pending_arm_key = None

    async def _reject_pending_arm(self):
        """Reject a switch whose arming was interrupted before the reply was sent.

        The rank may hold the step although the order to hold it appeared to fail.
        """
        switch_key = self._pending_arm_key
        if switch_key is not None and switch_key not in self._arm_reply_by_switch:
            await self._reply_to_arm(switch_key, False)
        self._pending_arm_key = None

    async def _try_arm(self, message):
        packed_map = self._maps.get(message.version, b"")
        last = self.view.switch
        if not self._accept_fence(message) or not packed_map:
            return False
        if not self.is_switch_closed or message.step <= self._last_possible_step():
            return False
        if not await self.orders.stage(message.version, packed_map):
            return False
        armed = self.view.with_armed(
            version=message.version, step=message.step, packed_map=packed_map
        )
        # Arming drops the map from before the last switch, which steps before that
        # switch may still need. So the rank must have begun the last switch's step.
        after_step = last.step if last else 0
        if not await self.orders.hold(armed, after_step=after_step):
            return False
        # The rank has begun `after_step`, so it has completed the step before it.
        completed = max(armed.completed, after_step - 1)
        self.view = replace(armed, completed=completed)
        self.is_switch_closed = False
        return True

    def _last_possible_step(self):
        """Return the newest step that any rank may have begun with the current map.

        A rank that failed may have completed the step that the survivors abandoned, and
        may have begun the step after it. That is two steps after the newest completed
        step.
        """
        last = self.view.switch
        return max(self.view.completed + 2, last.step if last else 0)

    async def _reply_to_arm(self, switch_key, accepted):
        if not accepted and not self.is_open():
            await self.orders.release(switch_key[1])
        self._arm_reply_by_switch[switch_key] = accepted
        self._acks(switch_key)[self.rank] = accepted
        if not accepted:
            # A rejection aborts the switch, so the rejecting rank knows the outcome.
            self.outcome_by_switch[switch_key] = Outcome.ABORTED
            self._informed_ranks(switch_key).add(self.rank)
        self._send_switch_state(switch_key, self._broadcast)
        await self._maybe_decide()

    def _acks(self, switch_key):
        return self._arm_acks_by_switch.setdefault(switch_key, {})

    def _informed_ranks(self, switch_key):
        return self._informed_ranks_by_switch.setdefault(switch_key, set())

    async def _on_arm_ack(self, message, reply):
        if message.generation != self.generation:
            return
        switch_key = (message.version, message.step)
        self._acks(switch_key).setdefault(message.rank, message.accepted)
        await self._maybe_decide()

    async def _maybe_decide(self):
        if not self.is_open() or self.view.switch.outcome is not Outcome.OPEN:
            return
        acks = self._acks(self.view.switch.key)
        if not all(acks.values()):
            await self._decide(Outcome.ABORTED)
        elif len(acks) == self.ranks:
            await self._decide(Outcome.COMMITTED)

    async def _decide(self, outcome):
        switch_key = self.view.switch.key
        decided = self.view.with_outcome(outcome)
        # The rank stores the outcome before this agent announces it, so that a restart
        # of the agent cannot lose an outcome that peers rely on.
        await self.orders.note_outcome(decided)
        self.view = decided
        self.outcome_by_switch[switch_key] = outcome
        self._informed_ranks(switch_key).add(self.rank)
        self._send_switch_state(switch_key, self._broadcast)
        await self._maybe_release()

    async def _on_outcome(self, message, reply):
        switch_key = (message.version, message.step)
        if message.generation != self.generation or not self.is_open():
            return
        switch = self.view.switch
        if switch.key == switch_key and switch.outcome is Outcome.OPEN:
            is_committed = message.committed
            await self._decide(Outcome.COMMITTED if is_committed else Outcome.ABORTED)

    async def _on_known(self, message, reply):
        if message.generation == self.generation:
            self._informed_ranks((message.version, message.step)).add(message.rank)
            await self._maybe_release()

    async def _maybe_release(self):
        if not self.is_open() or self.view.switch.outcome is Outcome.OPEN:
            return
        if self._is_known_by_all(self.view.switch.key):
            await self.orders.release(self.view.switch.step)
            self.is_switch_closed = True
            log_event(
                _log,
                "group.switched",
                group=self.group,
                map_version=self.view.switch.version,
                step=self.view.switch.step,
                outcome=self.view.switch.outcome.value,
            )

    def _is_known_by_all(self, switch_key):
        return len(self._informed_ranks(switch_key)) == self.ranks

    async def _on_query(self, message, reply):
        if message.generation != self.generation:
            reply(self._join())
            return
        switch_key = (message.version, message.step)
        if switch_key not in self._arm_reply_by_switch:
            await self._reply_to_arm(switch_key, False)
        self._send_switch_state(switch_key, reply)

    def _query(self):
        return self._switch_message(OutcomeQuery, self.view.switch.key)

    def _switch_message(self, message_class, switch_key, **fields):
        version, step = switch_key
        return message_class(
            group=self.group,
            generation=self.generation,
            version=version,
            step=step,
            rank=self.rank,
            **fields,
        )

    def _broadcast_switch(self):
        self._send_switch_state(self.view.switch.key, self._broadcast)

    def _send_switch_state(self, switch_key, send):
        accepted = self._arm_reply_by_switch[switch_key]
        send(self._switch_message(ArmAck, switch_key, accepted=accepted))
        outcome = self.outcome_by_switch.get(switch_key)
        if outcome is not None:
            committed = outcome is Outcome.COMMITTED
            send(self._switch_message(SwitchOutcome, switch_key, committed=committed))
            send(self._switch_message(OutcomeKnown, switch_key))


GroupMember.handler_by_message = {
    **GenerationMember.handler_by_message,
    ArmAck: GroupMember._on_arm_ack,
    ArmSwitch: GroupMember._on_arm,
    OutcomeKnown: GroupMember._on_known,
    OutcomeQuery: GroupMember._on_query,
    StageMap: GroupMember._on_stage,
    SwitchOutcome: GroupMember._on_outcome,
}
