"""Servers write refusals that belong to no request, or to an earlier one.

Callers are told "not run" only of requests that no server has run or will run.
"""

import asyncio

from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    route_document,
)

REQUEST_ID = "X-Magnoliagrade-Request-Id"
PROMISES = (408, 421, 429, 503)
TEST_LIMIT_S = 25


def test_refusal_of_another_request_does_not_say_that_an_order_has_not_run():
    async def scenario(site, entry):
        for endpoint in site.endpoint_by_id.values():
            endpoint.behaviour.fault = "other-refusal"
        await _check_orders(site, entry, orders=8)

    _run(scenario)


def test_refusal_that_is_written_again_on_a_connection_is_of_no_other_order():
    async def scenario(site, entry):
        for turn in range(6):
            for number, endpoint in enumerate(site.endpoint_by_id.values()):
                is_faulty = (turn + number) % 2
                endpoint.behaviour.fault = "repeated-refusal" if is_faulty else ""
            await _check_orders(site, entry, orders=4, first=10 * turn)

    _run(scenario)


async def _check_orders(site, entry, *, orders, first=0):
    """Send orders; none that is told not to have run runs, and none runs twice."""
    for number in range(first, first + orders):
        request_id = f"order-{number}"
        status, _, _ = await site.call(
            entry, "POST", "/order/1", data="x", headers={REQUEST_ID: request_id}
        )
        await asyncio.sleep(0.02)
        runs = [e.id for e in site.endpoint_by_id.values() if request_id in e.runs]
        assert len(runs) <= 1, (status, runs)
        assert not (status in PROMISES and runs), (status, runs)


def _run(scenario):
    async def run():
        async with asyncio.timeout(TEST_LIMIT_S), OperatorsSite() as site:
            for number in range(3):
                await site.add_endpoint(f"plain-{number}", "plain")
            route = route_document("/order/", "plain", kind="unsafe", MaxAttempts=3)
            site.configure(configuration_document(1, [route]))
            await scenario(site, await site.add_entry())

    asyncio.run(run())
