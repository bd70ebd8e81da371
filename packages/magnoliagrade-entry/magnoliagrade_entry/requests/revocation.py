"""Withdrawing an attempt whose connection was lost."""

import asyncio
import logging

from magnoliagrade.observability import log_event
from magnoliagrade.wire import Revoke, RevokeAnswer
from prometheus_client import Counter

from magnoliagrade_entry.handlers import entry_handlers

__all__ = ["Revocations"]

REVOKE_WAIT_S = 3.0
RESEND_S = 0.3
LINK_POLL_S = 0.05
REVOCATIONS = Counter(
    "magnoliagrade_revocations_total", "Withdrawn attempts by result", ["result"]
)
_log = logging.getLogger(__name__)


class Revocations:
    """Questions to other processes whether an attempt never started.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    Only the incarnation that the attempt was sent to may answer: its successor has
    lost the books of what it started.
    """

    __slots__ = ("_answer_by_attempt", "_node")

    def __init__(self, *, node):
        self._node = node
        self._answer_by_attempt = {}

    async def never_started(self, placement, attempt, *, deadline):
        """Withdraw an attempt and return whether it is proven not to have run.

        Parameters
        ----------
        placement : Placement
            Where it was sent.
        attempt : str
            Its id.
        deadline : float
            Monotonic time after which the answer is of no use.

        Returns
        -------
        never_started : bool
            False also if no answer came in time.
        """
        until = min(deadline, self._node.clock.monotonic() + REVOKE_WAIT_S)
        fresh = (placement.incarnation, asyncio.get_running_loop().create_future())
        _, answer = self._answer_by_attempt.setdefault(attempt, fresh)
        try:
            result = await self._ask(placement, attempt, answer, until)
        finally:
            self._answer_by_attempt.pop(attempt, None)
        REVOCATIONS.labels("never-started" if result else "unproven").inc()
        log_event(
            _log,
            "attempt.revoked",
            attempt=attempt,
            endpoint=placement.name,
            never_started=result,
        )
        return result

    def on_answer(self, link, message):
        """Take an answer that came over a link."""
        incarnation, answer = self._answer_by_attempt.get(message.attempt, (0, None))
        if answer is None or answer.done():
            return
        if link.peer_incarnation == incarnation:
            answer.set_result(message.never_started)

    async def _ask(self, placement, attempt, answer, until):
        clock = self._node.clock
        while clock.monotonic() < until:
            link = self._node.links.by_instance.get(placement.name)
            if link is None or link.is_closing:
                await clock.sleep(LINK_POLL_S)
                continue
            if link.peer_incarnation != placement.incarnation:
                return False
            link.send(Revoke(attempt=attempt))
            left = until - clock.monotonic()
            await asyncio.wait([answer], timeout=min(RESEND_S, left))
            if answer.done():
                return answer.result()
        return False


@entry_handlers.on(RevokeAnswer)
async def on_revoke_answer(node, link, message):
    """Pass an answer on to the attempt that waits for it."""
    node.revocations.on_answer(link, message)
