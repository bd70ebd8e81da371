"""Expert maps as bytes on a link and as lists for a server."""

import json

__all__ = ["pack_experts", "unpack_experts"]


def pack_experts(experts):
    """Return an expert map as bytes.

    Parameters
    ----------
    experts : list of list of list of int
        Experts by set and rank.
    """
    return json.dumps(experts, separators=(",", ":")).encode()


def unpack_experts(data):
    """Return the expert map that bytes hold; None for no bytes."""
    return json.loads(data) if data else None
