"""Configuration changes while the store fails and other writers change it."""

import asyncio
import random

from magnoliagrade.clock import ManualClock
from magnoliagrade.configuration import (
    ConfigurationRepository,
    ReplaceAll,
    SetLabels,
    parse_configuration,
)
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade_standins.platform import MemoryStore, StoreFaults

TEXT = "[pool p]\nendpoint_selector = a=b\n[endpoint e]\nlabels = x=0\n"


def _run(main):
    clock = ManualClock()
    store = MemoryStore(clock=clock)

    async def advance_clock():
        task = asyncio.create_task(main(clock, store))
        while not task.done():
            await clock.advance(0.05)
        return await task

    return asyncio.run(advance_clock())


def _repository(clock, store, seed=0, retry_timeout_s=10.0):
    rng = random.Random(seed)
    return ConfigurationRepository(
        store=store, clock=clock, rng=rng, retry_timeout_s=retry_timeout_s
    )


def _label(value, endpoint="e", label="x"):
    return SetLabels(kind="endpoint", name=endpoint, value_by_label={label: value})


async def _kind_of(call):
    try:
        await call
    except MagnoliagradeError as exc:
        return exc.kind
    return None


def test_change_whose_write_reply_is_lost_is_found_in_the_history_after_later_changes():
    async def main(clock, store):
        first, other = _repository(clock, store), _repository(clock, store, 1)
        await first.apply(TEXT, author="a")
        late_store = _LateReplyStore(store)
        slow = _repository(clock, late_store, 2)
        change = asyncio.create_task(
            slow.change(_label("1"), author="a", operation="op-1")
        )
        await late_store.written.wait()
        for i in range(5):
            await other.change(_label(str(i), "f"), author="b")
        late_store.may_reply.set()
        stored = await change
        assert stored.root.newest.operation == "op-1" and stored.revision == 2
        newest = await other.load()
        assert newest.revision == 7 and newest.root.change_of("op-1").revision == 2

    _run(main)


def test_lost_root_write_is_outcome_unknown_and_unsent_change_is_store_unavailable():
    async def main(clock, store):
        await _repository(clock, store).apply(TEXT, author="a")
        failing_store = _StoreDownAfterRootWrite(store)
        call = _repository(clock, failing_store, 3, retry_timeout_s=1.0).change(
            _label("1"), author="a", operation="op-2"
        )
        assert await _kind_of(call) is ErrorKind.OUTCOME_UNKNOWN
        call = _repository(clock, store, 4, retry_timeout_s=1.0).change(
            _label("1"), author="a", operation="op-3"
        )
        assert await _kind_of(call) is ErrorKind.STORE_UNAVAILABLE
        store.set_faults(StoreFaults())
        again = _repository(clock, store, 5)
        stored = await again.change(_label("1"), author="a", operation="op-2")
        assert stored.revision == 2 and stored.root.change_of("op-3") is None

    _run(main)


def test_conflicting_change_fails_and_names_the_author_of_the_accepted_one():
    async def main(clock, store):
        repository = _repository(clock, store)
        await repository.apply(TEXT, author="a")
        call = repository.apply(TEXT, author="b", expected_revision=0)
        assert await _kind_of(call) is ErrorKind.CONFLICT
        results = await asyncio.gather(
            *(
                _repository(clock, store, i).change(_label(f"v{i}"), author=f"o{i}")
                for i in range(3)
            ),
            return_exceptions=True,
        )
        rejected = [r for r in results if isinstance(r, MagnoliagradeError)]
        accepted_changes = [r for r in results if not isinstance(r, MagnoliagradeError)]
        assert len(accepted_changes) == 1 and len(rejected) == 2
        author = accepted_changes[0].root.newest.author
        assert all(f"revision 2 was written by {author}" in e.detail for e in rejected)

    _run(main)


def test_concurrent_changes_get_one_outcome_each_and_no_accepted_change_is_lost():
    async def main(clock, store):
        await _repository(clock, store).apply(TEXT, author="a")
        rng = random.Random(7)
        outcome_by_operation = {}

        async def operator(author):
            repository = _repository(clock, store, author)
            for i in range(100):
                endpoint = rng.choice(["e", "f", "g"])
                operation = f"{author}-{i}"
                change = _label(operation, endpoint)
                call = repository.change(change, author=author, operation=operation)
                outcome_by_operation[operation] = (endpoint, await _kind_of(call))
                store.set_faults(_random_faults(rng))

        await asyncio.gather(operator("o1"), operator("o2"))
        store.set_faults(StoreFaults())
        await _check_concurrent_changes(
            _repository(clock, store), store, outcome_by_operation
        )

    _run(main)


