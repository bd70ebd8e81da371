"""Conversion of expert maps between lists and arrays."""

__all__ = ["expert_lists", "placement_array", "unassigned_experts"]


def expert_lists(placement):
    """Return a placement as lists of experts by set and rank.

    Parameters
    ----------
    placement : ndarray of bool, shape (sets, ranks, experts)
        Placement.
    """
    return [[row.nonzero()[0].tolist() for row in ranks] for ranks in placement]


def placement_array(experts, size):
    """Return lists of experts as a placement, of shape (sets, ranks, experts).

    Parameters
    ----------
    experts : list of list of list of int
        Experts by set and rank.
    size : int
        Number of experts of a set.
    """
    # Imported late: numpy takes memory, and only the coordinator's agent needs it.
    import numpy as np

    placement = np.zeros((len(experts), len(experts[0]), size), dtype=bool)
    for index, ranks in enumerate(experts):
        for rank, held in enumerate(ranks):
            placement[index, rank, held] = True
    return placement


def unassigned_experts(by_rank, size):
    """Return the experts that no known rank has, by set.

    Parameters
    ----------
    by_rank : list of list of list of int
        Experts by rank and set; None for a rank whose experts are not known.
    size : int
        Number of experts of a set.
    """
    known = [experts for experts in by_rank if experts is not None]
    return [
        sorted(set(range(size)).difference(*held)) for held in zip(*known, strict=True)
    ]
