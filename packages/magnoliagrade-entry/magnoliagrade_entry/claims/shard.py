"""One shard of the claims: a value in the store, written in batches."""

import asyncio
import contextlib
import logging
from dataclasses import dataclass

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.store import StoreConflict, StoreUnavailable
from prometheus_client import Counter, Histogram

from magnoliagrade_entry.claims.records import Claim
from magnoliagrade_entry.claims.store import PURPOSE

__all__ = ["Shard"]

BATCH_DELAY_S = 0.005
RECORD_BATCH_DELAY_S = 0.25
# Requests wait for their claims; outcomes and releases are written in the background.
CLAIM_TIMEOUT_S = 1.0
RECORD_TIMEOUT_S = 60.0
INITIAL_RETRY_DELAY_S = 0.05
MAX_RETRY_DELAY_S = 2.0
# Claims are rejected for this time after the store failed.
REJECT_AFTER_FAILURE_S = 1.0
# Limit on the value of a shard; the store rejects values above 1,000,000 bytes.
MAX_VALUE_BYTES = 900_000

BATCH_SIZE = Histogram(
    "magnoliagrade_claim_batch_changes",
    "Changes that one write of a shard carried",
    buckets=(1, 2, 4, 8, 16, 32, 64, 128, 256),
)
CONFLICTS = Counter(
    "magnoliagrade_claim_conflicts_total", "Writes of a shard that another preceded"
)
_log = logging.getLogger(__name__)


@dataclass(slots=True, kw_only=True)
class _Change:
    """A change of a claim that waits to be written.

    `timeout_at` is a monotonic time in seconds; `future` gets the claim in force.
    """

    action: str
    claim: Claim
    timeout_at: float
    future: asyncio.Future


class _ShardFull(MagnoliagradeError):
    """Raised if a shard's live claims exceed the size limit of a store value."""


