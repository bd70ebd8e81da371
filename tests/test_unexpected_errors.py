"""Errors that no code expects within the tasks that keep a process up to date.

They guard against entries and agents that go on running with the configuration, the
endpoints and the group as they were before the error, for as long as they live.
"""

import asyncio
import contextlib
from unittest import mock

import aiohttp
from aiohttp import web
from magnoliagrade.store import HttpInstanceList
from magnoliagrade_agent.direct import DirectAgent, DirectAgentSettings
from magnoliagrade_agent.direct.ports import LocalRankClient
from magnoliagrade_entry.direct.knowledge.endpoint_registry import EndpointRegistry
from magnoliagrade_entry.direct.knowledge.site_relay import SiteRelays
from magnoliagrade_entry.direct.placement.limit_exchange import LimitExchange
from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    endpoint_document,
    route_document,
)

TEST_LIMIT_S = 60
# The platform's bound on applying a configuration.
APPLY_LIMIT_S = 2.0
# A task that fails is started again within a second.
RESTART_LIMIT_S = 5.0


def test_change_that_cannot_be_applied_keeps_no_other_from_being_in_force():
    register = EndpointRegistry.register

    def fail_for_odd(self, endpoint, position):
        if endpoint.id == "i-odd":
            raise RuntimeError("unexpected")
        return register(self, endpoint, position)

    async def scenario(site):
        with mock.patch.object(EndpointRegistry, "register", fail_for_odd):
            entry = await _start(site)
            for version in range(2, 8):
                # Servers write their registration again every 1.2 s.
                site.store.put("servers/i-odd", endpoint_document("later", "h:80"))
                await _configure_and_check(site, entry, version)
            started = await site.add_entry()
            status, _, _ = await site.call(started, "GET", "/x/1")
            assert status == 200

    _run(scenario)


def test_site_is_followed_again_after_an_unexpected_error():
    async def scenario(site):
        entry = await _start(site)
        for version in range(2, 5):
            with _failing_once(SiteRelays, "pick"):
                await _configure_and_check(site, entry, version)

    _run(scenario)


def test_free_slots_are_assigned_again_after_an_unexpected_error():
    async def scenario(site):
        await _start(site)
        with mock.patch.object(
            LimitExchange, "issue_due_permits", side_effect=RuntimeError
        ) as issue:
            await _wait_until(lambda: issue.call_count >= 2)
        with mock.patch.object(LimitExchange, "issue_due_permits") as issue:
            await _wait_until(lambda: issue.call_count >= 2)

    _run(scenario)


def test_entry_dials_a_peer_again_after_an_unexpected_error():
    async def scenario(site):
        first = await _start(site)
        second = await site.add_entry()
        await _wait_until(lambda: _are_linked(first, second))
        link = second.peers.link_by_name["entry-0"]
        broken = dict.fromkeys(first.peers._handler_by_class, _raise)
        with mock.patch.object(first.peers, "_handler_by_class", broken):
            link.send(second.peers._full_report())
            await _wait_until(lambda: not first.peers.link_by_name)
        await _wait_until(lambda: _are_linked(first, second))

    _run(scenario)


def test_agent_coordinates_again_after_an_unexpected_error():
    async def scenario(site):
        agent = DirectAgent(settings=_agent_settings(site))
        with mock.patch.object(
            LocalRankClient, "status", side_effect=RuntimeError
        ) as status:
            await agent.start()
            await _wait_until(lambda: status.call_count >= 3)
        await agent.stop()

    _run(scenario)


def test_odd_rows_of_the_platforms_list_keep_no_other_instance_out():
    sound = {
        "name": "entry-0",
        "role": "entry",
        "data_centre": "dc-1",
        "control_address": "127.0.0.1:80",
        "state": "live",
    }
    odd = [
        {},
        [],
        "text",
        None,
        7,
        sound | {"role": "other"},
        sound | {"state": ["live"]},
        sound | {"name": None},
        sound | {"control_address": 80},
    ]

    async def scenario(site):
        rows = [*odd, sound, *odd]

        async def answer(_request):
            return web.json_response(rows)

        app = web.Application()
        app.add_routes([web.get("/v1/instances", answer)])
        address = await site._serve(app)
        async with aiohttp.ClientSession() as session:
            listing = HttpInstanceList(
                url=f"http://{address}/v1/instances", session=session
            )
            instances = await listing.fetch()
        assert [instance.name for instance in instances] == ["entry-0"]

    _run(scenario)


async def _start(site):
    for name in ("former", "later"):
        await site.add_endpoint(f"i-{name}", name)
    site.configure(_configuration(1))
    return await site.add_entry()


def _configuration(version):
    former, later = ("former", "later") if version % 2 == 0 else ("later", "former")
    routes = [route_document("/x/", former), route_document("/y/", later)]
    return configuration_document(version, routes)


async def _configure_and_check(site, entry, version):
    """Write a configuration and check that it is in force within the bound."""
    site.configure(_configuration(version))
    await _wait_until(lambda: entry.site_state.version == version, APPLY_LIMIT_S)
    status, _, body = await site.call(entry, "GET", "/x/1")
    service = ("former", "later")[version % 2]
    assert (status, body.split()[-1]) == (200, f"i-{service}"), version


def _agent_settings(site):
    return DirectAgentSettings(
        name="agent-0",
        data_centre="dc-1",
        link_address="127.0.0.1:0",
        server_address="127.0.0.1:9",
        metrics_address="127.0.0.1:0",
        store_address=site.store_address,
    )


def _are_linked(first, second):
    return bool(first.peers.link_by_name and second.peers.link_by_name)


@contextlib.contextmanager
def _failing_once(owner, name):
    """Let the next call of a method raise an error that no caller expects."""
    method = getattr(owner, name)
    calls = []

    def fail_once(*args, **kwargs):
        calls.append(None)
        if len(calls) == 1:
            raise RuntimeError("unexpected")
        return method(*args, **kwargs)

    with mock.patch.object(owner, name, fail_once):
        yield


def _raise(*_args, **_kwargs):
    raise RuntimeError("unexpected")


async def _wait_until(condition, limit_s=RESTART_LIMIT_S):
    async with asyncio.timeout(limit_s):
        while not condition():
            await asyncio.sleep(0.01)


def _run(scenario):
    async def run():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            await scenario(site)

    asyncio.run(run())
