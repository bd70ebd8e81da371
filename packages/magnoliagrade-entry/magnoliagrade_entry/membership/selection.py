"""Selection of the instances that an entry dials."""

from collections import defaultdict

from magnoliagrade.algorithms import rendezvous_order
from magnoliagrade.world import InstanceState, Role

__all__ = ["remote_link_count", "select_links"]

# Number of links to divide among the remote data centres, at least one for each.
TARGET_REMOTE_LINKS = 4


def remote_link_count(data_centres):
    """Return the number of entries that an entry dials in each remote data centre.

    Parameters
    ----------
    data_centres : int
        Number of remote data centres.

    Returns
    -------
    count : int
        At least 1. With few data centres there are several links to each, so that
        the failure of one peer does not cut off its data centre.

    Examples
    --------
    >>> [remote_link_count(n) for n in (1, 2, 9)]
    [4, 2, 1]
    """
    return max(1, TARGET_REMOTE_LINKS // max(1, data_centres))


def select_links(instances, *, name, data_centre, unreachable=frozenset()):
    """Return the instances that an entry dials.

    Parameters
    ----------
    instances : iterable of Instance
        Known instances.
    name : str
        Name of this entry.
    data_centre : str
        Data centre of this entry.
    unreachable : set of str
        Names of remote entries that recently could not be reached; other entries
        are preferred.

    Returns
    -------
    chosen : list of Instance
        All local agents, the local entries whose names sort after this entry's, and
        `remote_link_count` entries of each remote data centre.

    Notes
    -----
    O(n log n) in the number of instances. The number of links depends on the size
    of the local data centre and on the number of data centres, not on the size of
    the fleet. Rendezvous hashing by the entry's name distributes the remote links
    evenly and changes few of them when instances are added or removed.
    """
    chosen = []
    remote_by_data_centre = defaultdict(dict)
    for instance in instances:
        if instance.name == name or instance.state is InstanceState.LEAVING:
            continue
        if instance.data_centre != data_centre:
            if instance.role is Role.ENTRY:
                remote_by_data_centre[instance.data_centre][instance.name] = instance
        elif instance.role is Role.AGENT or name < instance.name:
            chosen.append(instance)
    count = remote_link_count(len(remote_by_data_centre))
    for _, by_name in sorted(remote_by_data_centre.items()):
        order = rendezvous_order(name, by_name)
        order.sort(key=lambda n: n in unreachable)
        chosen += [by_name[n] for n in order[:count]]
    return chosen
