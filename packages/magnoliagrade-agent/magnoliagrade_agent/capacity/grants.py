"""Credit that entries ask for and that is reserved for them."""

from collections import OrderedDict, deque
from dataclasses import dataclass

__all__ = ["Grant", "GrantTable"]

CREDIT_LEASE_S = 2.0
CONTENDED_S = 10.0
MAX_ASKS_PER_ENTRY = 1024


@dataclass(slots=True, kw_only=True)
class Grant:
    """Credit that is reserved for one entry until it is used or lapses.

    Parameters
    ----------
    entry : str
        Name of the entry.
    amount : float
        Cost that the entry may send.
    until : float
        Monotonic time at which the reservation lapses.
    is_surplus : bool
        Whether the ask was one above a share.
    """

    entry: str
    amount: float
    until: float
    is_surplus: bool = False


class GrantTable:
    """Asks of entries and the credit reserved for them.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    Each ask is granted whole or not yet, so that no entry ends up with less than
    its request needs. Entries with asks take turns; an ask that does not fit holds
    back those behind it, so that a large one comes up in the end. A grant is used
    by the entry's next requests; what it does not use it returns, and what is lost
    lapses with the lease. Asks for organisations above their share come after the
    others and leave them headroom. O(1) for each ask and grant.

    Examples
    --------
    >>> from magnoliagrade.clock import ManualClock
    >>> book = GrantTable(clock=ManualClock())
    >>> book.ask("a", 200)
    >>> book.ask("a", 200)
    >>> book.ask("b", 200)
    >>> [(g.entry, g.amount) for g in book.distribute(450)]
    [('a', 200), ('b', 200)]
    >>> book.reserved
    400.0
    """

    __slots__ = (
        "_asks_by_entry",
        "_contended_at",
        "_clock",
        "_grants",
        "_reserved_by_entry",
        "_surplus_by_entry",
    )

    def __init__(self, *, clock):
        self._clock = clock
        self._asks_by_entry = OrderedDict()
        self._contended_at = float("-inf")
        self._surplus_by_entry = OrderedDict()
        self._grants = deque()
        self._reserved_by_entry = {}

    @property
    def reserved(self):
        """Return the credit that is granted and neither used nor lapsed."""
        self._drop_lapsed()
        return float(sum(self._reserved_by_entry.values()))

    @property
    def requested(self):
        """Return the cost that entries ask for and have not been granted."""
        books = (self._asks_by_entry, self._surplus_by_entry)
        return float(sum(sum(asks) for book in books for asks in book.values()))

    def has_pending(self, entry):
        """Return whether an entry has asks that are not granted."""
        return entry in self._asks_by_entry or entry in self._surplus_by_entry

    def reserved_for(self, entry):
        """Return the credit that is reserved for an entry."""
        self._drop_lapsed()
        return self._reserved_by_entry.get(entry, 0.0)

    def request_credit(self, entry, amount, *, is_surplus=False):
        """Note that an entry asks for credit for one request.

        Parameters
        ----------
        entry : str
            The entry.
        amount : float
            Cost of the request.
        is_surplus : bool
            Whether its organisation uses more than its share.
        """
        asks = self._book(is_surplus).setdefault(entry, deque())
        if len(asks) < MAX_ASKS_PER_ENTRY:
            asks.append(amount)

    def withdraw(self, entry, amount, *, is_surplus=False):
        """Take back an ask of an entry, or what it was granted for it meanwhile."""
        book = self._book(is_surplus)
        asks = book.get(entry, deque())
        if amount in asks:
            asks.remove(amount)
            _drop_if_empty(book, entry)
            return
        self.use(entry, amount)

    def drop_pending(self, entry):
        """Drop the asks of an entry whose link is gone; its grants lapse."""
        self._asks_by_entry.pop(entry, None)
        self._surplus_by_entry.pop(entry, None)

    def use(self, entry, amount):
        """Turn reserved credit into work; return how much there was of it."""
        self._drop_lapsed()
        used = min(amount, self._reserved_by_entry.get(entry, 0.0))
        left = used
        for grant in self._grants:
            if grant.entry == entry and left > 0:
                taken = min(left, grant.amount)
                grant.amount -= taken
                left -= taken
        self._reduce(entry, used)
        return used

    def revoke_all(self):
        """Take every reservation back at once."""
        self._grants.clear()
        self._reserved_by_entry.clear()

    def distribute(self, free, *, headroom=0.0, lone_limit=0.0):
        """Grant asks in turn for as long as they fit.

        Parameters
        ----------
        free : float
            Cost that is neither in flight nor reserved.
        headroom : float
            Part of it that asks above a share leave free.
        lone_limit : float
            Cost that one request may have that runs alone; 0 if the endpoint has
            anything else to do.

        Returns
        -------
        grants : list of Grant
            New reservations.
        """
        granted = self._grant_in_turn(self._asks_by_entry, free, lone_limit)
        free -= sum(g.amount for g in granted)
        if self._asks_by_entry:
            self._contended_at = self._clock.monotonic()
        if granted:
            lone_limit = 0.0
        return granted + self._grant_in_turn(
            self._surplus_by_entry, free - headroom, lone_limit
        )

    @property
    def is_contended(self):
        """Whether an ask within a share had to wait lately."""
        return self._clock.monotonic() - self._contended_at < CONTENDED_S

    def drop_larger_than(self, limit):
        """Drop asks that exceed a limit; entries ask elsewhere when they learn it."""
        for book in (self._asks_by_entry, self._surplus_by_entry):
            for entry, asks in list(book.items()):
                if max(asks) > limit:
                    kept = [a for a in asks if a <= limit]
                    asks.clear()
                    asks.extend(kept)
                    _drop_if_empty(book, entry)

    def _book(self, is_surplus):
        return self._surplus_by_entry if is_surplus else self._asks_by_entry

    def _grant_in_turn(self, book, free, lone_limit):
        granted = []
        while book:
            entry, asks = next(iter(book.items()))
            is_alone = asks[0] <= lone_limit and not granted
            if asks[0] > free and not is_alone:
                break
            amount = asks.popleft()
            free -= amount
            grant = self._reserve(entry, amount)
            grant.is_surplus = book is self._surplus_by_entry
            granted.append(grant)
            book.move_to_end(entry)
            _drop_if_empty(book, entry)
        return granted

    def _reserve(self, entry, amount):
        until = self._clock.monotonic() + CREDIT_LEASE_S
        self._grants.append(Grant(entry=entry, amount=amount, until=until))
        reserved = self._reserved_by_entry.get(entry, 0.0)
        self._reserved_by_entry[entry] = reserved + amount
        return Grant(entry=entry, amount=amount, until=until)

    def _drop_lapsed(self):
        now = self._clock.monotonic()
        while self._grants and (
            self._grants[0].until <= now or not self._grants[0].amount
        ):
            grant = self._grants.popleft()
            self._reduce(grant.entry, grant.amount)

    def _reduce(self, entry, amount):
        left = self._reserved_by_entry.get(entry, 0.0) - amount
        self._reserved_by_entry.pop(entry, None)
        if left > 0:
            self._reserved_by_entry[entry] = left


def _drop_if_empty(book, entry):
    if not book.get(entry, True):
        del book[entry]
