"""Two groups of ranks serve one service, and one of them loses a rank."""

import asyncio
import contextlib
import io

from magnoliagrade.platform import rank_group_key
from magnoliagrade_entry.commands import Exit, show_explanation
from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    route_document,
)

ROUTES = [route_document("/stream/", "model", kind="streaming")]
BROKEN, SOUND = ("model-1", "model-2"), ("model-3", "model-4")
TEST_LIMIT_S = 25


def test_requests_go_to_the_other_group_without_a_rejection():
    async def scenario(site, entry):
        for name in BROKEN:
            site.endpoint_by_id[name].behaviour.fault = "broken-group"
        for _ in range(20):
            status, _, _ = await site.call(entry, "POST", "/stream/1", data="p")
            assert status == 200
        rejected = sum(len(site.endpoint_by_id[name].headers_seen) for name in BROKEN)
        # One rejection for each of the ranks that show the outage, and one in flight.
        assert rejected <= 3
        for name in BROKEN:
            site.endpoint_by_id[name].behaviour.fault = ""
        await _await(lambda: not _is_out(entry, "g-1"))
        assert sum(site.endpoint_by_id[name].reports for name in BROKEN)

    _run(scenario)


def test_notice_of_a_broken_group_keeps_requests_from_it():
    async def scenario(site, entry):
        _publish(site, entry, "g-1", BROKEN, is_open=False)
        await _await(lambda: _is_out(entry, "g-1"))
        # Its servers still accept requests, and report it as open after a while.
        for name in BROKEN:
            site.endpoint_by_id[name].behaviour.fault = "broken-group"
        for _ in range(10):
            status, _, _ = await site.call(entry, "POST", "/stream/1", data="p")
            assert status == 200
        assert not any(site.endpoint_by_id[name].headers_seen for name in BROKEN)
        text = await _explain(entry, "/stream/1")
        assert "group g-1 is out" in text and "send to one of 2 endpoints" in text
        _publish(site, entry, "g-1", BROKEN, is_open=True, epoch=2)
        await _await(lambda: not _is_out(entry, "g-1"))

    _run(scenario)


def test_explanation_sends_nothing_and_names_what_is_wrong():
    async def scenario(site, entry):
        assert "send to one of 4 endpoints" in await _explain(entry, "/stream/1")
        assert "no route matches" in await _explain(entry, "/other/1")
        assert await _explain(entry, "no path", exit=Exit.FAILED) == ""
        endpoints = site.endpoint_by_id.values()
        assert not any(endpoint.headers_seen for endpoint in endpoints)

    _run(scenario)


async def _explain(entry, target, *, exit=Exit.DONE):
    output = io.StringIO()
    with contextlib.redirect_stdout(output):
        result = await show_explanation(
            entry.admin_address,
            host="a.example",
            target=target,
            organisation="org-1",
            is_json=False,
        )
    assert result is exit
    return output.getvalue()


def _is_out(entry, group):
    outages = entry.endpoint_table.outages
    return any(
        outages.is_domain_unavailable(domain)
        for domain in outages.domains_of("model")
        if domain.group == group
    )


def _publish(site, entry, name, members, *, is_open=True, epoch=1):
    by_id = entry.endpoint_table.by_id
    addresses = [by_id[member].endpoint.address for member in members]
    notice = {"epoch": epoch, "is_open": is_open, "addresses": addresses}
    site.store.put(rank_group_key(name), notice)


async def _await(condition):
    async with asyncio.timeout(5):
        while not condition():
            await asyncio.sleep(0.02)


def _run(scenario):
    async def run_with_limit():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            site.configure(configuration_document(3, ROUTES))
            for name in (*BROKEN, *SOUND):
                await site.add_endpoint(name, "model")
            entry = await site.add_entry(retry_extra=100.0)
            _publish(site, entry, "g-1", BROKEN)
            _publish(site, entry, "g-2", SOUND)
            groups = entry.site_state.rank_groups_by_name
            await _await(lambda: len(groups) == 2)
            await scenario(site, entry)

    asyncio.run(run_with_limit())
