"""Sending a request to one agent or peer entry and copying its response."""

import asyncio
import json

import aiohttp
from magnoliagrade.errors import ErrorKind, MagnoliagradeError, Ran
from magnoliagrade.http import (
    EventSplitter,
    ResponseTooLong,
    read_limited,
    send_once,
    write_request_headers,
)
from magnoliagrade.http import headers as header_names
from magnoliagrade.observability import get_tracer, inject_context

__all__ = ["AttemptFailed", "run_attempt"]

# Only responses with a shorter Content-Length are buffered.
MAX_BUFFERED_RESPONSE_BYTES = 256 * 1024
# Longest description of an error by a process of this system.
REJECTION_LIMIT_BYTES = 64 * 1024
# Longest pause between two reads of a streaming response.
STALL_TIMEOUT_S = 10.0
_tracer = get_tracer(__name__)


class AttemptFailed(MagnoliagradeError):
    """Raised when an attempt did not give a complete response.

    Parameters
    ----------
    kind : ErrorKind
        Error that the caller gets if no other attempt follows.
    detail : str
        Description of the failure.
    ran : Ran
        Whether this attempt ran at an endpoint, as far as is known.
    retry_after : float, optional
        Seconds after which a retry may succeed.
    """

    def __init__(self, kind, detail, *, ran, retry_after=None):
        super().__init__(kind, detail, retry_after=retry_after)
        self.ran = ran


async def run_attempt(*, node, request, placement, attempt, sink):
    """Send a request to its placement and copy the response to the sink.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    request : Request
        The request.
    placement : Placement
        Endpoint or peer entry that it is sent to.
    attempt : str
        Id of the attempt.
    sink : ResponseSink
        Destination of the response.

    Raises
    ------
    AttemptFailed
        If the request was rejected or its connection lost, or if the response belongs
        to another attempt, is incomplete or misses the deadline.

    Notes
    -----
    Nothing is written to the sink before the response has been checked to belong to
    this attempt. Short responses are buffered until they are complete, and each event
    of a stream until that event is complete, so that another attempt can continue
    after a failure.
    """
    with _tracer.start_as_current_span(
        "attempt",
        attributes={
            "magnoliagrade.attempt": attempt,
            "magnoliagrade.endpoint": placement.name,
            "magnoliagrade.reason": placement.reason,
        },
    ):
        headers = write_request_headers(
            request,
            attempt=attempt,
            entry=node.identity.instance,
            incarnation=placement.incarnation,
            now=node.clock.monotonic(),
            forwarded_from=node.identity.data_centre if placement.peer else "",
            resume_tokens=sink.tokens_written,
        )
        inject_context(headers)
        url = f"http://{placement.data_address}{request.path}"
        remaining_s = request.deadline - node.clock.monotonic()
        try:
            async with asyncio.timeout(remaining_s):
                await _exchange(node, request, attempt, url, headers, sink)
        except TimeoutError as exc:
            detail = f"no complete response from {placement.name} before the deadline"
            raise AttemptFailed(ErrorKind.DEADLINE, detail, ran=Ran.UNKNOWN) from exc


async def _exchange(node, request, attempt, url, headers, sink):
    try:
        response = await send_once(
            node.session,
            request.method,
            url,
            data=request.body or None,
            headers=headers,
            read_timeout_s=STALL_TIMEOUT_S if request.streaming else None,
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise AttemptFailed(ErrorKind.NOT_RUN, str(exc), ran=Ran.NO) from exc
    except (aiohttp.ClientError, OSError) as exc:
        detail = (
            f"attempt {attempt!r} lost its connection before a response: "
            f"{type(exc).__name__}"
        )
        raise AttemptFailed(ErrorKind.OUTCOME_UNKNOWN, detail, ran=Ran.UNKNOWN) from exc
    async with response:
        await _raise_for_rejection(response)
        _check_attempt_id(response, attempt)
        source = f"{response.url.host}:{response.url.port}"
        hold = node.response_memory.hold()
        try:
            with hold, hold.receiving(source=source, close=response.close):
                await _copy_response(response, sink, hold)
        except ResponseTooLong as exc:
            raise _incomplete_response(str(exc), sink) from exc


async def _raise_for_rejection(response):
    code = response.headers.get(header_names.CODE)
    if code is None:
        return
    ran = Ran(response.headers[header_names.RAN])
    try:
        body = await read_limited(response, REJECTION_LIMIT_BYTES)
        detail = json.loads(body)["detail"]
    except (aiohttp.ClientError, ValueError, KeyError, TypeError):
        detail = f"rejected with {code}"
    retry_after = response.headers.get("Retry-After")
    raise AttemptFailed(
        ErrorKind(code),
        detail,
        ran=ran,
        retry_after=float(retry_after) if retry_after else None,
    )


def _check_attempt_id(response, attempt):
    echoed = response.headers.get(header_names.ATTEMPT)
    if echoed == attempt and header_names.RAN in response.headers:
        return
    response.close()
    detail = f"attempt {attempt!r} got the response to attempt {echoed!r}"
    raise AttemptFailed(ErrorKind.OUTCOME_UNKNOWN, detail, ran=Ran.UNKNOWN)


async def _copy_response(response, sink, hold):
    is_stream = response.content_type == "text/event-stream"
    is_resumed = sink.has_started or sink.tokens_written > 0
    if is_resumed and not (is_stream and response.status == 200):
        response.close()
        raise _incomplete_response(
            f"response to a resumed stream has status {response.status} and type "
            f"{response.content_type!r}",
            sink,
        )
    if is_stream:
        await _copy_events(response, sink, hold)
    elif (
        response.content_length or MAX_BUFFERED_RESPONSE_BYTES
    ) < MAX_BUFFERED_RESPONSE_BYTES:
        await _copy_buffered(response, sink, hold)
    else:
        await _copy_chunks(response, sink)


async def _copy_events(response, sink, hold):
    splitter = EventSplitter()
    if not sink.has_started:
        await sink.start(response.status, response.headers)
    async for chunk in _read_chunks(response, sink):
        try:
            events = splitter.feed(chunk)
        except ValueError as exc:
            raise _incomplete_response(str(exc), sink) from exc
        hold.resize(splitter.held_bytes + len(events.data))
        if events.data:
            await sink.write(events.data, tokens=events.tokens)
            hold.resize(splitter.held_bytes)
        if events.is_stream_end:
            await sink.finish()
            return
    raise _incomplete_response("stream ended without its end event", sink)


async def _copy_buffered(response, sink, hold):
    body = bytearray()
    async for chunk in _read_chunks(response, sink):
        body += chunk
        hold.resize(len(body))
    await sink.start(response.status, response.headers)
    await sink.write(bytes(body))
    await sink.finish()


async def _copy_chunks(response, sink):
    await sink.start(response.status, response.headers)
    async for chunk in _read_chunks(response, sink):
        await sink.write(chunk)
    await sink.finish()


async def _read_chunks(response, sink):
    """Yield the body's chunks; raise `AttemptFailed` if reading one fails."""
    while True:
        try:
            chunk = await response.content.readany()
        except (aiohttp.ClientError, OSError) as exc:
            raise _incomplete_response(
                f"response ended early: {type(exc).__name__}", sink
            ) from exc
        if not chunk:
            return
        yield chunk


def _incomplete_response(reason, sink):
    detail = f"{reason} ({sink.bytes_written} bytes written so far)"
    return AttemptFailed(ErrorKind.ANSWER_BROKEN, detail, ran=Ran.YES)
