import asyncio
import json
from types import SimpleNamespace

from magnoliagrade.clock import SystemClock
from magnoliagrade.platform import StorePosition
from magnoliagrade.store import StoreValue

from magnoliagrade_agent.direct import rank_directory
from magnoliagrade_agent.direct.rank_directory import RankDirectory

OWN = "127.0.0.1:9001"
OTHERS = ["127.0.0.2:9001", "127.0.0.3:9001"]


class FakeStore:
    """Store whose listing is a list of server addresses."""

    def __init__(self):
        self.addresses = [OWN, *OTHERS]

    async def list(self, prefix, *, purpose):
        values = [
            StoreValue(key=f"{prefix}i-{number}", value=_registration(a), revision=1)
            for number, a in enumerate(self.addresses)
        ]
        return values, StorePosition(1, 1)


def test_link_is_kept_while_a_store_that_lost_changes_lacks_the_server():
    async def scenario(store, directory, dialled):
        await directory._link_agents()
        assert sorted(dialled) == OTHERS
        for listed in ([OWN, OTHERS[0]], OTHERS, []):
            store.addresses = listed
            await directory._link_agents()
            store.addresses = [OWN, *OTHERS]
            await directory._link_agents()
            assert sorted(dialled) == OTHERS, listed

    _run(scenario)


def test_link_is_closed_once_two_listings_lack_the_server():
    async def scenario(store, directory, dialled):
        await directory._link_agents()
        store.addresses = [OWN, OTHERS[0]]
        await directory._link_agents()
        await directory._link_agents()
        assert list(directory._dial_task_by_address) == [OTHERS[0]]

    _run(scenario)


def _registration(address):
    document = {"Service": "s", "Address": address, "Zone": "z"}
    return json.dumps(document | {"Slots": 1, "State": "ready"}).encode()


class _Task:
    def cancel(self):
        """Do nothing, as there is no connection."""


def _run(scenario):
    store = FakeStore()
    dialled = []
    node = SimpleNamespace(
        clock=SystemClock(), store=store, settings=SimpleNamespace(server_address=OWN)
    )

    class Directory(RankDirectory):
        def _dial(self, address):
            dialled.append(address)
            self._dial_task_by_address[address] = _Task()
            return SimpleNamespace(name=address)

    directory = Directory(node=node, local_client=None)
    interval_s = rank_directory.ENDPOINT_LIST_INTERVAL_S
    rank_directory.ENDPOINT_LIST_INTERVAL_S = 0.0
    try:
        asyncio.run(scenario(store, directory, dialled))
    finally:
        rank_directory.ENDPOINT_LIST_INTERVAL_S = interval_s
