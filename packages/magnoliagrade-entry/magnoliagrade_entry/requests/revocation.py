"""Withdrawing an attempt whose connection was lost."""

import asyncio
import contextlib
import logging

from magnoliagrade.observability import log_event
from magnoliagrade.wire import Revoke, RevokeAnswer
from prometheus_client import Counter

from magnoliagrade_entry.handlers import entry_handlers

__all__ = ["Revocations"]

REVOKE_WAIT_S = 3.0
RESEND_S = 0.3
LINK_POLL_S = 0.05
RUNNING_POLL_S = 0.1
REVOCATIONS = Counter(
    "magnoliagrade_revocations_total", "Withdrawn attempts by result", ["result"]
)
_log = logging.getLogger(__name__)


class _Question:
    """An attempt that is asked about, and the newest answer."""

    __slots__ = ("answer", "askers", "has_answer", "incarnation")

    def __init__(self, *, incarnation):
        self.incarnation = incarnation
        self.answer = None
        self.askers = 0
        self.has_answer = asyncio.Event()


class Revocations:
    """Questions to other processes whether an attempt started and how it ended.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    Only the incarnation that the attempt was sent to may answer: its successor has
    lost the books of what it started.
    """

    __slots__ = ("_node", "_question_by_attempt")

    def __init__(self, *, node):
        self._node = node
        self._question_by_attempt = {}

    async def settle(self, placement, attempt, *, deadline, is_patient=True):
        """Withdraw an attempt, or learn how it ended.

        Parameters
        ----------
        placement : Placement
            Where it was sent.
        attempt : str
            Its id.
        deadline : float
            Monotonic time after which the answer is of no use.
        is_patient : bool
            Whether to wait for the end of an attempt that runs.

        Returns
        -------
        answer : RevokeAnswer
            Says `never_started`, or the recorded answer by its status, or neither
            if nothing is known in time.
        """
        question = self._question_by_attempt.setdefault(
            attempt, _Question(incarnation=placement.incarnation)
        )
        question.askers += 1
        try:
            answer = await self._ask(placement, attempt, question, deadline, is_patient)
        finally:
            question.askers -= 1
            if not question.askers:
                del self._question_by_attempt[attempt]
        result = _result(answer)
        REVOCATIONS.labels(result).inc()
        log_event(
            _log,
            "attempt.revoked",
            attempt=attempt,
            endpoint=placement.name,
            result=result,
        )
        return answer

    def withdraw(self, placement, attempt):
        """Withdraw an attempt without waiting; a copy that comes late is refused."""
        link = self._node.links.by_instance.get(placement.name)
        if link is not None and link.peer_incarnation == placement.incarnation:
            link.send(Revoke(attempt=attempt))

    def on_answer(self, link, message):
        """Take an answer that came over a link."""
        question = self._question_by_attempt.get(message.attempt)
        if question is not None and link.peer_incarnation == question.incarnation:
            question.answer = message
            question.has_answer.set()

    async def _ask(self, placement, attempt, question, deadline, is_patient):
        clock = self._node.clock
        until = min(deadline, clock.monotonic() + REVOKE_WAIT_S)
        while clock.monotonic() < until:
            link = self._node.links.by_instance.get(placement.name)
            if link is None or link.is_closing:
                await clock.sleep(LINK_POLL_S)
                continue
            if link.peer_incarnation != placement.incarnation:
                break
            question.has_answer.clear()
            link.send(Revoke(attempt=attempt))
            left = until - clock.monotonic()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(RESEND_S, left)):
                    await question.has_answer.wait()
            answer = question.answer
            if answer is None:
                continue
            if not answer.is_running or not is_patient:
                return answer
            until = deadline
            await clock.sleep(RUNNING_POLL_S)
        return RevokeAnswer(attempt=attempt)


def _result(answer):
    if answer.never_started:
        return "never-started"
    return "answered" if answer.status else "unproven"


@entry_handlers.on(RevokeAnswer)
async def on_revoke_answer(node, link, message):
    """Pass an answer on to the attempt that waits for it."""
    node.revocations.on_answer(link, message)
