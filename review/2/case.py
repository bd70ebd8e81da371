"""A registration of another writer stops the entries from following the store."""

import asyncio
import pathlib
import time

from review.standins.site import configuration, route, run_case

CONFIG_APPLY_S = 2.0
# Requests are sent from this long after the ack of the second configuration on: the
# bound and a margin for the time between sending and ack.
FIRST_S = CONFIG_APPLY_S + 0.2
LAST_S = 10.0
INTERVAL_S = 0.1
KEYS = {"hule930": ["key-1"]}


def _registration():
    # A number of 400 digits, which no float can hold.
    return {
        "Service": "order-desk",
        "Address": "127.0.0.1:8120",
        "Zone": "kamloops",
        "Version": "v1",
        "Slots": 6,
        "State": "ready",
        "ColdRemainingMs": int("9" * 400),
        "Sequence": 1,
        "born": 1700000000000,
    }


async def case(site, has_trouble):
    """Return the orders that the former service ran after the bound."""
    for number, zone in enumerate(("kamloops", "kelowna", "vernon"), 1):
        await site.add_server(f"i-old-{number}", "order-desk", zone=zone)
        await site.add_server(f"i-new-{number}", "order-hall", zone=zone)
    look = route("/look/", "order-hall", kind="safe", TimeoutMs=800)
    first = route("/order/", "order-desk", kind="unsafe", TimeoutMs=800)
    second = route("/order/", "order-hall", kind="unsafe", TimeoutMs=800)
    site.configure(configuration(1, [first, look], tenants=KEYS))
    entries = [
        await site.add_entry(f"front-{zone}-1", zone=zone)
        for zone in ("kamloops", "kelowna", "vernon")
    ]
    # StableWindowMs without any disruption.
    await asyncio.sleep(3.5)
    if has_trouble:
        site.store.put("servers/i-other-writer", _registration())
        site.record("another writer writes servers/i-other-writer")
    await asyncio.sleep(0.5)
    acked_at = site.configure(configuration(2, [second, look], tenants=KEYS))
    await asyncio.sleep(FIRST_S)
    broken = []
    statuses = {}
    consumers = [site.consumer(entry) for entry in entries]
    while time.monotonic() < acked_at + LAST_S:
        for consumer in consumers:
            sent_s = time.monotonic() - acked_at
            request_id, answer = await consumer.call(
                "POST", "/order/1", key="key-1", body=b"x" * 600, deadline_ms=1520
            )
            at = [s.id for s in site.servers if request_id in s.run_at_by_id]
            statuses.setdefault((answer.status, *at), []).append(sent_s)
            if any(server.startswith("i-old") for server in at):
                broken.append(
                    f"CONFIG {request_id}, sent {sent_s:.2f} s after the ack of "
                    f"version 2, was run by {at[0]} of the former service"
                )
        await asyncio.sleep(INTERVAL_S)
    for (status, *at), times in sorted(statuses.items()):
        site.record(
            f"{len(times)} requests got {status} from {at or 'no server'}, sent "
            f"{min(times):.2f} to {max(times):.2f} s after the ack"
        )
    return broken


if __name__ == "__main__":
    run_case(case, pathlib.Path(__file__).parent)
