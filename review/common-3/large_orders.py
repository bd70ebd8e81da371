"""Consumers that send large requests to one entry, for the cases 12 and 13."""

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
# Time-outs of the site's orders and streams, and the consumers' own limits.
TIMEOUT_MS = 800
STREAM_TIMEOUT_MS = 8000
DEADLINE_MS = 1520
STREAM_DEADLINE_MS = 8051
# A small order, as on the sheet, and how long its server works on it.
SMALL_BYTES = 600
SMALL_S = 0.5
KEPT_CHANNELS = 24
KEPT_GAP_S = 0.02
# For how long small orders are sent beside the large requests.
WATCHED_S = 14.0


async def respond(server, request):
    """Answer a request soundly."""
    if len(request.body) == SMALL_BYTES:
        await asyncio.sleep(SMALL_S)
    body = b"id: 1\ndata: %d bytes\n\n" % len(request.body)
    extra = f"Content-Length: {len(body)}\r\n"
    if request.path.startswith("/describe/"):
        extra += "Content-Type: text/event-stream\r\n"
    head = server.head(request, extra=extra)
    request.writer.write(head.encode() + b"\r\n" + body)
    await request.writer.drain()


async def upload(port, number, is_at_once):
    """Send one large request; return its status, or why there is none."""
    loop = asyncio.get_running_loop()
    path = "/describe/1" if is_at_once else "/order/1"
    deadline_ms = STREAM_DEADLINE_MS if is_at_once else DEADLINE_MS
    if not is_at_once:
        await asyncio.sleep(ORDER_GAP_S * number)
    try:
        reader, writer = await asyncio.open_connection(bed.HOST, port)
        head = bed.request_head(
            "POST",
            path,
            f"u-{number}",
            deadline_ms=deadline_ms,
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
        answer = await asyncio.wait_for(bed.read_head(reader), deadline_ms / 1000)
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
    """Send the requests of all consumers; print how they ended."""
    answers = await asyncio.gather(*(upload(port, n, is_at_once) for n in range(count)))
    for answer in sorted(set(answers)):
        print(f"{answers.count(answer)} answers: {answer}")


async def order_on(record, entry, number, until, lost):
    """Send small orders on one kept channel; note those that get no answer."""
    loop = asyncio.get_running_loop()
    count = 0
    # Not in step with the others.
    await asyncio.sleep(0.04 * number)
    request_id = "none"
    try:
        reader, writer = await asyncio.open_connection(bed.HOST, entry.front)
        while loop.time() < until:
            request_id = f"k-{number}-{count}"
            head = bed.request_head(
                "POST",
                "/order/2",
                request_id,
                deadline_ms=DEADLINE_MS,
                length=SMALL_BYTES,
            )
            writer.write(head + bytes(SMALL_BYTES))
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
    servers = [
        bed.Server(
            instance=f"i-7f3a91c{number}",
            service="wuno96b",
            zone=zone,
            record=record,
            respond=respond,
            slots=16,
        )
        for number, zone in enumerate(["kamloops", "kelowna", "vernon"])
    ]
    for server in servers:
        await server.start(store)
    routes = [
        bed.route("/order/", "wuno96b", "unsafe", TimeoutMs=TIMEOUT_MS),
        bed.route(
            "/describe/",
            "wuno96b",
            "streaming",
            TimeoutMs=STREAM_TIMEOUT_MS,
            Resumable=True,
        ),
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
        asyncio.create_task(order_on(record, entry, n, until, lost))
        for n in range(KEPT_CHANNELS)
    ]
    await asyncio.sleep(1.0)
    number = CONSUMERS_AT_ONCE if is_at_once else CONSUMERS
    number = number if trouble else CONSUMERS_CALM
    manner = "all at once" if is_at_once else f"one each {ORDER_GAP_S} s"
    record.write(f"{number} consumers send {BODY_BYTES} bytes each, {manner}")
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
    runs = {request_id for server in servers for request_id in server.runs}
    passed_on = [request_id for request_id in lost if request_id in runs]
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
