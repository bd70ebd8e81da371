import asyncio

from magnoliagrade.clock import ManualClock
from magnoliagrade.errors import ErrorKind, MagnoliagradeError

from magnoliagrade_agent.direct.slow_ranks import RENEW_S, RETRY_S, SlowRankNotice


class Store:
    def __init__(self):
        self.calls = []
        self.is_down = False

    async def put(self, key, value, **_fields):
        self._note(("put", key, value))

    async def delete(self, key, **_fields):
        self._note(("delete", key, b""))

    def _note(self, call):
        self.calls.append(call)
        if self.is_down:
            raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, "down")


def test_a_slow_rank_is_told_once_renewed_and_taken_back():
    store, clock, update = _notice()
    update({"a:1": 1.0, "b:1": 1.2})
    assert not store.calls
    update({"a:1": 1.0, "b:1": 5.0})
    update({"a:1": 1.0, "b:1": 5.0})
    assert [call[0] for call in store.calls] == ["put"]
    assert b"b:1" in store.calls[0][2] and b"a:1" not in store.calls[0][2]
    clock._time += RENEW_S
    update({"a:1": 1.0, "b:1": 5.0})
    assert [call[0] for call in store.calls] == ["put", "put"]
    update({"a:1": 1.0, "b:1": 1.0})
    update({"a:1": 1.0, "b:1": 1.0})
    clock._time += RENEW_S
    update({"a:1": 1.0, "b:1": 1.0})
    assert [call[0] for call in store.calls] == ["put", "put", "delete"]


def test_a_store_that_is_down_is_asked_again_after_a_pause():
    store, clock, update = _notice()
    store.is_down = True
    for _ in range(3):
        update({"b:1": 5.0})
    assert len(store.calls) == 1
    clock._time += RETRY_S
    store.is_down = False
    update({"b:1": 5.0})
    assert len(store.calls) == 2


def _notice():
    store, clock = Store(), ManualClock(start=10.0)
    notice = SlowRankNotice(store=store, clock=clock)

    def update(paces):
        asyncio.run(notice.update("g", paces))

    return store, clock, update
