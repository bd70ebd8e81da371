"""Baseline: each claim is a key of its own in the store."""

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.store import StoreConflict, StoreUnavailable

from magnoliagrade_entry.claims.keeper import PURPOSE, claim_keepers
from magnoliagrade_entry.claims.records import CLOCK_SKEW_S, Claim

__all__ = ["SingleKeeper"]

WRITE_TRIES = 3
RELEASE_TRIES = 8
RETRY_PAUSE_S = 0.1
LEASE_SHARED_S = 3600.0


@claim_keepers.register("single")
class SingleKeeper:
    """Writes each claim by a compare-and-swap that only its creator wins.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    The store drops claims itself: an hour's claims are written under one lease that
    outlives the last of them by their lifetime and is not renewed.
    """

    __slots__ = ("_lease", "_lease_until", "_node")

    def __init__(self, *, node):
        self._node = node
        self._lease = ""
        self._lease_until = 0.0

    async def claim(self, claim):
        """Create a claim; a lost answer is resolved by reading it back."""
        failure = None
        for _ in range(WRITE_TRIES):
            try:
                lease = await self._current_lease()
                await self._put(claim, expected_revision=0, lease=lease)
                return claim
            except StoreConflict:
                held = await self._get(claim)
                if held is not None:
                    return held[0]
            except StoreUnavailable as exc:
                failure = exc
                if not exc.maybe_applied:
                    raise
        detail = f"claim {claim.operation} is not settled"
        raise failure or MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, detail)

    async def settle(self, claim):
        """Replace the claim by one with its outcome."""

        async def write(revision):
            lease = await self._current_lease()
            await self._put(claim, expected_revision=revision, lease=lease)

        await self._change(claim, write)

    async def release(self, claim):
        """Delete the claim."""

        async def write(revision):
            await self._node.store.delete(
                _store_key(claim), expected_revision=revision, purpose=PURPOSE
            )

        await self._change(claim, write)

    async def _change(self, claim, write):
        for turn in range(RELEASE_TRIES):
            try:
                held = await self._get(claim)
                if held is None or held[0].operation != claim.operation:
                    return
                await write(held[1])
                return
            except MagnoliagradeError:
                await self._node.clock.sleep(RETRY_PAUSE_S * 2**turn)

    async def _put(self, claim, *, expected_revision, lease):
        await self._node.store.put(
            _store_key(claim),
            claim.encoded(),
            expected_revision=expected_revision,
            lease=lease,
            purpose=PURPOSE,
        )

    async def _get(self, claim):
        value = await self._node.store.get(_store_key(claim), purpose=PURPOSE)
        return (Claim.decoded(value.value), value.revision) if value else None

    async def _current_lease(self):
        now = self._node.clock.monotonic()
        if now >= self._lease_until:
            ttl_s = self._node.settings.claims_lifetime_s
            ttl_s += LEASE_SHARED_S + CLOCK_SKEW_S
            self._lease = await self._node.store.grant_lease(ttl_s, purpose=PURPOSE)
            self._lease_until = now + LEASE_SHARED_S
        return self._lease


def _store_key(claim):
    return f"claims/by-key/{claim.key}"
