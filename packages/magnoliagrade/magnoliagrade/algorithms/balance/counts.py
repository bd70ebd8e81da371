"""Decayed token counts per layer and expert from reports with lags and gaps."""

import numpy as np

__all__ = ["ExpertCounter"]


class ExpertCounter:
    """Estimate of the tokens that each expert gets.

    Parameters
    ----------
    layers : int
        Layers with experts.
    experts : int
        Experts in each layer.
    half_life_s : float
        Age in seconds at which a report weighs half.

    Notes
    -----
    Both the tokens and the time that they were counted over decay. A report that
    is lost therefore takes nothing off the estimate, and one that comes twice or
    late, by its sequence number, is counted once.
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
        """Whether any report has come."""
        return self._weight_s > 0

    def add(self, counts, *, rank, sequence, interval_s, now):
        """Add one rank's counts of an interval.

        Parameters
        ----------
        counts : ndarray of shape (layers, experts)
            Tokens that the rank sent to each expert.
        rank : int
            Who counted.
        sequence : int
            Number of the report, from 1.
        interval_s : float
            Seconds that were counted.
        now : float
            Monotonic time in seconds.

        Returns
        -------
        taken : bool
            False for a report that is no newer than one before it.
        """
        if sequence <= self._sequence_by_rank.get(rank, 0):
            return False
        self._sequence_by_rank[rank] = sequence
        self._decay(now)
        self._tokens += counts
        self._weight_s += interval_s
        return True

    def rates(self):
        """Return tokens a second by layer and expert, as one rank counts them.

        Returns
        -------
        rates : ndarray of shape (layers, experts)
            All equal to one before the first report.
        """
        if not self.has_counts:
            return np.ones_like(self._tokens)
        return self._tokens / self._weight_s

    def _decay(self, now):
        factor = 0.5 ** (max(0.0, now - self._at) / self._half_life_s)
        self._tokens *= factor
        self._weight_s *= factor
        self._at = max(self._at, now)
