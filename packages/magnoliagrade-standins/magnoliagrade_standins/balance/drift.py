"""Simulated popularity of experts, which drifts and jumps during a day."""

import numpy as np

__all__ = ["DriftingPopularity"]

DAY_S = 86400.0


class DriftingPopularity:
    """Share of the tokens that each expert of each layer receives, over a day.

    The logarithm of each popularity follows a sine with a period of one day.

    Parameters
    ----------
    layers, experts : int
        Number of layers, and of experts in each.
    rng : numpy.random.Generator
        Random number generator.
    spread : float
        Factor of the logarithm of popularity: the standard deviation of its constant
        part and of its daily amplitude.
    jumps : int
        Number of random times of the day at which a tenth of the experts, but at
        least two, exchange their popularity.
    """

    __slots__ = ("_base", "_jumps", "_phase", "_spread", "_amplitude")

    def __init__(self, *, layers, experts, rng, spread=0.6, jumps=8):
        shape = (layers, experts)
        self._spread = spread
        self._base = rng.normal(size=shape)
        self._amplitude = rng.normal(size=shape)
        self._phase = rng.uniform(0, 2 * np.pi, size=shape)
        times = np.sort(rng.uniform(0, DAY_S, size=jumps))
        self._jumps = [(at, _exchange_order(rng, experts)) for at in times]

    def shares_at(self, seconds):
        """Return the share of tokens of each expert at a time of the day.

        Parameters
        ----------
        seconds : float
            Seconds since midnight.

        Returns
        -------
        popularity : ndarray of shape (layers, experts)
            Shares; each row sums to one.
        """
        angle = 2 * np.pi * seconds / DAY_S + self._phase
        level = self._base + self._amplitude * np.sin(angle)
        for at, order in self._jumps:
            if seconds >= at:
                level = level[:, order]
        weights = np.exp(self._spread * level)
        return weights / weights.sum(axis=1, keepdims=True)


def _exchange_order(rng, experts):
    chosen = rng.choice(experts, size=max(2, experts // 10), replace=False)
    order = np.arange(experts)
    order[chosen] = np.roll(chosen, 1)
    return order
