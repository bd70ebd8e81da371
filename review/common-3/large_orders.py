"""Consumers that send large orders to one entry, for the cases 12 and 13."""

import asyncio
import contextlib
import sys

import bed

__all__ = ["run"]

MEMORY_MB = 300  # of a front machine, [Limits] of its settings
BODY_BYTES = 4 * 1024 * 1024  # MaxBodyBytes of the configuration
# Fewer than the clients of the site (104), on the one machine of the zone that is left.
CONSUMERS = 72
CONSUMERS_CALM = 5
# One order after the other begins after this time; 7.1 a second.
ORDER_GAP_S = 0.14
# Consumers reuse channels that have been idle for four fifths of IdleTimeoutMs.
KEPT_OPEN_S = 12.0
# Those that send at once do so at a steady rate of about 8.4 Mbit/s each.
CONSUMERS_AT_ONCE = 90
UPLOAD_S = 4.0
PIECE_BYTES = 64 * 1024
DEADLINE_MS = 7500
KEPT_CHANNELS = 24
KEPT_GAP_S = 0.02
# For how long small requests are sent beside the orders.
WATCHED_S = 14.0


async def respond(server, request):
    """Answer a request soundly."""
    if request.path.startswith("/look/"):
        await asyncio.sleep(1.0)
    body = b"%d bytes" % len(request.body)
    head = server.head(request, extra=f"Content-Length: {len(body)}\r\n")
    request.writer.write(head.encode() + b"\r\n" + body)
    await request.writer.drain()


async def upload(port, number, is_at_once):
    """Send one order with a large body; return its status, or why there is none."""
    loop = asyncio.get_running_loop()
    if not is_at_once:
        await asyncio.sleep(ORDER_GAP_S * number)
    try:
        reader, writer = await asyncio.open_connection(bed.HOST, port)
        head = bed.request_head(
            "POST",
            "/order/1",
            f"u-{number}",
            deadline_ms=DEADLINE_MS,
            length=BODY_BYTES,
        )
        writer.write(head)
        piece = bytes(PIECE_BYTES)
        began = loop.time()
        for sent in range(0, BODY_BYTES, PIECE_BYTES):
            writer.write(piece)
            await writer.drain()
            if is_at_once:
                due = began + UPLOAD_S * (sent + PIECE_BYTES) / BODY_BYTES
                await asyncio.sleep(max(0.0, due - loop.time()))
        answer = await asyncio.wait_for(bed.read_head(reader), DEADLINE_MS / 1000)
        if answer is not None and not is_at_once:
            # The consumer keeps its channel for the next request.
            await bed.read_body(reader, answer[1])
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(reader.read(), KEPT_OPEN_S)
        writer.close()
        return answer[0].split(" ")[1] if answer else "channel ended"
    except (OSError, TimeoutError) as exc:
        return type(exc).__name__


async def upload_all(port, count, is_at_once):
    """Send the orders of all consumers; print how they ended."""
    answers = await asyncio.gather(*(upload(port, n, is_at_once) for n in range(count)))
    for answer in sorted(set(answers)):
        print(f"{answers.count(answer)} orders: {answer}")


async def look_up(record, entry, number, until, lost):
    """Send small requests on one kept channel; note those that get no answer."""
    loop = asyncio.get_running_loop()
    count = 0
    # Not in step with the others.
    await asyncio.sleep(0.04 * number)
    request_id = "none"
    try:
        reader, writer = await asyncio.open_connection(bed.HOST, entry.front)
        while loop.time() < until:
            request_id = f"k-{number}-{count}"
            writer.write(
                bed.request_head("GET", "/look/1", request_id, deadline_ms=DEADLINE_MS)
            )
            answer = await asyncio.wait_for(bed.read_head(reader), DEADLINE_MS / 1000)
            if answer is None:
                raise ConnectionResetError("the channel ended without an answer")
            await bed.read_body(reader, answer[1])
            count += 1
            if answer[1].get("connection", "").lower() == "close":
                writer.close()
                reader, writer = await asyncio.open_connection(bed.HOST, entry.front)
            await asyncio.sleep(KEPT_GAP_S)
        writer.close()
    except (OSError, TimeoutError, asyncio.IncompleteReadError) as exc:
        lost.append(request_id)
        record.write(f"{request_id} on a kept channel after {count} answers: {exc!r}")


async def enforce_memory(record, entry):
    """End the process once it exceeds its memory, as the platform does."""
    most = 0.0
    while entry.process.returncode is None:
        used = entry.memory_mb()
        if used > most + 20:
            most = used
            record.write(f"{entry.name} uses {used:.0f} of {MEMORY_MB} MB")
        if used > MEMORY_MB:
            record.write(f"{entry.name} exceeds its memory: the platform kills it")
            entry.process.kill()
            return
        await asyncio.sleep(0.02)


async def scenario(record, trouble, started, *, is_at_once):
    """Play the case; return the broken rules."""
    store = bed.Store()
    await store.start()
    server = bed.Server(
        instance="i-7f3a91c2",
        service="wuno96b",
        zone="kamloops",
        record=record,
        respond=respond,
        slots=48,
    )
    await server.start(store)
    routes = [
        bed.route("/look/", "wuno96b", "safe"),
        bed.route("/order/", "wuno96b", "unsafe"),
    ]
    store.put("op/config", bed.configuration(routes))
    entry = bed.Entry(
        name="front-kamloops-1", zone="kamloops", store=store, record=record
    )
    started.append(entry)
    await entry.start()
    await entry.wait_ready()
    # Longer than StableWindowMs: the machine is in touch.
    await asyncio.sleep(4.0)
    watching = asyncio.create_task(enforce_memory(record, entry))
    loop = asyncio.get_running_loop()
    until, lost = loop.time() + WATCHED_S, []
    kept = [
        asyncio.create_task(look_up(record, entry, n, until, lost))
        for n in range(KEPT_CHANNELS)
    ]
    await asyncio.sleep(1.0)
    number = CONSUMERS_AT_ONCE if is_at_once else CONSUMERS
    number = number if trouble else CONSUMERS_CALM
    manner = "all at once" if is_at_once else f"one each {ORDER_GAP_S} s"
    record.write(f"{number} consumers send an order of {BODY_BYTES} bytes, {manner}")
    # The consumers are a process of their own, so that they don't delay the stand-ins.
    uploads = await asyncio.create_subprocess_exec(
        sys.executable,
        __file__,
        str(entry.front),
        str(number),
        "at once" if is_at_once else "in turn",
        stdout=asyncio.subprocess.PIPE,
    )
    output, _ = await uploads.communicate()
    for line in output.decode().splitlines():
        record.write(line)
    await asyncio.gather(*kept)
    watching.cancel()
    passed_on = [request_id for request_id in lost if request_id in server.runs]
    record.write(
        f"{len(passed_on)} requests from kept channels were passed on and not answered"
    )
    if len(passed_on) <= 3:
        return []
    return [
        f"LOST: {len(passed_on)} requests from kept channels were passed on to a sound "
        "server, and their channels ended without an answer"
    ]


def run(folder, *, is_at_once):
    """Run the case in a folder; see `bed.run_case`."""

    async def play(record, trouble, started):
        return await scenario(record, trouble, started, is_at_once=is_at_once)

    bed.run_case(play, folder)


if __name__ == "__main__":
    asyncio.run(
        upload_all(int(sys.argv[1]), int(sys.argv[2]), sys.argv[3] == "at once")
    )
