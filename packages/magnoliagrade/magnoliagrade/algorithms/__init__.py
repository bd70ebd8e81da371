"""Plain algorithms over plain data."""

from magnoliagrade.algorithms.hashing import hash64, rendezvous_order
from magnoliagrade.algorithms.selectors import Selector, parse_selector

__all__ = ["Selector", "hash64", "parse_selector", "rendezvous_order"]
