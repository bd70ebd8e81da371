"""What keeps claims: the interface and the registry of its variants."""

from typing import Protocol

from magnoliagrade.registry import Registry

__all__ = ["PURPOSE", "ClaimKeeper", "claim_keepers"]

PURPOSE = "claims"

claim_keepers = Registry(family="claim keeper")


class ClaimKeeper(Protocol):
    """What creates, settles and releases claims in the store."""

    async def claim(self, claim):
        """Create a claim unless the key has one; return the claim that holds.

        Raises `STORE_UNAVAILABLE` or `STORE_LIMITED` if that cannot be told.
        """

    async def settle(self, claim):
        """Record the outcome of a claim that holds."""

    async def release(self, claim):
        """Drop a claim whose request did not run, also one that may yet land."""
