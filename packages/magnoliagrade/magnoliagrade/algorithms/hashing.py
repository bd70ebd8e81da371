"""Rendezvous hashing."""

import xxhash

__all__ = ["hash64", "rendezvous_order"]


def hash64(data):
    """Return a 64-bit hash of text or bytes.

    Parameters
    ----------
    data : str or bytes
        What to hash.

    Returns
    -------
    value : int
        The same in every process.
    """
    if isinstance(data, str):
        data = data.encode()
    return xxhash.xxh3_64_intdigest(data)


def rendezvous_order(key, names):
    """Return names ordered by their rendezvous weight for a key.

    Parameters
    ----------
    key : str or int
        What is placed.
    names : iterable of str
        Places.

    Returns
    -------
    ordered : list of str
        The preferred place first.

    Notes
    -----
    O(n log n). Removing a name leaves the order of the others as it was, so only
    what was placed on that name moves [1]_.

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
