"""The part of a data centre's weight-store rate that one group may use."""

__all__ = ["rebalancing_rate"]


def rebalancing_rate(*, store_bytes_per_s, share, groups, cold_starts=0):
    """Return the rate in bytes a second at which a group may load experts.

    Parameters
    ----------
    store_bytes_per_s : float
        Rate of the weight store in the data centre.
    share : float
        Part of it that rebalancing may use at all; the rest is for model loads.
    groups : int
        Groups of the data centre, which share that part evenly.
    cold_starts : int
        Endpoints that load a model now; while there are any, rebalancing waits.

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
