"""Requests that peer entries forwarded to this entry, and their revocation."""

from dataclasses import dataclass

from magnoliagrade.node import AttemptTable
from magnoliagrade.wire import Revoke

from magnoliagrade_entry.handlers import entry_handlers
from magnoliagrade_entry.requests.revocation import REVOKE_TIMEOUT_S
from magnoliagrade_entry.routing import Placement

__all__ = ["ForwardedTable"]


@dataclass(slots=True, kw_only=True)
class _SentAttempt:
    """The attempt of this entry at a forwarded request, and where it was sent.

    `attempt` is its id at this entry; the tables below are keyed by the id of the
    peer entry's attempt.
    """

    placement: Placement
    attempt: str


class ForwardedTable:
    """Non-repeatable requests of peer entries, with the placement of each.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    A peer entry that loses the connection of a forwarded request revokes its attempt
    at this entry. If the request has not been sent to an agent yet, it is rejected
    from then on; if it has, the revocation is relayed to the agent.
    """

    __slots__ = ("_attempts", "_node", "_relayed_revocations", "_sent_by_attempt")

    def __init__(self, *, node):
        self._node = node
        self._attempts = AttemptTable()
        self._sent_by_attempt = {}
        self._relayed_revocations = set()

    def begin(self, request, placement, attempt):
        """Record that a forwarded request is about to be sent to its placement.

        Raises
        ------
        MagnoliagradeError
            `NOT_RUN` if the peer entry has revoked it, `OUTCOME_UNKNOWN` if it has
            begun before.
        """
        if _is_tracked(request):
            forwarded = request.forwarded_attempt
            self._attempts.begin(forwarded)
            sent = _SentAttempt(placement=placement, attempt=attempt)
            self._sent_by_attempt[forwarded] = sent

    def end(self, request, *, is_not_run):
        """Record whether a forwarded request may have run.

        Parameters
        ----------
        request : Request
            The request.
        is_not_run : bool
            Whether the attempt of this entry is known not to have run.
        """
        if _is_tracked(request):
            sent = self._sent_by_attempt.pop(request.forwarded_attempt, None)
            if sent is None:
                return
            if is_not_run and request.forwarded_attempt in self._relayed_revocations:
                self._attempts.record_undelivered(request.forwarded_attempt)
            elif is_not_run:
                self._attempts.discard(request.forwarded_attempt)

    def revoke(self, link, attempt):
        """Revoke a peer entry's attempt and reply over the link."""
        sent = self._sent_by_attempt.get(attempt)
        if sent is None:
            never_started = self._attempts.revoke(attempt)
            self._reply(link, attempt, never_started)
        elif attempt not in self._relayed_revocations:
            self._relayed_revocations.add(attempt)
            relay = self._relay(link, attempt, sent)
            self._node.tasks.start(relay, name=f"revoke {attempt}")

    async def _relay(self, link, attempt, sent):
        deadline = self._node.clock.monotonic() + REVOKE_TIMEOUT_S
        try:
            reply = await self._node.revocations.revoke(
                sent.placement,
                sent.attempt,
                deadline=deadline,
                is_waiting_for_end=False,
            )
            if reply.never_started:
                self._attempts.record_undelivered(attempt)
            self._reply(link, attempt, reply.never_started)
        finally:
            self._relayed_revocations.discard(attempt)

    def _reply(self, link, attempt, never_started):
        reply = self._node.outcomes.revoke_reply(attempt, never_started=never_started)
        link.send(reply)


def _is_tracked(request):
    return bool(request.forwarded_from) and not request.repeatable


@entry_handlers.on(Revoke)
async def on_revoke(node, link, message):
    """Revoke the attempt of a peer entry that lost its connection."""
    node.forwarded.revoke(link, message.attempt)
