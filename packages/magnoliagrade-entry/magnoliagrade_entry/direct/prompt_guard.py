"""Decides which parts of prompts crash servers and are not sent any more.

Load pattern: requests whose prompts share one part crash each server that begins to
write a response to them, one server after the other, while all other requests with the
same key, route or other parts are sound.
"""

from dataclasses import dataclass, field

__all__ = ["PromptGuard"]

# Crashes at separate moments, without a complete response in between, after which a
# part is blocked. A sound request may be at its start at a server that crashes; that
# this meets the same part three times in a row is unlikely.
CRASHES_TO_BLOCK = 3
# Crashes within this time count as one: several servers may end at one moment for
# another reason, and entries see that up to a connection's delay apart.
SEPARATE_MOMENTS_S = 0.3
# Time for which a part is blocked, and for which a crash counts.
BLOCK_S = 600.0
# Limit on the number of suspected parts; the oldest ones are dropped.
MAX_SUSPECTS = 1000


@dataclass(slots=True, kw_only=True)
class _Suspect:
    """Separate moments at which servers ended under one part."""

    crashed_at: list = field(default_factory=list)
    endpoint_ids: list = field(default_factory=list)

    def add(self, endpoint_id, crashed_at):
        """Add a crash, unless it is known or at the moment of a known one."""
        if any(abs(crashed_at - time) < SEPARATE_MOMENTS_S for time in self.crashed_at):
            return
        self.crashed_at.append(crashed_at)
        self.endpoint_ids.append(endpoint_id)


class PromptGuard:
    """Counts the crashes of servers by the parts of the prompts that they ended under.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    published : set of str
        Parts that any entry has blocked, as the store lists them.
    """

    __slots__ = ("_blocked_until_by_part", "_clock", "_suspect_by_part", "published")

    def __init__(self, *, clock):
        self._clock = clock
        self._suspect_by_part = {}
        self._blocked_until_by_part = {}
        self.published = set()

    def record_crash(self, endpoint_id, parts, *, age_s=0.0):
        """Record that a server ended as it began to write a response.

        Parameters
        ----------
        endpoint_id : str
            Id of the server's incarnation.
        parts : iterable of str
            Shared parts of the prompt.
        age_s : float
            Time since the response broke off, in seconds.

        Returns
        -------
        blocked : list of str
            Parts that are blocked from now on.
        """
        now = self._clock.monotonic()
        blocked = []
        for part in parts:
            suspect = self._suspect_by_part.setdefault(part, _Suspect())
            suspect.add(endpoint_id, now - age_s)
            is_new = part not in self._blocked_until_by_part
            if is_new and len(suspect.crashed_at) >= CRASHES_TO_BLOCK:
                self._blocked_until_by_part[part] = now + BLOCK_S
                blocked.append(part)
        self._drop_old(now)
        return blocked

    def record_served(self, parts):
        """Record a complete response; return the parts that it clears of suspicion."""
        cleared = [part for part in parts if part in self._suspect_by_part]
        for part in cleared:
            del self._suspect_by_part[part]
            self._blocked_until_by_part.pop(part, None)
            self.published.discard(part)
        return cleared

    def blocked_for_s(self, parts):
        """Return for how many seconds one of the parts is still blocked; 0 for none."""
        now = self._clock.monotonic()
        times = [
            self._blocked_until_by_part.get(part, now + BLOCK_S) - now
            for part in parts
            if part in self._blocked_until_by_part or part in self.published
        ]
        return max(times, default=0.0)

    def is_suspected(self, parts):
        """Return whether a server has ended under one of the parts."""
        return any(part in self._suspect_by_part for part in parts)

    def evidence(self):
        """Return the server, the age in seconds and the part of each counted crash."""
        now = self._clock.monotonic()
        return [
            (endpoint_id, now - crashed_at, part)
            for part, suspect in self._suspect_by_part.items()
            for endpoint_id, crashed_at in zip(
                suspect.endpoint_ids, suspect.crashed_at, strict=True
            )
        ]

    def _drop_old(self, now):
        for part, suspect in list(self._suspect_by_part.items()):
            is_old = max(suspect.crashed_at) < now - BLOCK_S
            if is_old or len(self._suspect_by_part) > MAX_SUSPECTS:
                del self._suspect_by_part[part]
        for part, until in list(self._blocked_until_by_part.items()):
            if until <= now:
                del self._blocked_until_by_part[part]
