"""Recent changes of the store that an entry can pass on to others."""

from collections import deque

__all__ = ["ChangeLog"]

# Number of changes that are kept. An entry that is further behind reads the store.
MAX_CHANGES = 500


class ChangeLog:
    """Contiguous changes of the store up to a position.

    Examples
    --------
    >>> from magnoliagrade.platform import StoreEvent, StorePosition
    >>> log = ChangeLog()
    >>> log.restart(StorePosition(1, 7))
    >>> log.extend([StoreEvent(key="a", value=b"", revision=9)], StorePosition(1, 9))
    >>> [event.key for event in log.after(StorePosition(1, 8))]
    ['a']
    >>> log.after(StorePosition(1, 6)) is None
    True
    """

    __slots__ = ("_events", "_first_revision", "position")

    def __init__(self):
        self._events = deque()
        self._first_revision = 0
        self.position = None

    def restart(self, position):
        """Discard all changes; those after a `StorePosition` follow."""
        self._events.clear()
        self._first_revision = position.revision
        self.position = position

    def extend(self, events, position):
        """Append the changes up to a `StorePosition` in the same era."""
        self._events.extend(events)
        self.position = position
        while len(self._events) > MAX_CHANGES:
            self._first_revision = self._events.popleft().revision

    def is_behind(self, position):
        """Return whether a `StorePosition` of this era is after the last change."""
        if self.position is None or position.era != self.position.era:
            return False
        return position.revision > self.position.revision

    def after(self, position):
        """Return the changes after a `StorePosition`; None if they are not known."""
        if self.position is None or position.era != self.position.era:
            return None
        if not self._first_revision <= position.revision <= self.position.revision:
            return None
        return [event for event in self._events if event.revision > position.revision]
