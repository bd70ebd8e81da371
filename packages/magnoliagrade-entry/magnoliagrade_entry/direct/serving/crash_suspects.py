"""Groups of requests under which servers crashed, and the crashes that count."""

from dataclasses import dataclass, field

from magnoliagrade_entry.direct.serving.request_traits import GroupKind

__all__ = ["BLOCK_S", "ServerCrash", "Suspect"]

# Crashes after which a group of requests is blocked. A sound request may be in flight
# at a server that crashes; that it meets three crashes, each with an attempt that began
# after the last one, and is never served in between, is unlikely.
CRASHES_TO_BLOCK = 3
# Crashes after which a group is blocked although a narrower one explains some of them,
# and how many of them the narrower one must leave unexplained.
CRASHES_TO_BLOCK_WIDER = 5
UNEXPLAINED_TO_BLOCK_WIDER = 2
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
# Limit on the attempts kept of each group, of which one crash may end several; the
# oldest are dropped.
MAX_CRASHES = 40


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

    def is_same_event(self, other):
        """Return whether an attempt ended by the same crash of the same server."""
        return (
            self.endpoint_id == other.endpoint_id
            and self.began_at < other.crashed_at
            and other.began_at < self.crashed_at
        )


@dataclass(slots=True, kw_only=True)
class Suspect:
    """Crashes under a group of requests.

    Parameters
    ----------
    group : RequestGroup
        The group.
    crashes : list of ServerCrash
        Attempts of its requests that ended by a crash.
    blocked_s : float
        Length of the last block, in seconds.
    """

    group: object
    crashes: list = field(default_factory=list)
    blocked_s: float = 0.0

    def add(self, crash):
        """Add a crash unless it is known; return whether it is new."""
        is_known = any(
            known.traits == crash.traits and known.is_same_event(crash)
            for known in self.crashes
        )
        if not is_known:
            self.crashes = [*self.crashes, crash][-MAX_CRASHES:]
        return not is_known

    def has_event(self, crash):
        """Return whether a request of the group was running at a server's crash."""
        return any(known.is_same_event(crash) for known in self.crashes)

    def always_lacks(self, part):
        """Return whether no request of the group that met a crash has a part."""
        return all(part not in crash.traits.parts for crash in self.crashes)

    def count_events(self):
        """Return the number of crashes that count."""
        return len(self.counted_crashes())

    def block_s(self, *, explaining=()):
        """Return for how long the crashes block the group, in seconds; 0 for not.

        Parameters
        ----------
        explaining : iterable of Suspect
            Blocked groups that may account for the crashes. The one that accounts for
            most of them counts: that several causes came together is less likely than
            that one did.
        """
        counted = self.counted_crashes()
        unexplained = min(
            (
                sum(not other.has_event(crash) for crash in counted)
                for other in explaining
            ),
            default=len(counted),
        )
        is_to_block = unexplained >= CRASHES_TO_BLOCK or (
            len(counted) >= CRASHES_TO_BLOCK_WIDER
            and unexplained >= UNEXPLAINED_TO_BLOCK_WIDER
        )
        if is_to_block and self._varies():
            return BLOCK_S
        is_same = self.group.kind is GroupKind.SAME_PROMPT
        if is_same and unexplained >= CRASHES_TO_BLOCK_BRIEFLY:
            return BRIEF_BLOCK_S
        return 0.0

    def counted_crashes(self):
        """Return one crash for each event that speaks against the group."""
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
        trait = VARYING_TRAIT_BY_KIND.get(self.group.kind)
        if trait is None:
            return True
        values = {getattr(crash.traits, trait) for crash in self.crashes}
        return len(values) >= VARIETY_TO_BLOCK
