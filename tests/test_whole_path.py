"""A streamed completion and an order through an entry and an agent to a back end."""

import asyncio
import json

from magnoliagrade_standins.engine import expected_text
from magnoliagrade_standins.harness import Site, SitePlan

PLAN = SitePlan(
    entries_by_data_centre={"kamloops": 1},
    engines_by_data_centre={"kamloops": 1},
    services_by_data_centre={"kamloops": 1},
)
HEADERS = {"Authorization": "Bearer key-0"}


def test_completion_and_order_get_complete_responses_from_the_back_ends():
    asyncio.run(_send_completion_and_order())


async def _send_completion_and_order():
    async with Site(plan=PLAN) as site:
        url = site.caller_url("kamloops-entry-0")
        await _check_completion(site, url)
        await _check_order(site, url)
        assert await site.entry_by_name["kamloops-entry-0"].stop() == 0
        assert await site.agent_by_name["kamloops-model-0"].stop() == 0


async def _check_completion(site, url):
    body = {"model": "swatch", "stream": True, "max_tokens": 5, "prompt": "linen"}
    async with site.session.post(
        f"{url}/v1/completions", json=body, headers=HEADERS
    ) as response:
        assert response.status == 200, await response.text()
        request_id = response.headers["X-Request-Id"]
        lines = [line async for line in response.content]
    events = [line[6:].strip() for line in lines if line.startswith(b"data: ")]
    assert events[-1] == b"[DONE]"
    texts = [json.loads(e)["choices"][0]["delta"]["content"] for e in events[:-1]]
    assert texts == [expected_text(request_id, i) for i in range(5)]


async def _check_order(site, url):
    async with site.session.post(
        f"{url}/orders/reorder", data=b"3 books", headers=HEADERS
    ) as response:
        assert response.status == 200, await response.text()
        response_body = await response.json()
    assert response_body["echo"] == "3 books"
    record = await site.record("kamloops-service-0")
    runs = [(e["id"], e["path"]) for e in record["executions"]]
    assert runs == [(response_body["id"], "/reorder")]
