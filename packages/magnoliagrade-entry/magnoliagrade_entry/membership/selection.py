"""Which instances an entry dials."""

from collections import defaultdict

from magnoliagrade.algorithms import rendezvous_order
from magnoliagrade.world import InstanceState, Role

__all__ = ["remote_link_count", "select_links"]

REMOTE_LINKS_IN_ALL = 4


def remote_link_count(data_centres):
    """Return how many entries of each other data centre an entry dials.

    Parameters
    ----------
    data_centres : int
        Number of other data centres.

    Returns
    -------
    count : int
        At least 1; few data centres get more links each, so that one dead peer
        does not hide a whole data centre.

    Examples
    --------
    >>> [remote_link_count(n) for n in (1, 2, 9)]
    [4, 2, 1]
    """
    return max(1, REMOTE_LINKS_IN_ALL // max(1, data_centres))


def select_links(instances, *, name, data_centre, unreachable=frozenset()):
    """Return the instances that an entry dials.

    Parameters
    ----------
    instances : iterable of Instance
        Instances that are known.
    name : str
        Name of this entry.
    data_centre : str
        Its data centre.
    unreachable : set of str
        Names of remote entries that did not answer lately; others are preferred.

    Returns
    -------
    chosen : list of Instance
        All agents of the data centre, the local entries whose names sort after
        this one, and a few entries of each other data centre.

    Notes
    -----
    O(n log n) in the instances. The links of an entry grow with its own data
    centre and with the number of data centres, not with the fleet. Rendezvous
    hashing by the entry's own name spreads the remote links evenly and moves few
    of them when instances come and go.
    """
    chosen = []
    remote = defaultdict(dict)
    for instance in instances:
        if instance.name == name or instance.state is InstanceState.LEAVING:
            continue
        if instance.data_centre != data_centre:
            if instance.role is Role.ENTRY:
                remote[instance.data_centre][instance.name] = instance
        elif instance.role is Role.AGENT or name < instance.name:
            chosen.append(instance)
    count = remote_link_count(len(remote))
    for _, by_name in sorted(remote.items()):
        order = rendezvous_order(name, by_name)
        order.sort(key=lambda n: n in unreachable)
        chosen += [by_name[n] for n in order[:count]]
    return chosen
