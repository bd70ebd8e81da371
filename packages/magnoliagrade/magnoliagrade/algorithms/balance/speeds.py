"""Relative speeds of ranks, independent of the load of their experts."""

import numpy as np

__all__ = ["SpeedEstimator"]

# Ranks above this speed count as normal, so that noise moves no experts.
SLOW_RANK_MAX_SPEED = 0.93


class SpeedEstimator:
    """Estimates the speed of each rank relative to the median rank.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    weight : float
        Weight of a new sample in the moving average, between 0 and 1.

    Notes
    -----
    The estimate uses the time per token. It is normal on a rank that takes long only
    because its experts receive many tokens, and higher on a slow accelerator. Ranks
    near the median count as equally fast, so that noise moves no experts.
    """

    __slots__ = ("_s_per_token_by_rank", "_weight")

    def __init__(self, *, ranks, weight=0.2):
        self._s_per_token_by_rank = np.zeros(ranks)
        self._weight = weight

    def add(self, rank, *, seconds, load):
        """Add a sample of a rank's time per token; ignored without time or tokens.

        Parameters
        ----------
        rank : int
            Number of the rank.
        seconds : float
            Time in seconds that the rank worked, without waiting for other ranks.
        load : float
            Tokens that its experts processed.
        """
        if load <= 0 or seconds <= 0:
            return
        s_per_token = seconds / load
        previous = self._s_per_token_by_rank[rank] or s_per_token
        self._s_per_token_by_rank[rank] = previous + self._weight * (
            s_per_token - previous
        )

    def speeds(self):
        """Return the speed of each rank; 1 for all but slow ranks.

        Examples
        --------
        >>> speeds = SpeedEstimator(ranks=3)
        >>> for rank, seconds in enumerate((1.0, 1.0, 2.0)):
        ...     speeds.add(rank, seconds=seconds, load=10.0)
        >>> [float(s) for s in speeds.speeds()]
        [1.0, 1.0, 0.5]
        """
        s_per_token = self._s_per_token_by_rank
        is_known = s_per_token > 0
        result = np.ones(len(s_per_token))
        if is_known.any():
            result[is_known] = np.median(s_per_token[is_known]) / s_per_token[is_known]
        result[result > SLOW_RANK_MAX_SPEED] = 1.0
        return result
