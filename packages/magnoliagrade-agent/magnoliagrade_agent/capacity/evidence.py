"""Adaptive limit: grows with tokens generated, shrinks when latency rises."""

from magnoliagrade_agent.capacity.limits import limit_policies

__all__ = ["EvidenceLimit", "LatencyTrend"]

# Generated tokens that raise the limit by 1, if the pool does not set the option.
DEFAULT_TOKENS_PER_LIMIT_UNIT = 1.5
# Lower bound of the factor of growth, which halves when the endpoint turns cold above
# its cold limit.
MIN_GROWTH_SCALE = 0.125
# The limit grows only while recent latency per token is at most this multiple of its
# long-term mean.
MAX_GROWTH_LATENCY_RATIO = 1.6
# The limit shrinks while recent latency per token is above this multiple of its
# long-term mean.
SHRINK_LATENCY_RATIO = 2.5
# The limit is multiplied by this factor when it shrinks.
SHRINK_FACTOR = 0.7
MIN_SHRINK_INTERVAL_S = 1.0
# A latency above this multiple of the long-term mean is an outlier.
OUTLIER_LATENCY_RATIO = 8.0
# Consecutive outliers of the time to the first byte after which the endpoint counts as
# cold.
COLD_OUTLIER_COUNT = 3
# Shorter latencies are never outliers, however short the mean is.
MIN_OUTLIER_LATENCY_S = 0.05
TOKENS_TO_FULL_OPTION = "option.limit.tokens_to_full"


