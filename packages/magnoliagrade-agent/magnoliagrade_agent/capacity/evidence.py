"""The limit that grows on evidence and shrinks when latency departs."""

from magnoliagrade_agent.capacity.limits import limit_policies

__all__ = ["EvidenceLimit", "LatencyTrend"]

TOKENS_PER_UNIT = 1.5
MIN_GROWTH_SCALE = 0.125
GROWTH_RATIO = 1.6
SHRINK_RATIO = 2.5
SHRINK_FACTOR = 0.7
SHRINK_PAUSE_S = 1.0
COLD_RATIO = 8.0
COLD_SAMPLES = 3
COLD_FLOOR_S = 0.05
TOKENS_OPTION = "option.limit.tokens_to_full"


class LatencyTrend:
    """Recent latency against its own long trend.

    Parameters
    ----------
    samples_needed : int
        Samples before the trend is trusted.

    Notes
    -----
    Two exponential means. Samples enter the long one capped at twice its value,
    so that a short stall does not become the norm.

    Examples
    --------
    >>> trend = LatencyTrend(samples_needed=2)
    >>> for _ in range(10):
    ...     trend.add(0.1)
    >>> trend.ratio
    1.0
    >>> trend.add(0.5)
    >>> trend.ratio > 1.5
    True
    """

    __slots__ = ("_count", "_fast", "_samples_needed", "_slow")

    def __init__(self, *, samples_needed=20):
        self._samples_needed = samples_needed
        self._count = 0
        self._fast = 0.0
        self._slow = 0.0

    def add(self, sample):
        """Add a latency in seconds."""
        self._count += 1
        if self._count == 1:
            self._fast = self._slow = sample
            return
        self._fast += 0.2 * (sample - self._fast)
        weight = max(0.02, 1.0 / self._count)
        self._slow += weight * (min(sample, 2 * self._slow) - self._slow)

    def is_far_off(self, sample):
        """Return whether one sample is out of all proportion to the trend."""
        if self._count < self._samples_needed:
            return False
        return sample > max(COLD_FLOOR_S, COLD_RATIO * self._slow)

    def forget_recent(self):
        """Start the recent mean anew from the long one."""
        self._fast = self._slow

    @property
    def ratio(self):
        """Return recent over long mean; 1 while there are few samples."""
        if self._count < self._samples_needed or not self._slow:
            return 1.0
        return round(self._fast / self._slow, 6)


@limit_policies.register("evidence")
class EvidenceLimit:
    """Limit that starts cold and grows with tokens generated at healthy latency.

    Notes
    -----
    Growth is linear in the tokens that an endpoint has generated while its limit
    was in use: `tokens_to_full` of them lead from the cold to the full limit. A
    pool sets it by `option.limit.tokens_to_full`; by default it is 1.5 times the
    distance between the two. An endpoint that turns cold above its cold limit may
    have been given too much: it grows half as fast afterwards, down to an eighth,
    and twice as fast again each time it has reached the full limit. Latency per
    token beyond 2.5 times its own trend shrinks the limit by a factor of 0.7, once
    a second at most; a first token
    eight times off its trend three times in a row means a cold endpoint.
    """

    __slots__ = (
        "_far_off",
        "_first_byte",
        "_full_limit",
        "_growth",
        "_growth_scale",
        "_shrunk_at",
        "_token",
        "cold_limit",
        "limit",
    )

    def __init__(self):
        self.cold_limit = 1.0
        self.limit = 1.0
        self._full_limit = 1.0
        self._growth = 1.0 / TOKENS_PER_UNIT
        self._growth_scale = 1.0
        self._first_byte = LatencyTrend()
        self._token = LatencyTrend()
        self._far_off = 0
        self._shrunk_at = float("-inf")

    def configure(self, *, cold_limit, full_limit, options):
        """Take the bounds and the rate of growth of the endpoint's pool."""
        is_first = self._full_limit == 1.0
        self.cold_limit = float(cold_limit)
        self._full_limit = float(max(cold_limit, full_limit))
        distance = self._full_limit - self.cold_limit
        self._growth = distance / max(1.0, _tokens_to_full(options, distance))
        limit = self.cold_limit if is_first else self.limit
        self.limit = min(self._full_limit, max(self.cold_limit, limit))

    def on_cold(self):
        """Drop to the cold limit at once."""
        if self.limit > self.cold_limit:
            self._growth_scale = max(MIN_GROWTH_SCALE, 0.5 * self._growth_scale)
        self.limit = self.cold_limit
        self._far_off = 0
        self._first_byte.forget_recent()
        self._token.forget_recent()

    def on_completion(self, completion):
        """Grow, shrink or stay; return why the limit changed, or nothing."""
        if self._is_cold_again(completion.first_byte_s):
            self.on_cold()
            return "first-token-far-off"
        if completion.first_byte_s:
            self._first_byte.add(completion.first_byte_s)
        self._token.add(completion.token_s)
        ratio = self._token.ratio
        if ratio > SHRINK_RATIO:
            return self._shrink(completion.at)
        if completion.was_in_use and ratio <= GROWTH_RATIO:
            return self._grow(completion.tokens)
        return ""

    def _is_cold_again(self, first_byte_s):
        is_far_off = self._first_byte.is_far_off(first_byte_s)
        self._far_off = self._far_off + 1 if is_far_off else 0
        return self._far_off >= COLD_SAMPLES

    def _grow(self, tokens):
        if self.limit >= self._full_limit:
            return ""
        growth = self._growth * self._growth_scale
        self.limit = min(self._full_limit, self.limit + growth * tokens)
        if self.limit == self._full_limit:
            self._growth_scale = min(1.0, 2 * self._growth_scale)
        return "evidence"

    def _shrink(self, at):
        if at - self._shrunk_at < SHRINK_PAUSE_S or self.limit <= self.cold_limit:
            return ""
        self._shrunk_at = at
        self.limit = max(self.cold_limit, SHRINK_FACTOR * self.limit)
        return "latency"


def _tokens_to_full(options, distance):
    try:
        return float(options[TOKENS_OPTION])
    except (KeyError, ValueError):
        return TOKENS_PER_UNIT * distance
