"""Algorithms without I/O: fair queueing, hashing, label selectors, token buckets."""

from magnoliagrade.algorithms.fair_queue import FairQueue, QueueItem
from magnoliagrade.algorithms.hashing import hash64, rendezvous_order
from magnoliagrade.algorithms.selectors import Selector, parse_selector
from magnoliagrade.algorithms.token_bucket import TokenBucket

__all__ = [
    "FairQueue",
    "QueueItem",
    "Selector",
    "TokenBucket",
    "hash64",
    "parse_selector",
    "rendezvous_order",
]
