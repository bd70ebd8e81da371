"""Rendezvous hashing."""

import xxhash

__all__ = ["hash64", "rendezvous_order"]


def hash64(data):
    """Return a 64-bit hash of text or bytes.

    Parameters
    ----------
    data : str or bytes
        Data to hash; text is encoded as UTF-8.

    Returns
    -------
    value : int
        Hash, the same in every process.
    """
    if isinstance(data, str):
        data = data.encode()
    return xxhash.xxh3_64_intdigest(data)


def rendezvous_order(key, names):
    """Return names ordered by their rendezvous weight for a key.

    Parameters
    ----------
    key : str or int
        Key to place.
    names : iterable of str
        Names of the candidates.

    Returns
    -------
    ordered : list of str
        Candidates, the preferred one first.

    Notes
    -----
    O(n log n). Removing a name does not change the order of the others, so only the
    keys placed on that name move [1]_.

    References
    ----------
    .. [1] D. Thaler and C. Ravishankar, "Using name-based mappings to increase
       hit rates", IEEE/ACM Transactions on Networking, 1998.

    Examples
    --------
    >>> a = rendezvous_order("k", ["x", "y", "z"])
    >>> b = rendezvous_order("k", ["x", "y", "z", "w"])
    >>> [n for n in b if n != "w"] == a
    True
    """
    return sorted(names, key=lambda n: (-hash64(f"{key}\0{n}"), n))
