"""Throughput of a data centre's weight store that one group may use."""

__all__ = ["rebalancing_rate"]


def rebalancing_rate(*, store_bytes_per_s, share, groups, cold_starts=0):
    """Return the rate in bytes per second at which a group may load experts.

    Parameters
    ----------
    store_bytes_per_s : float
        Throughput of the data centre's weight store, in bytes per second.
    share : float
        Fraction of that throughput, from 0 to 1, that rebalancing may use; the rest
        is for model loads.
    groups : int
        Number of groups in the data centre, which share that fraction evenly.
    cold_starts : int
        Number of endpoints that are loading a model. If there are any, rebalancing
        may not load experts.

    Returns
    -------
    rate : float
        Rate in bytes per second; 0 during cold starts.

    Examples
    --------
    >>> rebalancing_rate(store_bytes_per_s=8e9, share=0.25, groups=4)
    500000000.0
    >>> rebalancing_rate(store_bytes_per_s=8e9, share=0.25, groups=4, cold_starts=1)
    0.0
    """
    if cold_starts:
        return 0.0
    return store_bytes_per_s * share / max(1, groups)
