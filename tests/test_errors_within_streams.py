"""A stream has begun and broke off, and the next server responds with an error.

The caller's stream goes on at a sound server, or ends with its connection.
"""

import asyncio

import aiohttp
from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    route_document,
)

FAULTS = (
    "error",
    "error-text",
    "error-events",
    "busy",
    "other-refusal",
    "other-answer",
)
EVENTS = 5
STAMP = "X-Magnoliagrade-Response-Stamp"
TEST_LIMIT_S = 40


def test_error_of_the_next_server_does_not_reach_the_caller_of_a_stream():
    async def scenario(site, entry):
        for fault in FAULTS:
            for cut_after in (0, 2):
                for number in range(4):
                    await _check_stream(site, entry, fault, cut_after, number)

    async def run():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            for number in range(2):
                await site.add_endpoint(f"model-{number}", "model", slots=100)
            site.configure(
                configuration_document(
                    1, [route_document("/stream/", "model", kind="streaming")]
                )
            )
            await scenario(site, await site.add_entry())

    asyncio.run(run())


async def _check_stream(site, entry, fault, cut_after, number):
    first, second = site.endpoint_by_id.values()
    if number % 2:
        first, second = second, first
    first.behaviour.fault, first.behaviour.cut_after = "cut-stream", cut_after
    second.behaviour.fault = fault
    for load in entry.endpoint_table.by_id.values():
        load.ejected_until, load.failures, load.paused_until = 0.0, 0, 0.0
    case = fault, cut_after, number
    try:
        status, headers, text = await site.call(entry, "POST", "/stream/1", data="p")
    except aiohttp.ClientError:
        return
    is_from_second = headers.get(STAMP) == f"stamp of {second.id}"
    if status != 200 or (is_from_second and fault == "error-events"):
        # Events that follow no others are a whole response of their server.
        return
    # Only the first server sends events.
    whole = "".join(f"id: {n}\ndata: {n}\n\n" for n in range(1, EVENTS + 1))
    assert text == whole, (case, text, dict(headers))
