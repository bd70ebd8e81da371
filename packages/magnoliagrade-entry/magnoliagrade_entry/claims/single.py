"""Baseline claim writes: each claim has its own key in the store."""

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.store import StoreConflict, StoreUnavailable

from magnoliagrade_entry.claims.records import MAX_CLOCK_SKEW_S, Claim
from magnoliagrade_entry.claims.store import PURPOSE, claim_stores

__all__ = ["SingleClaimStore"]

MAX_WRITE_ATTEMPTS = 3
MAX_CHANGE_ATTEMPTS = 8
INITIAL_RETRY_DELAY_S = 0.1
LEASE_REUSE_S = 3600.0


@claim_stores.register("single")
class SingleClaimStore:
    """Creates each claim by a compare-and-swap on its own key.

    Parameters
    ----------
    node : EntryInstance
        The entry.

    Notes
    -----
    Claims expire with their lease in the store. A lease is used for the claims of one
    hour (`LEASE_REUSE_S`), lasts the claims' lifetime beyond that hour, and is not
    renewed.
    """

    __slots__ = ("_lease", "_lease_until", "_node")

    def __init__(self, *, node):
        self._node = node
        self._lease = ""
        self._lease_until = 0.0

    async def claim(self, claim):
        """Create a claim unless its key has one; return the claim in force.

        A write whose response was lost is resolved by reading the claim back.
        """
        error = None
        for _ in range(MAX_WRITE_ATTEMPTS):
            try:
                lease = await self._current_lease()
                await self._put(claim, expected_revision=0, lease=lease)
                return claim
            except StoreConflict:
                held = await self._get(claim)
                if held is not None:
                    return held[0]
            except StoreUnavailable as exc:
                error = exc
                if not exc.maybe_applied:
                    raise
        detail = (
            f"claim {claim.operation} could be neither written to {_store_key(claim)} "
            f"nor read back in {MAX_WRITE_ATTEMPTS} attempts"
        )
        raise error or MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, detail)

    async def record_outcome(self, claim):
        """Replace the stored claim by one with its outcome."""

        async def write(revision):
            lease = await self._current_lease()
            await self._put(claim, expected_revision=revision, lease=lease)

        await self._change(claim, write)

    async def release(self, claim):
        """Delete the claim if it is in force."""

        async def write(revision):
            await self._node.store.delete(
                _store_key(claim), expected_revision=revision, purpose=PURPOSE
            )

        await self._change(claim, write)

    async def _change(self, claim, write):
        for attempt in range(MAX_CHANGE_ATTEMPTS):
            try:
                held = await self._get(claim)
                if held is None or held[0].operation != claim.operation:
                    return
                await write(held[1])
                return
            except MagnoliagradeError:
                await self._node.clock.sleep(INITIAL_RETRY_DELAY_S * 2**attempt)

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
            ttl_s += LEASE_REUSE_S + MAX_CLOCK_SKEW_S
            self._lease = await self._node.store.grant_lease(ttl_s, purpose=PURPOSE)
            self._lease_until = now + LEASE_REUSE_S
        return self._lease


def _store_key(claim):
    return f"claims/by-key/{claim.key}"
