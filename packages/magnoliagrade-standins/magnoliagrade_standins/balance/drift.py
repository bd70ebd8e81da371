"""Popularity of experts that drifts through the day, jumps, differs by layer."""

import numpy as np

__all__ = ["DriftingPopularity"]

DAY_S = 86400.0


class DriftingPopularity:
    """Part of the tokens that each expert of each layer gets over a day.

    Parameters
    ----------
    layers, experts : int
        Sizes.
    rng : numpy.random.Generator
        Source of chance.
    spread : float
        Standard deviation of the logarithm of popularity.
    jumps : int
        Times of the day at which a tenth of the experts changes places.
    """

    __slots__ = ("_base", "_jumps", "_phase", "_spread", "_swing")

    def __init__(self, *, layers, experts, rng, spread=0.6, jumps=8):
        shape = (layers, experts)
        self._spread = spread
        self._base = rng.normal(size=shape)
        self._swing = rng.normal(size=shape)
        self._phase = rng.uniform(0, 2 * np.pi, size=shape)
        times = np.sort(rng.uniform(0, DAY_S, size=jumps))
        self._jumps = [(at, _exchange(rng, experts)) for at in times]

    def shares_at(self, seconds):
        """Return the popularity at a time of the day.

        Parameters
        ----------
        seconds : float
            Seconds since midnight.

        Returns
        -------
        popularity : ndarray of shape (layers, experts)
            Rows sum to one.
        """
        angle = 2 * np.pi * seconds / DAY_S + self._phase
        level = self._base + self._swing * np.sin(angle)
        for at, order in self._jumps:
            if seconds >= at:
                level = level[:, order]
        weights = np.exp(self._spread * level)
        return weights / weights.sum(axis=1, keepdims=True)


def _exchange(rng, experts):
    chosen = rng.choice(experts, size=max(2, experts // 10), replace=False)
    order = np.arange(experts)
    order[chosen] = np.roll(chosen, 1)
    return order
