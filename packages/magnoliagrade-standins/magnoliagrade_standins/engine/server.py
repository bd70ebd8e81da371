"""HTTP interface of the engine stand-in; docs/PLATFORM.md gives the protocol."""

import json

from aiohttp import web
from magnoliagrade.algorithms import hash64

from magnoliagrade_standins.engine.engine import (
    EngineCrashed,
    EngineRequest,
    expected_text,
)
from magnoliagrade_standins.faults import (
    ResponseFaults,
    abort,
    send_stale_copy,
    send_truncated,
)

__all__ = ["make_engine_app"]

# The tokens of a prompt are estimated as its length divided by this number.
BYTES_PER_TOKEN = 4
# Number of tokens generated for a request without `max_tokens`.
DEFAULT_OUTPUT_TOKENS = 128
# Prompts whose first characters, up to this number, are equal share a prefix.
PREFIX_BYTES = 256
# A stream with the fault `drop` or `truncate` ends after this many tokens.
TOKENS_BEFORE_CUT_OFF = 3


def make_engine_app(engine):
    """Return the HTTP application that serves an engine.

    Parameters
    ----------
    engine : Engine
        Engine that generates the responses; the caller runs it.
    """
    faults = ResponseFaults()

    async def complete(http_request):
        fields = await http_request.json()
        request = _engine_request(http_request.headers, fields)
        engine.submit(request)
        try:
            if fields.get("stream"):
                return await _stream(http_request, request, faults)
            return await _complete(http_request, request, faults)
        finally:
            engine.cancel(request)

    async def load(_request):
        return web.json_response(engine.load_report())

    async def record(_request):
        return web.json_response({**_record(engine), "faults": faults.given})

    async def control(http_request):
        fields = await http_request.json()
        if fields.get("restart"):
            engine.restart()
        if "faults" in fields:
            faults.set(fields["faults"])
        if "step_scale" in fields:
            engine.step_scale = float(fields["step_scale"])
        return web.Response()

    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.router.add_post("/v1/chat/completions", complete)
    app.router.add_post("/v1/completions", complete)
    app.router.add_get("/load", load)
    app.router.add_get("/record", record)
    app.router.add_post("/control", control)
    return app


def _engine_request(headers, fields):
    if "messages" in fields:
        prompt = "\0".join(json.dumps(m, sort_keys=True) for m in fields["messages"])
    else:
        prompt = fields["prompt"]
    return EngineRequest(
        id=headers.get("X-Request-Id", ""),
        attempt=headers.get("X-Attempt-Id", ""),
        prompt_tokens=max(1, len(prompt) // BYTES_PER_TOKEN),
        output_tokens=fields.get("max_tokens", DEFAULT_OUTPUT_TOKENS),
        prefix=hash64(prompt[:PREFIX_BYTES]),
        done_tokens=int(headers.get("X-Resume-Tokens", "0")),
        priority=int(headers.get("X-Priority", "0")),
    )


async def _stream(http_request, request, faults):
    owner = "other" if faults.take("cross") else request.id
    is_reset = faults.take("drop")
    is_truncated = is_reset or faults.take("truncate")
    response = web.StreamResponse(
        headers={
            "Content-Type": "text/event-stream",
            "X-Request-Id": owner,
            "X-Attempt-Id": request.attempt,
        }
    )
    await response.prepare(http_request)
    sent = 0
    while (text := await request.tokens.get()) is not None:
        if isinstance(text, EngineCrashed):
            http_request.transport.abort()
            return response
        await response.write(_event(owner, text if owner == request.id else "?"))
        sent += 1
        if is_truncated and sent == TOKENS_BEFORE_CUT_OFF:
            if is_reset:
                http_request.transport.abort()
            return response
    await response.write(b"data: [DONE]\n\n")
    if faults.take("trail"):
        await response.write(_event(owner, expected_text("other", 0)))
    await response.write_eof()
    if faults.take("repeat"):
        send_stale_copy(http_request)
    return response


def _event(request_id, text):
    event = {"id": request_id, "choices": [{"delta": {"content": text}}]}
    return f"data: {json.dumps(event)}\n\n".encode()


async def _complete(http_request, request, faults):
    parts = []
    while (text := await request.tokens.get()) is not None:
        if isinstance(text, EngineCrashed):
            http_request.transport.abort()
            return web.Response(status=500)
        parts.append(text)
    response_fields = {
        "id": request.id,
        "choices": [{"message": {"role": "assistant", "content": "".join(parts)}}],
    }
    if faults.take("drop"):
        return abort(http_request)
    owner = "other" if faults.take("cross") else request.id
    headers = {"X-Request-Id": owner, "X-Attempt-Id": request.attempt}
    if faults.take("truncate"):
        return await send_truncated(http_request, response_fields, headers)
    if faults.take("repeat"):
        send_stale_copy(http_request)
    return web.json_response(response_fields, headers=headers)


def _record(engine):
    return {
        "boot_id": engine.boot_id,
        "running": len(engine.running),
        "falls": engine.falls,
        "peak_load": engine.peak_load,
        "cache_hits": engine.cache_hits,
        "cache_lookups": engine.cache_lookups,
        "total_tokens": engine.total_tokens,
        "requests": engine.records,
    }
