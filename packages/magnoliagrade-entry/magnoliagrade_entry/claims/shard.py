"""One shard of claims: a value of the store that is written in batches."""

import asyncio
import contextlib
import logging
from dataclasses import dataclass

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.store import StoreConflict, StoreUnavailable
from prometheus_client import Counter, Histogram

from magnoliagrade_entry.claims.keeper import PURPOSE
from magnoliagrade_entry.claims.records import Claim

__all__ = ["Shard"]

BATCH_DELAY_S = 0.005
RECORD_DELAY_S = 0.25
CLAIM_WAIT_S = 1.0
RECORD_WAIT_S = 60.0
RETRY_PAUSE_S = 0.05
RETRY_PAUSE_MAX_S = 2.0
REFUSE_AFTER_FAILURE_S = 1.0
VALUE_LIMIT_BYTES = 900_000

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
    """A change that waits for the next write."""

    action: str
    claim: Claim
    until: float
    done: asyncio.Future


class _ShardFull(MagnoliagradeError):
    """A shard holds as many live claims as fit into a value."""


class Shard:
    """Claims of one shard, as last read or written.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    key : str
        Key of the shard's value.

    Notes
    -----
    Changes that arrive during a write go into the next one, so writes grow with
    time and shards and not with requests. The compare-and-swap keeps the claims
    right however many entries write; a wrong guess of the writer costs a conflict
    and a read. Time of a batch grows with the claims in the shard.
    """

    __slots__ = (
        "_claim_by_key",
        "_has_claim",
        "_key",
        "_line_by_key",
        "_node",
        "_refuse_until",
        "_revision",
        "_waiting",
        "_writer",
    )

    def __init__(self, *, node, key):
        self._node = node
        self._key = key
        self._claim_by_key = {}
        self._has_claim = asyncio.Event()
        self._line_by_key = {}
        self._revision = None
        self._refuse_until = 0.0
        self._waiting = []
        self._writer = None

    async def change(self, action, claim):
        """Make a change with the next batch.

        Parameters
        ----------
        action : str
            `claim`, `settle` or `release`.
        claim : Claim
            The claim.

        Returns
        -------
        held : Claim or None
            The claim that holds afterwards.

        Raises
        ------
        MagnoliagradeError
            `STORE_UNAVAILABLE` or `STORE_LIMITED`.
        """
        now = self._node.clock.monotonic()
        if action == "claim" and now < self._refuse_until:
            raise StoreUnavailable("the store did not answer lately")
        wait_s = CLAIM_WAIT_S if action == "claim" else RECORD_WAIT_S
        done = asyncio.get_running_loop().create_future()
        self._waiting.append(
            _Change(action=action, claim=claim, until=now + wait_s, done=done)
        )
        if action == "claim":
            self._has_claim.set()
        if self._writer is None:
            self._writer = self._node.tasks.start(self._write_all(), name=self._key)
        return await done

    async def _write_all(self):
        try:
            pause = RETRY_PAUSE_S
            while self._waiting:
                await self._gather_batch()
                batch, self._waiting = self._waiting, []
                self._has_claim.clear()
                if await self._write(batch):
                    pause = RETRY_PAUSE_S
                    continue
                self._waiting = [c for c in batch if not c.done.done()] + self._waiting
                if any(c.action == "claim" for c in self._waiting):
                    self._has_claim.set()
                await self._node.clock.sleep(pause * self._node.rng.uniform(0.5, 1))
                pause = min(RETRY_PAUSE_MAX_S, pause * 2)
                self._fail_overdue()
        finally:
            self._writer = None

    async def _gather_batch(self):
        """Wait for more changes; outcomes wait for a claim to be written with."""
        with contextlib.suppress(TimeoutError):
            async with asyncio.timeout(RECORD_DELAY_S):
                await self._has_claim.wait()
        await self._node.clock.sleep(BATCH_DELAY_S)

    async def _write(self, batch):
        """Write a batch; return whether all its changes are done."""
        try:
            is_fresh = self._revision is None
            if is_fresh:
                await self._read()
            held = [self._apply(change) for change in batch]
            if not any(is_changed for _, is_changed in held) and not is_fresh:
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
            self._note_failure(batch, exc)
            return False
        BATCH_SIZE.observe(len(batch))
        self._refuse_until = 0.0
        for change, (claim, _) in zip(batch, held, strict=True):
            if not change.done.done():
                change.done.set_result(claim)
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
        """Apply a change here; return the claim that holds and whether it changed."""
        claim = change.claim
        held = self._claim_by_key.get(claim.key)
        if change.action == "claim":
            if held is not None and not self._is_expired(held):
                return held, False
            self._set(claim)
            return claim, True
        if held is None or held.operation != claim.operation:
            return held, False
        if change.action == "release":
            del self._claim_by_key[claim.key]
            del self._line_by_key[claim.key]
            return None, True
        if held.status:
            return held, False
        self._set(claim)
        return claim, True

    def _set(self, claim):
        self._claim_by_key[claim.key] = claim
        self._line_by_key[claim.key] = claim.encoded()

    def _is_expired(self, claim):
        return claim.until < self._node.clock.now().timestamp()

    def _drop_expired(self):
        for key, claim in list(self._claim_by_key.items()):
            if not self._is_expired(claim):
                return
            del self._claim_by_key[key]
            del self._line_by_key[key]

    def _encoded(self):
        size = sum(len(line) + 1 for line in self._line_by_key.values())
        for key, claim in self._claim_by_key.items():
            if size <= VALUE_LIMIT_BYTES:
                break
            if claim.body:
                size -= len(self._line_by_key[key])
                claim.drop_body()
                self._line_by_key[key] = claim.encoded()
                size += len(self._line_by_key[key])
        if size > VALUE_LIMIT_BYTES:
            detail = f"{self._key} holds {len(self._claim_by_key)} claims"
            raise _ShardFull(ErrorKind.STORE_LIMITED, detail, retry_after=1)
        return b"\n".join(self._line_by_key.values())

    def _note_failure(self, batch, error):
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
            self._refuse_until = now + REFUSE_AFTER_FAILURE_S
            return
        for change in batch:
            if change.action == "claim":
                _fail(change, error)

    def _fail_overdue(self):
        now = self._node.clock.monotonic()
        for change in self._waiting:
            if now >= change.until:
                detail = f"{change.action} {change.claim.operation} was not written"
                _fail(change, StoreUnavailable(detail))
        self._waiting = [c for c in self._waiting if not c.done.done()]


def _fail(change, error):
    if not change.done.done():
        change.done.set_exception(error)
