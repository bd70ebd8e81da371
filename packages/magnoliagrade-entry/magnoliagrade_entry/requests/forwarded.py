"""Requests that peer entries forwarded here, and their withdrawal."""

from dataclasses import dataclass

from magnoliagrade.node import AttemptTable
from magnoliagrade.wire import Revoke

from magnoliagrade_entry.handlers import entry_handlers
from magnoliagrade_entry.requests.revocation import REVOKE_WAIT_S
from magnoliagrade_entry.routing import Placement

__all__ = ["ForwardedTable"]


@dataclass(slots=True, kw_only=True)
class _Sent:
    placement: Placement
    attempt: str


class ForwardedTable:
    """Non-repeatable requests of peer entries and where they were sent.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    A peer whose connection breaks withdraws its attempt here. What has not been
    sent on is refused from then on; what has been is withdrawn from the agent.
    """

    __slots__ = ("_attempts", "_node", "_relayed", "_sent_by_attempt")

    def __init__(self, *, node):
        self._node = node
        self._attempts = AttemptTable()
        self._sent_by_attempt = {}
        self._relayed = set()

    def begin(self, request, placement, attempt):
        """Note that a request is about to be sent on.

        Raises
        ------
        MagnoliagradeError
            `NOT_RUN` if its peer has withdrawn it.
        """
        if _is_tracked(request):
            forwarded = request.forwarded_attempt
            self._attempts.begin(forwarded)
            sent = _Sent(placement=placement, attempt=attempt)
            self._sent_by_attempt[forwarded] = sent

    def end(self, request, *, is_not_run):
        """Note how sending a request on ended.

        Parameters
        ----------
        request : Request
            The request.
        is_not_run : bool
            Whether it is proven that this attempt did not run.
        """
        if _is_tracked(request):
            sent = self._sent_by_attempt.pop(request.forwarded_attempt, None)
            if sent is None:
                return
            if is_not_run and request.forwarded_attempt in self._relayed:
                self._attempts.record_undelivered(request.forwarded_attempt)
            elif is_not_run:
                self._attempts.discard(request.forwarded_attempt)

    def revoke(self, link, attempt):
        """Withdraw a peer's attempt and answer over the link."""
        sent = self._sent_by_attempt.get(attempt)
        if sent is None:
            never_started = self._attempts.revoke(attempt)
            self._answer(link, attempt, never_started)
        elif attempt not in self._relayed:
            self._relayed.add(attempt)
            relay = self._relay(link, attempt, sent)
            self._node.tasks.start(relay, name=f"revoke {attempt}")

    async def _relay(self, link, attempt, sent):
        deadline = self._node.clock.monotonic() + REVOKE_WAIT_S
        try:
            answer = await self._node.revocations.settle(
                sent.placement, sent.attempt, deadline=deadline, is_patient=False
            )
            if answer.never_started:
                self._attempts.record_undelivered(attempt)
            self._answer(link, attempt, answer.never_started)
        finally:
            self._relayed.discard(attempt)

    def _answer(self, link, attempt, never_started):
        answer = self._node.outcomes.revoke_reply(attempt, never_started=never_started)
        link.send(answer)


def _is_tracked(request):
    return bool(request.forwarded_from) and not request.repeatable


@entry_handlers.on(Revoke)
async def on_revoke(node, link, message):
    """Withdraw an attempt that a peer forwarded here."""
    node.forwarded.revoke(link, message.attempt)