async def _check_concurrent_changes(repository, store, outcome_by_operation):
    assert len(outcome_by_operation) == 200
    kinds = {kind for _, kind in outcome_by_operation.values()}
    assert None in kinds and ErrorKind.CONFLICT in kinds, kinds
    newest = await repository.load()
    # Revisions number the accepted changes without a gap, so none was lost.
    accepted = [o for o, (_, kind) in outcome_by_operation.items() if kind is None]
    assert newest.revision == 1 + len(accepted)
    rows = newest.root.history
    assert [r.revision for r in rows] == list(
        range(newest.revision - len(rows) + 1, newest.revision + 1)
    )
    last_operation_by_endpoint = {}
    for row in rows:
        endpoint, kind = outcome_by_operation.get(row.operation, ("", None))
        assert kind is None, (row, kind)
        last_operation_by_endpoint[endpoint] = row.operation
    labels = _labels_of(newest)
    for endpoint, operation in last_operation_by_endpoint.items():
        if endpoint:
            assert labels[endpoint]["x"] == operation
    keys = await store.list("configuration/chunk/", purpose="test")
    assert len(keys) <= len(newest.root.chunk_by_name) + 40


def _labels_of(stored):
    return parse_configuration(stored.text).endpoint_labels_by_name


def _random_faults(rng):
    return StoreFaults(
        lose_write_answers=rng.choice([0, 0, 1, 2]),
        latency_s=rng.choice([0.0, 0.05, 0.2]),
        calls_per_s=rng.choice([0.0, 0.0, 200.0]),
    )


def test_newer_revision_is_written_back_to_an_old_store_but_not_over_a_fork():
    async def main(clock, store):
        repository = _repository(clock, store)
        await repository.apply(TEXT, author="a")
        old = dict(store._value_by_key)
        for i in range(8):
            held = await repository.change(_label(str(i)), author="a")
        assert held.revision == 9
        store._value_by_key = dict(old)
        call = repository.change(_label("9"), author="b", held_revision=9)
        assert await _kind_of(call) is ErrorKind.CONFIGURATION_STALE
        assert await repository.restore(held)
        assert (await repository.load()).text == held.text
        assert not await repository.restore(held)
        store._value_by_key = dict(old)
        await repository.change(_label("fork"), author="b")
        assert await _kind_of(repository.restore(held)) is ErrorKind.CONFLICT
        superseding = await repository.change(
            ReplaceAll(text=TEXT),
            author="b",
            expected_revision=9,
            held_revision=9,
            is_superseding=True,
        )
        assert superseding.revision == 10

    _run(main)


def test_large_configuration_fits_chunks_and_one_label_rewrites_one_chunk():
    async def main(clock, store):
        repository = _repository(clock, store)
        await repository.apply(_large_configuration_text(), author="a")
        sizes = [len(v.value) for v in store._value_by_key.values()]
        assert max(sizes) < 100_000
        recording = _RecordingStore(store)
        change = SetLabels(
            kind="organisation", name="organisation-77", value_by_label={"a": "1"}
        )
        await _repository(clock, recording).change(change, author="a")
        assert len(recording.keys) == 2 and recording.keys[-1] == "configuration/root"

    _run(main)


def _large_configuration_text():
    parts = [f"[pool p{i}]\nendpoint_selector = model=m{i}\n" for i in range(18)]
    parts += [f"[endpoint e{i}]\nlabels = model=m{i % 18}\n" for i in range(600)]
    parts += [
        f"[organisation organisation-{i}]\nshare = 2\nkey_digests = {i:064x}\n"
        for i in range(6800)
    ]
    return "".join(parts)


def test_applied_text_replaces_the_chunks_of_the_previous_one():
    async def main(clock, store):
        repository = _repository(clock, store)
        await repository.change(ReplaceAll(text=TEXT), author="a")
        stored = await repository.load()
        assert sorted(stored.root.chunk_by_name) == ["endpoint/1/0", "pool/1/0"]
        await repository.apply("[endpoint e]\nlabels = x=1\n", author="a")
        assert len(await store.list("configuration/", purpose="test")) == 2

    _run(main)


class _StoreWrapper:
    """Passes every call on to a store."""

    def __init__(self, store):
        self._store = store

    def __getattr__(self, name):
        return getattr(self._store, name)


class _RecordingStore(_StoreWrapper):
    """Records the keys that are written."""

    def __init__(self, store):
        super().__init__(store)
        self.keys = []

    async def put(self, key, value, **options):
        self.keys.append(key)
        return await self._store.put(key, value, **options)


class _LateReplyStore(_StoreWrapper):
    """Writes the root at once and raises its error when `may_reply` is set.

    The first write of the root takes effect, but its reply is lost.
    """

    def __init__(self, store):
        super().__init__(store)
        self.written = asyncio.Event()
        self.may_reply = asyncio.Event()

    async def put(self, key, value, **options):
        if key != "configuration/root" or self.written.is_set():
            return await self._store.put(key, value, **options)
        self._store.faults.lose_write_answers = 1
        try:
            return await self._store.put(key, value, **options)
        finally:
            self.written.set()
            await self.may_reply.wait()


class _StoreDownAfterRootWrite(_StoreWrapper):
    """Loses the reply to the write of the root and is down from then on."""

    async def put(self, key, value, **options):
        if key == "configuration/root":
            self._store.faults.lose_write_answers = 1
        try:
            return await self._store.put(key, value, **options)
        finally:
            if key == "configuration/root":
                self._store.set_faults(StoreFaults(is_down=True))
