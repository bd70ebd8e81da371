"""The agent's book of attempts: which started and which were revoked."""

from collections import OrderedDict

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["AttemptBook"]

MAX_ATTEMPTS_KEPT = 100_000


class AttemptBook:
    """Attempts that started here and tombstones of revoked ones."""

    __slots__ = ("_revoked", "_started")

    def __init__(self):
        self._started = OrderedDict()
        self._revoked = OrderedDict()

    def begin(self, attempt):
        """Note that an attempt starts.

        Raises
        ------
        MagnoliagradeError
            `NOT_RUN` if it was revoked or has started before.
        """
        if attempt in self._revoked:
            detail = f"attempt {attempt} was revoked"
            raise MagnoliagradeError(ErrorKind.NOT_RUN, detail)
        if attempt in self._started:
            detail = f"attempt {attempt} came twice"
            raise MagnoliagradeError(ErrorKind.OUTCOME_UNKNOWN, detail)
        _remember(self._started, attempt)

    def revoke(self, attempt):
        """Revoke an attempt; return whether it never started."""
        if attempt in self._started:
            return False
        _remember(self._revoked, attempt)
        return True


def _remember(book, attempt):
    book[attempt] = True
    if len(book) > MAX_ATTEMPTS_KEPT:
        book.popitem(last=False)