class Shard:
    """Claims of one shard, as last read from or written to the store.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    key : str
        Key of the shard's value in the store.

    Notes
    -----
    Changes that arrive during a write go into the next one, so the number of writes
    per second is bounded for each shard, whatever the number of requests. The
    compare-and-swap keeps the claims correct with any number of entries writing; two
    entries that both act as the shard's writer cost a conflict and a read. The time of
    a batch grows with the number of claims in the shard.
    """

    __slots__ = (
        "_claim_by_key",
        "_has_claim",
        "_key",
        "_line_by_key",
        "_node",
        "_pending",
        "_reject_until",
        "_revision",
        "_writer",
    )

    def __init__(self, *, node, key):
        self._node = node
        self._key = key
        self._claim_by_key = {}
        self._has_claim = asyncio.Event()
        self._line_by_key = {}
        self._revision = None
        self._reject_until = 0.0
        self._pending = []
        self._writer = None

    async def change(self, action, claim):
        """Make a change with the next batch; return the claim in force.

        Parameters
        ----------
        action : str
            `claim`, `settle` or `release`.
        claim : Claim
            Claim to create, update or delete.

        Returns
        -------
        held : Claim or None
            The claim in force for the key afterwards.

        Raises
        ------
        MagnoliagradeError
            `STORE_UNAVAILABLE` or `STORE_LIMITED` if the change was not written.
        """
        now = self._node.clock.monotonic()
        if action == "claim" and now < self._reject_until:
            raise StoreUnavailable(
                f"{self._key} rejects claims for {REJECT_AFTER_FAILURE_S:g} s after a "
                "failed read or write"
            )
        timeout_s = CLAIM_TIMEOUT_S if action == "claim" else RECORD_TIMEOUT_S
        future = asyncio.get_running_loop().create_future()
        self._pending.append(
            _Change(
                action=action, claim=claim, timeout_at=now + timeout_s, future=future
            )
        )
        if action == "claim":
            self._has_claim.set()
        if self._writer is None:
            self._writer = self._node.tasks.start(self._write_pending(), name=self._key)
        return await future

    async def _write_pending(self):
        try:
            delay_s = INITIAL_RETRY_DELAY_S
            while self._pending:
                await self._gather_batch()
                batch, self._pending = self._pending, []
                self._has_claim.clear()
                if await self._write(batch):
                    delay_s = INITIAL_RETRY_DELAY_S
                    continue
                self._pending = [
                    c for c in batch if not c.future.done()
                ] + self._pending
                if any(c.action == "claim" for c in self._pending):
                    self._has_claim.set()
                await self._node.clock.sleep(delay_s * self._node.rng.uniform(0.5, 1))
                delay_s = min(MAX_RETRY_DELAY_S, delay_s * 2)
                self._fail_overdue()
        finally:
            self._writer = None

    async def _gather_batch(self):
        """Wait for more changes to be written together.

        Outcomes and releases wait up to `RECORD_BATCH_DELAY_S` to be written along with
        a claim; then all wait `BATCH_DELAY_S` for other changes.
        """
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECORD_BATCH_DELAY_S):
                await self._has_claim.wait()
        await self._node.clock.sleep(BATCH_DELAY_S)

    async def _write(self, batch):
        """Write a batch; return whether that succeeded."""
        try:
            is_newly_read = self._revision is None
            if is_newly_read:
                await self._read()
            held = [self._apply(change) for change in batch]
            # A batch that changes nothing is not checked by a compare-and-swap, and the
            # cached claims may be outdated: read them before replying.
            if not any(is_changed for _, is_changed in held) and not is_newly_read:
                self._revision = None
                return await self._write(batch)
            if any(is_changed for _, is_changed in held):
                await self._put()
        except StoreConflict:
            CONFLICTS.inc()
            self._revision = None
            return False
        except MagnoliagradeError as exc:
            self._revision = None
            self._record_failure(batch, exc)
            return False
        BATCH_SIZE.observe(len(batch))
        self._reject_until = 0.0
        for change, (claim, _) in zip(batch, held, strict=True):
            if not change.future.done():
                change.future.set_result(claim)
        return True

    async def _read(self):
        value = await self._node.store.get(self._key, purpose=PURPOSE)
        lines = value.value.splitlines() if value else []
        claims = [Claim.decoded(line) for line in lines]
        self._claim_by_key = {c.key: c for c in claims}
        self._line_by_key = dict(zip(self._claim_by_key, lines, strict=True))
        self._revision = value.revision if value else 0

    async def _put(self):
        self._drop_expired()
        self._revision = await self._node.store.put(
            self._key,
            self._encoded(),
            expected_revision=self._revision,
            purpose=PURPOSE,
        )

    def _apply(self, change):
        """Apply a change; return the claim in force and whether it changed."""
        claim = change.claim
        held = self._claim_by_key.get(claim.key)
        if change.action == "claim":
            if held is not None and not self._is_expired(held):
                return held, False
            self._set_claim(claim)
            return claim, True
        if held is None or held.operation != claim.operation:
            return held, False
        if change.action == "release":
            del self._claim_by_key[claim.key]
            del self._line_by_key[claim.key]
            return None, True
        if held.status:
            return held, False
        self._set_claim(claim)
        return claim, True

    def _set_claim(self, claim):
        self._claim_by_key[claim.key] = claim
        self._line_by_key[claim.key] = claim.encoded()

    def _is_expired(self, claim):
        return claim.until < self._node.clock.now().timestamp()

    def _drop_expired(self):
        """Drop expired claims from the oldest on, up to the first that is live."""
        for key, claim in list(self._claim_by_key.items()):
            if not self._is_expired(claim):
                return
            del self._claim_by_key[key]
            del self._line_by_key[key]

    def _encoded(self):
        """Return the shard's value; drop the oldest bodies while it is too long.

        Raises `_ShardFull` if it is too long without bodies.
        """
        size = sum(len(line) + 1 for line in self._line_by_key.values())
        for key, claim in self._claim_by_key.items():
            if size <= MAX_VALUE_BYTES:
                break
            if claim.body:
                size -= len(self._line_by_key[key])
                claim.drop_body()
                self._line_by_key[key] = claim.encoded()
                size += len(self._line_by_key[key])
        if size > MAX_VALUE_BYTES:
            detail = (
                f"{len(self._claim_by_key)} claims of {self._key} take {size} bytes, "
                f"limit {MAX_VALUE_BYTES}"
            )
            raise _ShardFull(ErrorKind.STORE_LIMITED, detail, retry_after=1)
        return b"\n".join(self._line_by_key.values())

    def _record_failure(self, batch, error):
        log_event(
            _log,
            "claims.unwritten",
            shard=self._key,
            changes=len(batch),
            code=error.kind.value,
            detail=error.detail,
        )
        if not isinstance(error, _ShardFull):
            now = self._node.clock.monotonic()
            self._reject_until = now + REJECT_AFTER_FAILURE_S
            return
        for change in batch:
            if change.action == "claim":
                _fail(change, error)

    def _fail_overdue(self):
        now = self._node.clock.monotonic()
        for change in self._pending:
            if now >= change.timeout_at:
                detail = (
                    f"{change.action} {change.claim.operation} was not written to "
                    f"{self._key} before its time-out"
                )
                _fail(change, StoreUnavailable(detail))
        self._pending = [c for c in self._pending if not c.future.done()]


def _fail(change, error):
    if not change.future.done():
        change.future.set_exception(error)
