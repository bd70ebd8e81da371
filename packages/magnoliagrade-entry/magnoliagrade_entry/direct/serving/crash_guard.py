"""Decides which requests crash servers and are not sent any more.

Load pattern: the repetitions of one request, or requests whose prompts share one part,
crash each server that begins to run them, one server after the other, while all other
requests with the same path, caller or other parts are sound.
"""

from dataclasses import dataclass, field

from magnoliagrade_entry.direct.serving.request_traits import GroupKind

__all__ = ["CrashGuard", "ServerCrash"]

# Crashes after which a group of requests is blocked. A sound request may be in flight
# at a server that crashes; that it meets three crashes, each with an attempt that began
# after the last one, and is never served in between, is unlikely.
CRASHES_TO_BLOCK = 3
# Crashes after which repetitions with the same prompt are blocked briefly. Each
# crash may take the whole group of the server out of service for seconds, while a wrong
# block affects this request alone.
CRASHES_TO_BLOCK_BRIEFLY = 2
# Different requests, or callers, among the crashes of requests with a part of a prompt
# in common, without which the requests, or their caller, are to blame and not the part.
VARIETY_TO_BLOCK = 2
# Trait that must differ among the crashes of a group, by the kind of the group.
VARYING_TRAIT_BY_KIND = {
    GroupKind.PART_OF_CALLER: "variant",
    GroupKind.PART: "caller",
}
# Time for which a group is blocked, and for which a crash counts.
BLOCK_S = 600.0
# Time for which repetitions are blocked after two crashes. Then one is sent again, to
# be served or to be blocked for longer.
BRIEF_BLOCK_S = 60.0
# Time for which responses are remembered after a connection broke off: longer than it
# takes to find out whether the server crashed.
SERVED_LIFE_S = 10.0
# Limits on the groups that are suspected or remembered as served, and on the crashes
# kept of each group; the oldest are dropped.
MAX_GROUPS = 1000
MAX_CRASHES = 10


@dataclass(slots=True, frozen=True, kw_only=True)
class ServerCrash:
    """A server that crashed while it ran a request.

    Parameters
    ----------
    endpoint_id : str
        Id of the server's incarnation.
    traits : RequestTraits
        Traits of the request.
    began_at, crashed_at : float
        Times at which the attempt began and broke off, in seconds.
    responded_at : float
        Time of the last sign that the service was running: of a response by any of its
        servers, of the server's first registration, or of the loss of the connection.
    """

    endpoint_id: str
    traits: object
    began_at: float
    crashed_at: float
    responded_at: float


@dataclass(slots=True, kw_only=True)
class _Suspect:
    """Crashes under a group of requests.

    `kind` is the `GroupKind`, and `blocked_s` the length of the last block, in seconds.
    """

    kind: GroupKind
    crashes: list = field(default_factory=list)
    blocked_s: float = 0.0

    def add(self, crash):
        """Add a crash unless it is known; return whether it is new."""
        is_known = any(
            known.endpoint_id == crash.endpoint_id
            and known.traits == crash.traits
            and known.began_at < crash.crashed_at
            and crash.began_at < known.crashed_at
            for known in self.crashes
        )
        if not is_known:
            self.crashes = [*self.crashes, crash][-MAX_CRASHES:]
        return not is_known

    def block_s(self):
        """Return for how long the crashes block the group, in seconds; 0 for not."""
        counted = self._counted_crashes()
        if len(counted) >= CRASHES_TO_BLOCK and self._varies():
            return BLOCK_S
        is_same = self.kind is GroupKind.SAME_PROMPT
        if is_same and len(counted) >= CRASHES_TO_BLOCK_BRIEFLY:
            return BRIEF_BLOCK_S
        return 0.0

    def _counted_crashes(self):
        # Servers that end at one moment may do so for another reason: only attempts
        # that began after the last crash count. All servers of a service may also fall
        # silent together, one attempt after the other without a response: it must have
        # shown that it runs since the last crash's attempt began.
        counted = []
        for crash in sorted(self.crashes, key=lambda crash: crash.crashed_at):
            if not counted or (
                crash.began_at >= counted[-1].crashed_at
                and crash.responded_at >= counted[-1].began_at
            ):
                counted.append(crash)
        return counted

    def _varies(self):
        trait = VARYING_TRAIT_BY_KIND.get(self.kind)
        if trait is None:
            return True
        values = {getattr(crash.traits, trait) for crash in self.crashes}
        return len(values) >= VARIETY_TO_BLOCK


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
        "_blocked_until_by_key",
        "_clock",
        "_served_at_by_key",
        "_suspect_by_key",
        "_watched_until",
        "published",
    )

    def __init__(self, *, clock):
        self._clock = clock
        self._blocked_until_by_key = {}
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

    def record_crash(self, crash):
        """Record that a server crashed while it ran a request.

        Parameters
        ----------
        crash : ServerCrash
            The crash.

        Returns
        -------
        blocked : list of str
            Keys of the groups that are blocked from now on, or for longer than before.
        """
        now = self._clock.monotonic()
        blocked = []
        for key, kind in crash.traits.groups().items():
            if self._served_at_by_key.get(key, float("-inf")) > crash.began_at:
                continue
            suspect = self._suspect_by_key.get(key)
            if suspect is None:
                suspect = self._suspect_by_key[key] = _Suspect(kind=kind)
            if not suspect.add(crash):
                continue
            block_s = suspect.block_s()
            current_s = suspect.blocked_s if self.remaining_s(key) else 0.0
            if block_s > current_s:
                suspect.blocked_s = block_s
                self._blocked_until_by_key[key] = now + block_s
                blocked.append(key)
        self._drop_old_crashes(now)
        return blocked

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
        if key in self._blocked_until_by_key:
            return max(0.0, self._blocked_until_by_key[key] - self._clock.monotonic())
        return BLOCK_S if key in self.published else 0.0

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
