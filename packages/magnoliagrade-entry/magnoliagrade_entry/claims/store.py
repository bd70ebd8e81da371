"""Interface and registry of the ways to write claims to the store."""

from typing import Protocol

from magnoliagrade.registry import Registry

__all__ = ["PURPOSE", "ClaimStore", "claim_stores"]

PURPOSE = "claims"

claim_stores = Registry(family="claim keeper")


class ClaimStore(Protocol):
    """Interface for creating claims, recording their outcomes and releasing them."""

    async def claim(self, claim):
        """Create a claim unless its key has one; return the claim in force.

        Raises `STORE_UNAVAILABLE` or `STORE_LIMITED` if the claim in force cannot be
        determined.
        """

    async def record_outcome(self, claim):
        """Record the outcome of a claim if it is in force."""

    async def release(self, claim):
        """Delete a claim whose request did not run; its write may be in flight."""
