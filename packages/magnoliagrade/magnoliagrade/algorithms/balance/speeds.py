"""Speeds of ranks, told apart from the load of their experts."""

import numpy as np

__all__ = ["SpeedEstimator"]

SLOW_BELOW = 0.93


class SpeedEstimator:
    """Estimate of each rank's speed against the median rank.

    Parameters
    ----------
    ranks : int
        Number of ranks.
    weight : float
        Weight of a new sample, between 0 and 1.

    Notes
    -----
    A rank that takes long because its experts are hot has a normal time per token;
    a slow accelerator takes longer for each token. Ranks near the median count as
    equally fast, so that noise moves no experts.
    """

    __slots__ = ("_cost_by_rank", "_weight")

    def __init__(self, *, ranks, weight=0.2):
        self._cost_by_rank = np.zeros(ranks)
        self._weight = weight

    def add(self, rank, *, seconds, load):
        """Add a sample of a rank's work.

        Parameters
        ----------
        rank : int
            Rank.
        seconds : float
            Time that it worked, without waiting for others.
        load : float
            Tokens that its experts got.
        """
        if load <= 0 or seconds <= 0:
            return
        cost = seconds / load
        last = self._cost_by_rank[rank] or cost
        self._cost_by_rank[rank] = last + self._weight * (cost - last)

    def speeds(self):
        """Return the speed of each rank; 1 for all but slow ones.

        Examples
        --------
        >>> speeds = SpeedEstimator(ranks=3)
        >>> for rank, seconds in enumerate((1.0, 1.0, 2.0)):
        ...     speeds.add(rank, seconds=seconds, load=10.0)
        >>> [float(s) for s in speeds.speeds()]
        [1.0, 1.0, 0.5]
        """
        cost = self._cost_by_rank
        known = cost > 0
        result = np.ones(len(cost))
        if known.any():
            result[known] = np.median(cost[known]) / cost[known]
        result[result > SLOW_BELOW] = 1.0
        return result
