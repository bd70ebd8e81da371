"""Decides which requests crash servers and are not sent any more.

Load pattern: the repetitions of one request, or requests whose prompts share one part,
crash each server that begins to run them, one server after the other, while all other
requests with the same path, caller or other parts are sound. A crash may take a whole
group of servers away, so that nothing is served between two crashes, and then all parts
of the prompts that crash servers have the same record.
"""

from magnoliagrade_entry.direct.serving.crash_suspects import BLOCK_S, Suspect
from magnoliagrade_entry.direct.serving.recent_counts import RecentCounts

__all__ = ["CrashGuard"]

# Time for which responses are remembered after a connection broke off: longer than it
# takes to find out whether the server crashed.
SERVED_LIFE_S = 10.0
# Limit on the groups that are suspected or remembered as served; the oldest are
# dropped.
MAX_GROUPS = 1000


class CrashGuard:
    """Counts the crashes of servers by the groups of requests that they ended under.

    Parameters
    ----------
    clock : Clock
        Source of time.

    Attributes
    ----------
    published : set of str
        Keys of the groups that any entry has blocked, as the store lists them.
    """

    __slots__ = (
        "_arrivals",
        "_blocked_until_by_key",
        "_clock",
        "_served",
        "_served_at_by_key",
        "_suspect_by_key",
        "_watched_until",
        "published",
    )

    def __init__(self, *, clock):
        self._clock = clock
        self._arrivals = RecentCounts(clock=clock)
        self._blocked_until_by_key = {}
        self._served = RecentCounts(clock=clock)
        self._served_at_by_key = {}
        self._suspect_by_key = {}
        self._watched_until = float("-inf")
        self.published = set()

    @property
    def has_blocks(self):
        """Whether any request may be blocked."""
        return bool(self._blocked_until_by_key or self.published)

    @property
    def is_idle(self):
        """Whether responses need not be recorded."""
        is_watching = self._clock.monotonic() < self._watched_until
        return not (is_watching or self._suspect_by_key or self.has_blocks)

    def expect_crash(self):
        """Remember from now on what is served: a server may have crashed."""
        self._watched_until = self._clock.monotonic() + SERVED_LIFE_S

    def record_arrival(self, parts):
        """Count a request that has arrived by the parts of its prompt.

        Parameters
        ----------
        parts : iterable of str
            Ids of the parts that other requests may share.

        Notes
        -----
        Of two parts with the same crashes, the one that fewer complete responses had
        explains them, or else the one that fewer requests have: the other one is also
        part of requests that crash no server.
        """
        self._arrivals.record(parts)

    def record_response(self, parts):
        """Count a complete response by the parts of the prompt, as `record_arrival`."""
        self._served.record(parts)

    def record_crashes(self, crashes):
        """Record that a server crashed while it ran requests.

        Parameters
        ----------
        crashes : list of ServerCrash
            Attempts that ended by the crash.

        Returns
        -------
        blocked : list of str
            Keys of the groups that are blocked from now on, or for longer than before.
        """
        now = self._clock.monotonic()
        suspect_by_key = {}
        for crash in crashes:
            for key, group in crash.traits.groups().items():
                if self._served_at_by_key.get(key, float("-inf")) > crash.began_at:
                    continue
                suspect = self._suspect_by_key.get(key)
                if suspect is None:
                    suspect = self._suspect_by_key[key] = Suspect(group=group)
                if suspect.add(crash):
                    suspect_by_key[key] = suspect
        blocked = []
        # A group that is blocked may explain crashes to those that follow it.
        for key in sorted(suspect_by_key, key=self._blocking_order):
            suspect = suspect_by_key[key]
            in_force = self._in_force()
            block_s = self._block_s(suspect, in_force)
            current_s = suspect.blocked_s if key in in_force else 0.0
            if block_s > current_s:
                suspect.blocked_s = block_s
                self._blocked_until_by_key[key] = now + block_s
                blocked.append(key)
        self._drop_old_crashes(now)
        return blocked

    def lift_explained(self, keys):
        """Lift the blocks that another group turned out to explain; return their keys.

        Parameters
        ----------
        keys : iterable of str
            Keys of blocked groups.
        """
        lifted = [key for key in keys if not self.remaining_s(key)]
        for key in lifted:
            self._blocked_until_by_key.pop(key, None)
            self.published.discard(key)
        return lifted

    def record_served(self, traits):
        """Record a complete response; return whether it clears a group of suspicion."""
        now = self._clock.monotonic()
        is_cleared = False
        for key in traits.groups():
            self._served_at_by_key.pop(key, None)
            self._served_at_by_key[key] = now
            is_cleared |= self._suspect_by_key.pop(key, None) is not None
            self._blocked_until_by_key.pop(key, None)
            self.published.discard(key)
        self._drop_old_responses(now)
        return is_cleared

    def blocked_for_s(self, traits):
        """Return for how many seconds a request is still blocked; 0 if it is not."""
        return max(self.remaining_s(key) for key in traits.groups())

    def remaining_s(self, key):
        """Return for how many seconds a group is still blocked; 0 if it is not."""
        remaining_s = self._until_end_s(key)
        if not remaining_s or key not in self._suspect_by_key:
            return remaining_s
        return remaining_s if key in self._in_force() else 0.0

    def is_suspected(self, traits):
        """Return whether a server has crashed under a request of the same groups."""
        return any(key in self._suspect_by_key for key in traits.groups())

    def crashes(self):
        """Return the crashes that count."""
        return {
            crash
            for suspect in self._suspect_by_key.values()
            for crash in suspect.crashes
        }

    def _until_end_s(self, key):
        if key in self._blocked_until_by_key:
            return max(0.0, self._blocked_until_by_key[key] - self._clock.monotonic())
        return BLOCK_S if key in self.published else 0.0

    def _in_force(self):
        """Return the blocked suspects by key, without those that others explain."""
        keys = {*self._blocked_until_by_key, *self.published}
        blocked = [
            key
            for key in keys.intersection(self._suspect_by_key)
            if self._until_end_s(key)
        ]
        in_force = {}
        for key in sorted(blocked, key=self._blocking_order):
            suspect = self._suspect_by_key[key]
            # Another entry that has blocked it may know of more crashes.
            is_unexplained = not suspect.block_s()
            if is_unexplained or self._block_s(suspect, in_force):
                in_force[key] = suspect
        return in_force

    def _blocking_order(self, key):
        """Return the sort key by which parts come first, those least used by others."""
        part = self._suspect_by_key[key].group.part
        return not part, self._use(part), key

    def _use(self, part):
        """Return how much a part of prompts is used by requests that crash nothing."""
        return self._served.count(part), self._arrivals.count(part)

    def _block_s(self, suspect, in_force):
        """Return for how long a group is to be blocked, in seconds; 0 for not."""
        return suspect.block_s(
            explaining=[
                other
                for other in in_force.values()
                if self._may_explain(other, suspect)
            ]
        )

    def _may_explain(self, other, suspect):
        """Return whether a blocked group may account for the crashes of another."""
        part = other.group.part
        if not part or part == suspect.group.part:
            return False
        if suspect.group.part:
            return self._use(part) < self._use(suspect.group.part)
        # A repeated request may only have been in flight at the same servers.
        is_apart = suspect.always_lacks(part)
        return is_apart and other.count_events() > suspect.count_events()

    def _drop_old_crashes(self, now):
        for key, suspect in list(self._suspect_by_key.items()):
            is_old = suspect.crashes[-1].crashed_at < now - BLOCK_S
            if is_old or len(self._suspect_by_key) > MAX_GROUPS:
                del self._suspect_by_key[key]
        for key, until in list(self._blocked_until_by_key.items()):
            if until <= now:
                del self._blocked_until_by_key[key]

    def _drop_old_responses(self, now):
        for key, served_at in list(self._served_at_by_key.items()):
            is_old = served_at < now - SERVED_LIFE_S
            if not is_old and len(self._served_at_by_key) <= MAX_GROUPS:
                break
            del self._served_at_by_key[key]
