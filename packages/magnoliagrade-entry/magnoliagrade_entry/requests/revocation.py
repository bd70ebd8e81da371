"""Revocation of an attempt whose connection was lost."""

import asyncio
import contextlib
import logging

from magnoliagrade.observability import log_event
from magnoliagrade.wire import Revoke, RevokeAnswer
from prometheus_client import Counter

from magnoliagrade_entry.handlers import entry_handlers

__all__ = ["RevocationClient"]

# Without a reply for this time, the outcome of the attempt counts as unknown.
REVOKE_TIMEOUT_S = 3.0
# A revocation without a reply is sent again after this time.
RESEND_INTERVAL_S = 0.3
# Interval between checks for a new link, if there is none to the process.
LINK_POLL_INTERVAL_S = 0.05
# Interval between revocations of an attempt that is still running.
RUNNING_POLL_INTERVAL_S = 0.1
REVOCATIONS = Counter(
    "magnoliagrade_revocations_total", "Withdrawn attempts by result", ["result"]
)
_log = logging.getLogger(__name__)


class _PendingRevocation:
    """A revocation in progress, with the latest reply to it."""

    __slots__ = ("has_reply", "incarnation", "reply", "waiter_count")

    def __init__(self, *, incarnation):
        self.incarnation = incarnation
        self.reply = None
        self.waiter_count = 0
        self.has_reply = asyncio.Event()


class RevocationClient:
    """Revokes attempts at agents and peer entries, or fetches their outcomes.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    Only replies of the incarnation that the attempt was sent to count: a restarted
    process has lost the record of the attempts that it started.
    """

    __slots__ = ("_node", "_pending_by_attempt")

    def __init__(self, *, node):
        self._node = node
        self._pending_by_attempt = {}

    async def revoke(self, placement, attempt, *, deadline, is_waiting_for_end=True):
        """Return the outcome of an attempt after asking its process to revoke it.

        Parameters
        ----------
        placement : Placement
            Endpoint or peer entry that it was sent to.
        attempt : str
            Id of the attempt.
        deadline : float
            Monotonic time in seconds after which the reply is of no use.
        is_waiting_for_end : bool
            Whether to wait for the end of an attempt that is running.

        Returns
        -------
        reply : RevokeAnswer
            Has `never_started` set, or the status of the recorded response, or neither
            if the outcome is not known in time.
        """
        pending = self._pending_by_attempt.setdefault(
            attempt, _PendingRevocation(incarnation=placement.incarnation)
        )
        pending.waiter_count += 1
        try:
            reply = await self._send_until_reply(
                placement, attempt, pending, deadline, is_waiting_for_end
            )
        finally:
            pending.waiter_count -= 1
            if not pending.waiter_count:
                del self._pending_by_attempt[attempt]
        result = _result(reply)
        REVOCATIONS.labels(result).inc()
        log_event(
            _log,
            "attempt.revoked",
            attempt=attempt,
            endpoint=placement.name,
            result=result,
        )
        return reply

    def send_revoke(self, placement, attempt):
        """Revoke an attempt without waiting, so that it is rejected if it is late."""
        link = self._node.links.by_instance.get(placement.name)
        if link is not None and link.peer_incarnation == placement.incarnation:
            link.send(Revoke(attempt=attempt))

    def on_reply(self, link, message):
        """Pass a reply that a link received to the revocation that waits for it."""
        pending = self._pending_by_attempt.get(message.attempt)
        if pending is not None and link.peer_incarnation == pending.incarnation:
            pending.reply = message
            pending.has_reply.set()

    async def _send_until_reply(
        self, placement, attempt, pending, deadline, is_waiting_for_end
    ):
        clock = self._node.clock
        timeout_at = min(deadline, clock.monotonic() + REVOKE_TIMEOUT_S)
        while clock.monotonic() < timeout_at:
            link = self._node.links.by_instance.get(placement.name)
            if link is None or link.is_closing:
                await clock.sleep(LINK_POLL_INTERVAL_S)
                continue
            if link.peer_incarnation != placement.incarnation:
                break
            pending.has_reply.clear()
            link.send(Revoke(attempt=attempt))
            remaining_s = timeout_at - clock.monotonic()
            with contextlib.suppress(TimeoutError):
                async with asyncio.timeout(min(RESEND_INTERVAL_S, remaining_s)):
                    await pending.has_reply.wait()
            reply = pending.reply
            if reply is None:
                continue
            if not reply.is_running or not is_waiting_for_end:
                return reply
            timeout_at = deadline
            await clock.sleep(RUNNING_POLL_INTERVAL_S)
        return RevokeAnswer(attempt=attempt)


def _result(reply):
    if reply.never_started:
        return "never-started"
    return "answered" if reply.status else "unproven"


@entry_handlers.on(RevokeAnswer)
async def on_revoke_answer(node, link, message):
    """Pass a reply to the revocation that waits for it."""
    node.revocations.on_reply(link, message)
