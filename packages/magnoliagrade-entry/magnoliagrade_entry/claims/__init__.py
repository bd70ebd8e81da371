"""Claims on idempotency keys, written to the store of the operators' platform."""

from magnoliagrade_entry.claims.batched import BatchedClaimStore
from magnoliagrade_entry.claims.guard import ClaimGuard
from magnoliagrade_entry.claims.records import Claim, claim_of
from magnoliagrade_entry.claims.single import SingleClaimStore
from magnoliagrade_entry.claims.store import ClaimStore, claim_stores

__all__ = [
    "BatchedClaimStore",
    "Claim",
    "ClaimGuard",
    "ClaimStore",
    "SingleClaimStore",
    "claim_of",
    "claim_stores",
]
