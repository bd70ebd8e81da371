"""A table of attempts: which started and which were revoked."""

import enum
from collections import OrderedDict

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["AttemptTable"]

MAX_ATTEMPTS_KEPT = 20_000
MAX_SENDERS_KEPT = 10_000


class _State(enum.Enum):
    STARTED = "started"
    REVOKED = "revoked"


class AttemptTable:
    """Attempts at non-repeatable requests that started here or were revoked.

    Parameters
    ----------
    max_attempts : int
        Attempts that are remembered one by one.

    Notes
    -----
    An attempt id names its sender's incarnation and a number that grows. When an
    attempt is forgotten, its number becomes the sender's floor: of attempts up to
    the floor the table says neither that they never started nor lets them start, so
    forgetting costs an outcome that could have been known and never a second run.
    Time and memory of an operation do not grow with the table.

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

    def __init__(self, *, max_attempts=MAX_ATTEMPTS_KEPT):
        self._max_attempts = max_attempts
        self._state_by_attempt = OrderedDict()
        self._floor_by_sender = OrderedDict()

    def begin(self, attempt):
        """Note that an attempt starts.

        Parameters
        ----------
        attempt : str
            Id of the attempt.

        Raises
        ------
        MagnoliagradeError
            `NOT_RUN` if it was revoked, `OUTCOME_UNKNOWN` if it has started before
            or is older than the table.
        """
        self.check(attempt)
        self._remember(attempt, _State.STARTED)

    def check(self, attempt):
        """Raise what `begin` would raise, and note nothing."""
        state = self._state_by_attempt.get(attempt)
        if state is _State.REVOKED:
            detail = f"attempt {attempt} was revoked"
            raise MagnoliagradeError(ErrorKind.NOT_RUN, detail)
        if state is _State.STARTED:
            detail = f"attempt {attempt} came twice"
            raise MagnoliagradeError(ErrorKind.OUTCOME_UNKNOWN, detail)
        if self._is_forgotten(attempt):
            detail = f"attempt {attempt} is older than the book of attempts"
            raise MagnoliagradeError(ErrorKind.OUTCOME_UNKNOWN, detail)

    def record_undelivered(self, attempt):
        """Note that an attempt which began did not reach the endpoint.

        Parameters
        ----------
        attempt : str
            Id of the attempt; it may not begin again.
        """
        self._remember(attempt, _State.REVOKED)

    def discard(self, attempt):
        """Note that an attempt which began did not run and may begin again."""
        self._state_by_attempt.pop(attempt, None)

    def revoke(self, attempt):
        """Revoke an attempt; return whether it never started."""
        state = self._state_by_attempt.get(attempt)
        if state is not None:
            return state is _State.REVOKED
        if self._is_forgotten(attempt):
            return False
        self._remember(attempt, _State.REVOKED)
        return True

    def _is_forgotten(self, attempt):
        sender, number = _parse(attempt)
        return number <= self._floor_by_sender.get(sender, 0)

    def _remember(self, attempt, state):
        self._state_by_attempt[attempt] = state
        if len(self._state_by_attempt) <= self._max_attempts:
            return
        oldest, _ = self._state_by_attempt.popitem(last=False)
        sender, number = _parse(oldest)
        floor = self._floor_by_sender.pop(sender, 0)
        self._floor_by_sender[sender] = max(floor, number)
        if len(self._floor_by_sender) > MAX_SENDERS_KEPT:
            self._floor_by_sender.popitem(last=False)


def _parse(attempt):
    sender, _, number = attempt.rpartition(".")
    if not sender or not number.isdecimal():
        detail = f"attempt id {attempt!r} is not INSTANCE.INCARNATION.NUMBER"
        raise MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    return sender, int(number)
