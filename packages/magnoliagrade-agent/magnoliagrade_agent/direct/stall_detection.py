"""Detects that a group has work and begins no pass.

Load pattern: a coordinator stops after it has held a pass. All ranks wait, and callers
of streams disconnect after two seconds without an event.
"""

from magnoliagrade_agent.direct.switching import is_next_pass_held

__all__ = ["RECOVERY_CANDIDATES", "StallDetector", "is_recovery_candidate"]

# Number of ranks after rank 0 whose agents release a pass that the coordinator has held
# and not released. They act before the coordinator is replaced, because callers of
# streams disconnect after two seconds without an event.
RECOVERY_CANDIDATES = 2
# Stall after which the agent whose rank holds the next pass recovers the group. Its
# rank's status shows the hold, and a running coordinator releases a held pass within
# about 50 ms.
HELD_PASS_TIMEOUT_S = 0.25
# Stall after which the agent of rank 1 recovers the group if its rank does not hold the
# next pass, so that only the lack of progress shows; the agent of rank 2 waits twice as
# long.
STALL_TIMEOUT_PER_RANK_S = 1.0
# Shortest stall, in passes of recent length, after which an agent recovers the group if
# its rank does not hold the next pass. Passes are long while a rank is slow.
STALL_TIMEOUT_PASSES = 4


class StallDetector:
    """Follows the passes of a group by the status of one rank.

    Parameters
    ----------
    clock : Clock
        Source of time.
    """

    __slots__ = ("_clock", "_progress", "_progress_at", "_recent_pass_s")

    def __init__(self, *, clock):
        self._clock = clock
        self._progress = None
        self._progress_at = 0.0
        self._recent_pass_s = 0.0

    def is_stalled(self, status):
        """Return whether the group has work and has begun no pass for too long.

        Only a recovery candidate finds a group stalled.
        """
        now = self._clock.monotonic()
        progress = (status.epoch, status.step)
        if progress != self._progress or not status.running or not status.is_open:
            self._record_progress(progress, now)
            return False
        if not is_recovery_candidate(status):
            return False
        stalled_s = now - self._progress_at
        if is_next_pass_held(status):
            return stalled_s > HELD_PASS_TIMEOUT_S
        min_stall_s = STALL_TIMEOUT_PASSES * self._recent_pass_s
        return stalled_s > max(STALL_TIMEOUT_PER_RANK_S * status.rank, min_stall_s)

    def _record_progress(self, progress, now):
        if self._progress and self._progress[0] == progress[0]:
            passes = progress[1] - self._progress[1]
            if passes > 0:
                self._recent_pass_s = (now - self._progress_at) / passes
        self._progress = progress
        self._progress_at = now


def is_recovery_candidate(status):
    """Return whether the agent of a rank may release a pass of another's."""
    return status.is_open and 0 < status.rank <= RECOVERY_CANDIDATES
