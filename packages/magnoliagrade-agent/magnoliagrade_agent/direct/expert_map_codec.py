"""Encoding of expert maps: lists for a model server, bytes on a link."""

import json
import zlib

__all__ = ["pack_experts", "unpack_experts"]


def pack_experts(experts):
    """Return an expert map as compressed JSON.

    Parameters
    ----------
    experts : list of list of list of int
        Experts by set and rank, or by set for the experts of one rank.
    """
    return zlib.compress(json.dumps(experts, separators=(",", ":")).encode())


def unpack_experts(data):
    """Return the expert map encoded in `data`; None if `data` is empty."""
    return json.loads(zlib.decompress(data)) if data else None
