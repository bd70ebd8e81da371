"""How many passes ahead a switch of the expert map is armed."""

import math

__all__ = ["lead_passes"]

# Time between the hold and the pass of the switch. Arming takes about 50 ms, so the
# pass is released before the group reaches it: a group that waits for a held pass makes
# all its streams late.
LEAD_TIME_S = 0.25
# Added to the lead time for each try that the slowest order of the same switch took, if
# one got no response: the time-out of an order, and the time to read its effect.
LEAD_TIME_PER_TRY_S = 0.1
# Shortest lead time, as a multiple of the time that reading the status of all ranks
# takes: arming them takes about as long as that, and the other calls some time more.
LEAD_TIME_READS = 3.0
# Shortest pass of a group: 5 decoding steps of 5.85 ms.
MIN_PASS_S = 0.03
# Two, because the pass that is under way may end at once.
MIN_LEAD_PASSES = 2


def lead_passes(pass_s, *, tries=1, read_s=0.0):
    """Return how many passes ahead a switch is armed.

    Parameters
    ----------
    pass_s : float
        Recent length of a pass in seconds; 0 if that is not known.
    tries : int
        Number of times that an order of this switch had to be sent, at most.
    read_s : float
        Time that reading the status of all ranks has just taken, in seconds.

    Notes
    -----
    Load pattern: one rank becomes several times slower, and passes take half a second.
    A switch that is armed many passes ahead would take place when the rank is no longer
    slow. In a large group the replies of all ranks take a fraction of a second of the
    coordinator's link; the group must not reach the held pass before they are in.

    Examples
    --------
    >>> lead_passes(0.06), lead_passes(0.6), lead_passes(0.0)
    (6, 2, 10)
    >>> lead_passes(0.09, read_s=0.2)
    8
    >>> lead_passes(0.09, tries=3)
    8
    """
    lead_s = LEAD_TIME_S + (LEAD_TIME_PER_TRY_S * tries if tries > 1 else 0.0)
    lead_s = max(lead_s, LEAD_TIME_READS * read_s)
    passes = math.ceil(lead_s / max(MIN_PASS_S, pass_s))
    return max(MIN_LEAD_PASSES, passes + 1)
