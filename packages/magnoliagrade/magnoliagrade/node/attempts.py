"""Table of attempts at non-repeatable requests: which started, which were revoked."""

import enum
from collections import OrderedDict

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["AttemptTable"]

# Attempts whose state is held one by one, of all senders together.
MAX_ATTEMPTS = 20_000
# Senders for which a floor is held: the highest number among evicted attempts.
MAX_SENDERS = 10_000


class _State(enum.Enum):
    STARTED = "started"
    REVOKED = "revoked"


class AttemptTable:
    """Attempts at non-repeatable requests that started here or were revoked.

    Parameters
    ----------
    max_attempts : int
        Attempts that the table holds one by one.

    Notes
    -----
    An attempt id consists of its sender's incarnation and an increasing number. When
    an attempt is evicted, its number becomes the sender's floor. The table neither lets
    attempts up to the floor start nor reports that they never started, so an eviction
    can turn a known outcome into an unknown one but never allows a second run while the
    sender's floor is held. Floors are held for the 10,000 senders whose attempts were
    evicted last. The time and memory of an operation do not grow with the table.

    Examples
    --------
    >>> table = AttemptTable()
    >>> table.revoke("a.1.7")
    True
    >>> table.begin("a.1.8")
    >>> table.revoke("a.1.8")
    False
    """

    __slots__ = ("_floor_by_sender", "_max_attempts", "_state_by_attempt")

    def __init__(self, *, max_attempts=MAX_ATTEMPTS):
        self._max_attempts = max_attempts
        self._state_by_attempt = OrderedDict()
        self._floor_by_sender = OrderedDict()

    def begin(self, attempt):
        """Record that an attempt starts.

        Parameters
        ----------
        attempt : str
            Id of the attempt.

        Raises
        ------
        MagnoliagradeError
            `NOT_RUN` if it was revoked, `OUTCOME_UNKNOWN` if it has started before
            or its number is not above its sender's floor.
        """
        self.check(attempt)
        self._record(attempt, _State.STARTED)

    def check(self, attempt):
        """Raise what `begin` would raise, without recording a start."""
        state = self._state_by_attempt.get(attempt)
        if state is _State.REVOKED:
            detail = f"attempt {attempt} was revoked"
            raise MagnoliagradeError(ErrorKind.NOT_RUN, detail)
        if state is _State.STARTED:
            detail = f"attempt {attempt} has already started here"
            raise MagnoliagradeError(ErrorKind.OUTCOME_UNKNOWN, detail)
        if self._is_evicted(attempt):
            detail = f"attempt {attempt} is older than those in the attempt table"
            raise MagnoliagradeError(ErrorKind.OUTCOME_UNKNOWN, detail)

    def record_undelivered(self, attempt):
        """Record that an attempt which began did not reach the endpoint.

        Parameters
        ----------
        attempt : str
            Id of the attempt; it may not begin again.
        """
        self._record(attempt, _State.REVOKED)

    def discard(self, attempt):
        """Remove an attempt that began but did not run, so that it may begin again."""
        self._state_by_attempt.pop(attempt, None)

    def revoke(self, attempt):
        """Revoke an attempt; return whether it is certain that it never started."""
        state = self._state_by_attempt.get(attempt)
        if state is not None:
            return state is _State.REVOKED
        if self._is_evicted(attempt):
            return False
        self._record(attempt, _State.REVOKED)
        return True

    def _is_evicted(self, attempt):
        sender, number = _parse(attempt)
        return number <= self._floor_by_sender.get(sender, 0)

    def _record(self, attempt, state):
        self._state_by_attempt[attempt] = state
        if len(self._state_by_attempt) <= self._max_attempts:
            return
        oldest, _ = self._state_by_attempt.popitem(last=False)
        sender, number = _parse(oldest)
        floor = self._floor_by_sender.pop(sender, 0)
        self._floor_by_sender[sender] = max(floor, number)
        if len(self._floor_by_sender) > MAX_SENDERS:
            self._floor_by_sender.popitem(last=False)


def _parse(attempt):
    sender, _, number = attempt.rpartition(".")
    if not sender or not number.isdecimal():
        detail = f"attempt id {attempt!r} does not match INSTANCE.INCARNATION.NUMBER"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    return sender, int(number)