class LatencyTrend:
    """Recent mean latency relative to its long-term mean.

    Parameters
    ----------
    samples_needed : int
        Samples before the trend is used.

    Notes
    -----
    Keeps two exponential moving averages: the recent one gives each sample the weight
    0.2, the long-term one 0.02 (more for its first 50 samples). A sample enters the
    long-term one capped at twice its current value, so that a short stall does not
    become the norm.

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

    __slots__ = ("_count", "_long_mean_s", "_recent_mean_s", "_samples_needed")

    def __init__(self, *, samples_needed=20):
        self._samples_needed = samples_needed
        self._count = 0
        self._recent_mean_s = 0.0
        self._long_mean_s = 0.0

    def add(self, latency_s):
        """Add a latency in seconds."""
        self._count += 1
        if self._count == 1:
            self._recent_mean_s = self._long_mean_s = latency_s
            return
        self._recent_mean_s += 0.2 * (latency_s - self._recent_mean_s)
        weight = max(0.02, 1.0 / self._count)
        self._long_mean_s += weight * (
            min(latency_s, 2 * self._long_mean_s) - self._long_mean_s
        )

    def is_outlier(self, latency_s):
        """Return whether a latency is more than 8 times the long-term mean.

        Always False for latencies up to 50 ms and before there are enough samples.
        """
        if self._count < self._samples_needed:
            return False
        return latency_s > max(
            MIN_OUTLIER_LATENCY_S, OUTLIER_LATENCY_RATIO * self._long_mean_s
        )

    def reset_recent(self):
        """Set the recent mean to the long-term mean."""
        self._recent_mean_s = self._long_mean_s

    @property
    def ratio(self):
        """Return recent over long-term mean; 1 while there are too few samples."""
        if self._count < self._samples_needed or not self._long_mean_s:
            return 1.0
        return round(self._recent_mean_s / self._long_mean_s, 6)


@limit_policies.register("evidence")
class EvidenceLimit:
    """Limit that starts cold and grows with tokens generated at normal latency.

    Notes
    -----
    Growth is linear in the tokens that the endpoint generates while its limit is at
    least half used: `tokens_to_full` of them raise it from the cold to the full
    limit. A pool sets this number by `option.limit.tokens_to_full`; the default is
    1.5 times the distance between the two limits.

    An endpoint that turns cold above its cold limit may have been overloaded.
    Growth is then half as fast, down to an eighth, and doubles again each time the
    limit reaches the full one.

    Latency per token above 2.5 times its long-term mean shrinks the limit by a
    factor of 0.7, at most once a second. Three times to the first byte in a row that
    each exceed eight times their long-term mean show that the endpoint is cold; the
    reason is then `first-token-far-off`.
    """

    __slots__ = (
        "_first_byte_trend",
        "_full_limit",
        "_growth_per_token",
        "_growth_scale",
        "_outlier_count",
        "_shrunk_at",
        "_token_trend",
        "cold_limit",
        "limit",
    )

    def __init__(self):
        self.cold_limit = 1.0
        self.limit = 1.0
        self._full_limit = 1.0
        self._growth_per_token = 1.0 / DEFAULT_TOKENS_PER_LIMIT_UNIT
        self._growth_scale = 1.0
        self._first_byte_trend = LatencyTrend()
        self._token_trend = LatencyTrend()
        self._outlier_count = 0
        self._shrunk_at = float("-inf")

    def configure(self, *, cold_limit, full_limit, options):
        """Set the bounds and the growth rate from the endpoint's pool.

        The current limit is kept within the new bounds; the first call sets it to
        the cold limit.
        """
        is_first = self._full_limit == 1.0
        self.cold_limit = float(cold_limit)
        self._full_limit = float(max(cold_limit, full_limit))
        distance = self._full_limit - self.cold_limit
        self._growth_per_token = distance / max(1.0, _tokens_to_full(options, distance))
        limit = self.cold_limit if is_first else self.limit
        self.limit = min(self._full_limit, max(self.cold_limit, limit))

    def on_cold(self):
        """Reset the limit to the cold limit and slow down its next growth."""
        if self.limit > self.cold_limit:
            self._growth_scale = max(MIN_GROWTH_SCALE, 0.5 * self._growth_scale)
        self.limit = self.cold_limit
        self._outlier_count = 0
        self._first_byte_trend.reset_recent()
        self._token_trend.reset_recent()

    def on_completion(self, completion):
        """Update the limit from a completed request.

        Returns
        -------
        reason : str
            Why the limit changed: `first-token-far-off`, `latency` or `evidence`;
            empty if it did not.
        """
        if self._is_cold_again(completion.first_byte_s):
            self.on_cold()
            return "first-token-far-off"
        if completion.first_byte_s:
            self._first_byte_trend.add(completion.first_byte_s)
        self._token_trend.add(completion.token_s)
        ratio = self._token_trend.ratio
        if ratio > SHRINK_LATENCY_RATIO:
            return self._shrink(completion.ended_at)
        if completion.was_in_use and ratio <= MAX_GROWTH_LATENCY_RATIO:
            return self._grow(completion.tokens)
        return ""

    def _is_cold_again(self, first_byte_s):
        is_outlier = self._first_byte_trend.is_outlier(first_byte_s)
        self._outlier_count = self._outlier_count + 1 if is_outlier else 0
        return self._outlier_count >= COLD_OUTLIER_COUNT

    def _grow(self, tokens):
        if self.limit >= self._full_limit:
            return ""
        growth_per_token = self._growth_per_token * self._growth_scale
        self.limit = min(self._full_limit, self.limit + growth_per_token * tokens)
        if self.limit == self._full_limit:
            self._growth_scale = min(1.0, 2 * self._growth_scale)
        return "evidence"

    def _shrink(self, at):
        if (
            at - self._shrunk_at < MIN_SHRINK_INTERVAL_S
            or self.limit <= self.cold_limit
        ):
            return ""
        self._shrunk_at = at
        self.limit = max(self.cold_limit, SHRINK_FACTOR * self.limit)
        return "latency"


def _tokens_to_full(options, distance):
    try:
        return float(options[TOKENS_TO_FULL_OPTION])
    except (KeyError, ValueError):
        return DEFAULT_TOKENS_PER_LIMIT_UNIT * distance
