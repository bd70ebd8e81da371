"""Placements of experts as arrays, their loads and their packed form."""

import struct

import numpy as np

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = [
    "count_transfers",
    "initial_placement",
    "pack_placement",
    "rank_times",
    "skew",
    "step_time",
    "unpack_placement",
]

_HEADER = struct.Struct(">HHH")


def initial_placement(*, layers, ranks, experts, slots):
    """Return the placement that knows nothing of popularity.

    Parameters
    ----------
    layers, ranks, experts : int
        Sizes.
    slots : int
        Experts of a layer that a rank holds at most.

    Returns
    -------
    placement : ndarray of bool, shape (layers, ranks, experts)
        Experts in contiguous blocks, spare slots with the next ones.

    Raises
    ------
    MagnoliagradeError
        `CONFIGURATION_INVALID` if the experts do not fit.

    Examples
    --------
    >>> placement = initial_placement(layers=1, ranks=2, experts=4, slots=2)
    >>> placement[0].astype(int).tolist()
    [[1, 1, 0, 0], [0, 0, 1, 1]]
    """
    if ranks * slots < experts:
        detail = f"{experts} experts do not fit into {ranks} ranks of {slots} slots"
        raise MagnoliagradeError(ErrorKind.CONFIGURATION_INVALID, detail)
    placement = np.zeros((layers, ranks, experts), dtype=bool)
    first = np.arange(experts) * ranks // experts
    placement[:, first, np.arange(experts)] = True
    for rank in range(ranks):
        start = int(np.argmax(first == rank))
        for i in range(min(slots, experts)):
            if placement[0, rank].sum() < slots:
                placement[:, rank, (start + i) % experts] = True
    return placement


def rank_times(placement, rates, speeds):
    """Return the work of each rank in each layer.

    Parameters
    ----------
    placement : ndarray of bool, shape (layers, ranks, experts)
        Placement.
    rates : ndarray of shape (layers, experts)
        Tokens of each expert.
    speeds : ndarray of shape (ranks,)
        Speed of each rank.

    Returns
    -------
    times : ndarray of shape (layers, ranks)
        Tokens over speed; the replicas of an expert share its tokens evenly.
    """
    shares = rates / placement.sum(axis=1)
    return np.einsum("lre,le->lr", placement, shares) / speeds


def step_time(times):
    """Return the length of a step in which all wait for the slowest in each layer."""
    return float(times.max(axis=1).sum())


def skew(times):
    """Return the slowest over the mean time of ranks, layer by layer.

    Examples
    --------
    >>> skew(np.array([[1.0, 3.0]]))
    1.5
    """
    return step_time(times) / float(times.mean(axis=1).sum())


def count_transfers(old, new):
    """Return how many experts ranks must load to go from one placement to another."""
    return int((new & ~old).sum())


def pack_placement(placement):
    """Return a placement as bytes: sizes, then one bit for each place."""
    return _HEADER.pack(*placement.shape) + np.packbits(placement).tobytes()


def unpack_placement(data):
    """Return the placement that bytes hold.

    Raises
    ------
    MagnoliagradeError
        `WIRE_INVALID` if the bytes are too few.
    """
    try:
        shape = _HEADER.unpack_from(data)
        size = int(np.prod(shape))
        bits = np.frombuffer(data, dtype=np.uint8, offset=_HEADER.size)
        return np.unpackbits(bits, count=size).astype(bool).reshape(shape)
    except (struct.error, ValueError) as exc:
        detail = f"{len(data)} bytes hold no placement"
        raise MagnoliagradeError(ErrorKind.WIRE_INVALID, detail) from exc
