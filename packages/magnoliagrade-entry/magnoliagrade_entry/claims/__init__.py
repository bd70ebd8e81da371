"""Claims on idempotency keys, kept in the platform's store."""

from magnoliagrade_entry.claims.batched import BatchedKeeper
from magnoliagrade_entry.claims.guard import ClaimGuard
from magnoliagrade_entry.claims.keeper import ClaimKeeper, claim_keepers
from magnoliagrade_entry.claims.records import Claim, claim_of
from magnoliagrade_entry.claims.single import SingleKeeper

__all__ = [
    "BatchedKeeper",
    "Claim",
    "ClaimGuard",
    "ClaimKeeper",
    "SingleKeeper",
    "claim_keepers",
    "claim_of",
]
