"""Credit that entries request and that is reserved for them."""

from collections import OrderedDict, deque
from dataclasses import dataclass

__all__ = ["Grant", "GrantTable"]

# A grant that is not used within this time expires, because its message may be lost.
CREDIT_LEASE_S = 2.0
# Surplus requests leave headroom for this long after a request within a share waited.
CONTENTION_WINDOW_S = 10.0
# Further credit requests of an entry are dropped.
MAX_PENDING_PER_ENTRY = 1024


@dataclass(slots=True, kw_only=True)
class Grant:
    """Credit that is reserved for one entry until it is used or expires.

    Parameters
    ----------
    entry : str
        Name of the entry.
    amount : float
        Cost that the entry may send.
    expires_at : float
        Monotonic time, in seconds, at which the reservation expires.
    is_surplus : bool
        Whether the request was for an organisation above its share.
    """

    entry: str
    amount: float
    expires_at: float
    is_surplus: bool = False


class GrantTable:
    """Pending credit requests of entries and the credit reserved for them.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Notes
    -----
    A credit request is granted in full or stays pending, so that no entry holds less
    credit than its request needs. Entries with pending requests are served round-robin.
    A request that does not fit blocks those behind it, so that large requests are not
    starved. A grant is consumed by the entry's next requests. The entry returns what it
    does not use, and a lost grant expires with its lease. Surplus requests, those for
    organisations above their share, are granted after all others and leave them
    headroom. O(1) for each request and grant.

    Examples
    --------
    >>> from magnoliagrade.clock import ManualClock
    >>> table = GrantTable(clock=ManualClock())
    >>> table.request_credit("a", 200)
    >>> table.request_credit("a", 200)
    >>> table.request_credit("b", 200)
    >>> [(g.entry, g.amount) for g in table.distribute(450)]
    [('a', 200), ('b', 200)]
    >>> table.reserved
    400.0
    """

    __slots__ = (
        "_clock",
        "_contended_at",
        "_grants",
        "_pending_by_entry",
        "_reserved_by_entry",
        "_surplus_by_entry",
    )

    def __init__(self, *, clock):
        self._clock = clock
        self._pending_by_entry = OrderedDict()
        self._contended_at = float("-inf")
        self._surplus_by_entry = OrderedDict()
        self._grants = deque()
        self._reserved_by_entry = {}

    @property
    def reserved(self):
        """Return the credit that is granted and neither used nor expired."""
        self._drop_expired()
        return float(sum(self._reserved_by_entry.values()))

    @property
    def requested(self):
        """Return the total cost of the pending credit requests."""
        tables = (self._pending_by_entry, self._surplus_by_entry)
        return float(sum(sum(amounts) for t in tables for amounts in t.values()))

    def has_pending(self, entry):
        """Return whether an entry has pending credit requests."""
        return entry in self._pending_by_entry or entry in self._surplus_by_entry

    def reserved_for(self, entry):
        """Return the credit that is reserved for an entry."""
        self._drop_expired()
        return self._reserved_by_entry.get(entry, 0.0)

    def request_credit(self, entry, amount, *, is_surplus=False):
        """Add a credit request of an entry, unless 1024 are pending already.

        Parameters
        ----------
        entry : str
            Name of the entry.
        amount : float
            Cost of the request that the credit is for.
        is_surplus : bool
            Whether the request's organisation is above its share.
        """
        amounts = self._pending(is_surplus).setdefault(entry, deque())
        if len(amounts) < MAX_PENDING_PER_ENTRY:
            amounts.append(amount)

    def withdraw(self, entry, amount, *, is_surplus=False):
        """Remove a credit request, or release its credit if already granted."""
        pending_by_entry = self._pending(is_surplus)
        amounts = pending_by_entry.get(entry, deque())
        if amount in amounts:
            amounts.remove(amount)
            _drop_if_empty(pending_by_entry, entry)
            return
        self.use(entry, amount)

    def drop_pending(self, entry):
        """Drop the pending requests of an entry whose link is down.

        Its grants stay reserved until they expire.
        """
        self._pending_by_entry.pop(entry, None)
        self._surplus_by_entry.pop(entry, None)

    def use(self, entry, amount):
        """Consume reserved credit of an entry and return the amount consumed."""
        self._drop_expired()
        used = min(amount, self._reserved_by_entry.get(entry, 0.0))
        remaining = used
        for grant in self._grants:
            if grant.entry == entry and remaining > 0:
                taken = min(remaining, grant.amount)
                grant.amount -= taken
                remaining -= taken
        self._reduce_reserved(entry, used)
        return used

    def revoke_all(self):
        """Release every reservation at once."""
        self._grants.clear()
        self._reserved_by_entry.clear()

    def distribute(self, free, *, headroom=0.0, exclusive_limit=0.0):
        """Grant pending requests round-robin as long as they fit.

        Parameters
        ----------
        free : float
            Cost that is neither in flight nor reserved.
        headroom : float
            Part of `free` that surplus requests must leave free.
        exclusive_limit : float
            Largest cost of a request that may run as the only one at the endpoint;
            0 if the endpoint is not idle.

        Returns
        -------
        grants : list of Grant
            New reservations.
        """
        granted = self._grant_in_turn(self._pending_by_entry, free, exclusive_limit)
        free -= sum(g.amount for g in granted)
        if self._pending_by_entry:
            self._contended_at = self._clock.monotonic()
        if granted:
            exclusive_limit = 0.0
        return granted + self._grant_in_turn(
            self._surplus_by_entry, free - headroom, exclusive_limit
        )

    @property
    def is_contended(self):
        """Whether a request within a share had to wait during the last 10 s."""
        return self._clock.monotonic() - self._contended_at < CONTENTION_WINDOW_S

    def drop_larger_than(self, limit):
        """Drop pending requests whose amount exceeds a limit.

        Entries request the credit at another endpoint once they know the limit.
        """
        for pending_by_entry in (self._pending_by_entry, self._surplus_by_entry):
            for entry, amounts in list(pending_by_entry.items()):
                if max(amounts) > limit:
                    kept = [a for a in amounts if a <= limit]
                    amounts.clear()
                    amounts.extend(kept)
                    _drop_if_empty(pending_by_entry, entry)

    def _pending(self, is_surplus):
        return self._surplus_by_entry if is_surplus else self._pending_by_entry

    def _grant_in_turn(self, pending_by_entry, free, exclusive_limit):
        granted = []
        while pending_by_entry:
            entry, amounts = next(iter(pending_by_entry.items()))
            is_exclusive = amounts[0] <= exclusive_limit and not granted
            if amounts[0] > free and not is_exclusive:
                break
            amount = amounts.popleft()
            free -= amount
            grant = self._reserve(entry, amount)
            grant.is_surplus = pending_by_entry is self._surplus_by_entry
            granted.append(grant)
            pending_by_entry.move_to_end(entry)
            _drop_if_empty(pending_by_entry, entry)
        return granted

    def _reserve(self, entry, amount):
        expires_at = self._clock.monotonic() + CREDIT_LEASE_S
        self._grants.append(Grant(entry=entry, amount=amount, expires_at=expires_at))
        reserved = self._reserved_by_entry.get(entry, 0.0)
        self._reserved_by_entry[entry] = reserved + amount
        # A copy, because `use` lowers the amount of the grant in the table.
        return Grant(entry=entry, amount=amount, expires_at=expires_at)

    def _drop_expired(self):
        now = self._clock.monotonic()
        while self._grants and (
            self._grants[0].expires_at <= now or not self._grants[0].amount
        ):
            grant = self._grants.popleft()
            self._reduce_reserved(grant.entry, grant.amount)

    def _reduce_reserved(self, entry, amount):
        remaining = self._reserved_by_entry.get(entry, 0.0) - amount
        self._reserved_by_entry.pop(entry, None)
        if remaining > 0:
            self._reserved_by_entry[entry] = remaining


def _drop_if_empty(pending_by_entry, entry):
    if not pending_by_entry.get(entry, True):
        del pending_by_entry[entry]
