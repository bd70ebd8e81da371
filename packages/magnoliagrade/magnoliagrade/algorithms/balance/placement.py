"""Placements of experts on ranks as arrays, their load and binary encoding."""

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
    """Return a placement that assumes equally popular experts.

    Parameters
    ----------
    layers, ranks, experts : int
        Numbers of layers, of ranks, and of experts in each layer.
    slots : int
        Maximum number of experts of a layer on one rank.

    Returns
    -------
    placement : ndarray of bool, shape (layers, ranks, experts)
        Each rank has a contiguous block of experts; spare slots hold replicas of the
        experts that follow the block.

    Raises
    ------
    MagnoliagradeError
        `CONFIGURATION_INVALID` if there are fewer slots than experts.

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
    home_rank = np.arange(experts) * ranks // experts
    placement[:, home_rank, np.arange(experts)] = True
    for rank in range(ranks):
        start = int(np.argmax(home_rank == rank))
        for i in range(min(slots, experts)):
            if placement[0, rank].sum() < slots:
                placement[:, rank, (start + i) % experts] = True
    return placement


def rank_times(placement, rates, speeds):
    """Return the time that each rank needs in each layer.

    Parameters
    ----------
    placement : ndarray of bool, shape (layers, ranks, experts)
        Placement of the experts.
    rates : ndarray of shape (layers, experts)
        Tokens per unit of time that each expert processes.
    speeds : ndarray of shape (ranks,)
        Relative speed of each rank.

    Returns
    -------
    times : ndarray of shape (layers, ranks)
        Tokens divided by speed. The replicas of an expert share its tokens evenly.
    """
    shares = rates / placement.sum(axis=1)
    return np.einsum("lre,le->lr", placement, shares) / speeds


def step_time(times):
    """Return the time of a step; in each layer, all ranks wait for the slowest."""
    return float(times.max(axis=1).sum())


def skew(times):
    """Return the slowest rank's time divided by the mean, each summed over the layers.

    Examples
    --------
    >>> skew(np.array([[1.0, 3.0]]))
    1.5
    """
    return step_time(times) / float(times.mean(axis=1).sum())


def count_transfers(old, new):
    """Return the number of experts that ranks must load to change the placement."""
    return int((new & ~old).sum())


def pack_placement(placement):
    """Return a placement as bytes: its shape, then one bit per rank and expert."""
    return _HEADER.pack(*placement.shape) + np.packbits(placement).tobytes()


def unpack_placement(data):
    """Return the placement that `pack_placement` encoded.

    Raises
    ------
    MagnoliagradeError
        `WIRE_INVALID` if the data is too short to hold the shape.
    """
    try:
        shape = _HEADER.unpack_from(data)
        size = int(np.prod(shape))
        bits = np.frombuffer(data, dtype=np.uint8, offset=_HEADER.size)
        return np.unpackbits(bits, count=size).astype(bool).reshape(shape)
    except (struct.error, ValueError) as exc:
        detail = (
            f"placement truncated: got {len(data)} bytes, but its shape alone "
            f"takes {_HEADER.size}"
        )
        raise MagnoliagradeError(ErrorKind.WIRE_INVALID, detail) from exc
