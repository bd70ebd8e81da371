"""Decayed token counts per layer and expert, from reports that may be late or lost."""

import numpy as np

__all__ = ["ExpertCounter"]


class ExpertCounter:
    """Estimates the rate of tokens that each expert receives.

    Parameters
    ----------
    layers : int
        Number of layers with experts.
    experts : int
        Number of experts in each layer.
    half_life_s : float
        Age in seconds at which the weight of a report has halved.

    Notes
    -----
    The tokens decay together with the time over which they were counted, so a lost
    report does not lower the estimate. Sequence numbers ensure that no report is
    counted twice: one that is not newer than the last from its rank is ignored.
    """

    __slots__ = ("_at", "_half_life_s", "_sequence_by_rank", "_tokens", "_weight_s")

    def __init__(self, *, layers, experts, half_life_s):
        self._half_life_s = half_life_s
        self._tokens = np.zeros((layers, experts))
        self._weight_s = 0.0
        self._at = 0.0
        self._sequence_by_rank = {}

    @property
    def has_counts(self):
        """Whether any report has been counted."""
        return self._weight_s > 0

    def add(self, counts, *, rank, sequence, interval_s, now):
        """Add the tokens that one rank counted in an interval.

        Parameters
        ----------
        counts : ndarray of shape (layers, experts)
            Tokens that the rank sent to each expert.
        rank : int
            Rank that counted.
        sequence : int
            Sequence number of the rank's report, from 1.
        interval_s : float
            Length of the interval in seconds.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        is_counted : bool
            False for a report that is not newer than the last from this rank.
        """
        if sequence <= self._sequence_by_rank.get(rank, 0):
            return False
        self._sequence_by_rank[rank] = sequence
        self._decay(now)
        self._tokens += counts
        self._weight_s += interval_s
        return True

    def rates(self):
        """Return the mean tokens per second that a rank counts, by layer and expert.

        Returns
        -------
        rates : ndarray of shape (layers, experts)
            All equal to 1 before the first report.
        """
        if not self.has_counts:
            return np.ones_like(self._tokens)
        return self._tokens / self._weight_s

    def _decay(self, now):
        factor = 0.5 ** (max(0.0, now - self._at) / self._half_life_s)
        self._tokens *= factor
        self._weight_s *= factor
        self._at = max(self._at, now)
