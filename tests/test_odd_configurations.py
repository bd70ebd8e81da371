"""Configurations that are valid but cannot be served, and single entries.

Callers get a coded rejection at once, and other routes are served.
"""

import asyncio
import json

from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    route_document,
)

SOUND = route_document("/look/", "plain")
TEST_LIMIT_S = 30


def test_request_to_a_service_without_servers_is_rejected_at_once():
    _check_rejected(route_document("/none/", "model"))


def test_request_to_a_service_that_is_not_listed_is_rejected_at_once():
    _check_rejected(route_document("/none/", "nowhere"))


def test_request_to_a_stream_of_a_service_without_servers_is_rejected_at_once():
    _check_rejected(route_document("/none/", "nowhere", kind="streaming"))


def test_request_to_shares_that_are_all_zero_is_rejected_at_once():
    shares = [{"Service": "plain", "Weight": 0}, {"Service": "model", "Weight": 0}]
    _check_rejected(route_document("/none/", "plain", Split=shares))


def test_share_of_zero_gets_no_requests():
    shares = [{"Service": "plain", "Weight": 3}, {"Service": "nowhere", "Weight": 0}]

    async def scenario(site, entry):
        for number in range(20):
            assert (await site.call(entry, "GET", f"/split/{number}"))[0] == 200

    _run(route_document("/split/", "plain", Split=shares), scenario)


def _check_rejected(route):
    async def scenario(site, entry):
        loop = asyncio.get_running_loop()
        began_at = loop.time()
        method = "GET" if route["Kind"] == "safe" else "POST"
        status, headers, body = await site.call(entry, method, route["Prefix"] + "1")
        problem = json.loads(body)
        assert status == 503, problem
        assert float(headers["Retry-After"]) > 0
        assert problem["code"] in ("OVERLOADED", "NOT_RUN"), problem
        assert loop.time() - began_at < 1.0
        assert (await site.call(entry, "GET", "/look/1"))[0] == 200

    _run(route, scenario)


def _run(route, scenario):
    async def run_with_limit():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            document = configuration_document(3, [SOUND, route])
            document["Services"] = [
                service
                for service in document["Services"]
                if service["Name"] != "nowhere"
            ]
            site.configure(document)
            await site.add_endpoint("plain-1", "plain")
            await scenario(site, await site.add_entry())

    asyncio.run(run_with_limit())
