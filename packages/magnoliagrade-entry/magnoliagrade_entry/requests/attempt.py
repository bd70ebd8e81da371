"""One attempt: a request sent to one agent or peer entry."""

import asyncio

import aiohttp
from magnoliagrade.errors import ErrorKind, MagnoliagradeError, Ran
from magnoliagrade.http import EventSplitter, send_once, write_request_headers
from magnoliagrade.http import headers as names
from magnoliagrade.observability import get_tracer, inject_context

__all__ = ["AttemptFailed", "run_attempt"]

HELD_ANSWER_BYTES = 256 * 1024
STALL_LIMIT_S = 10.0
_tracer = get_tracer(__name__)


class AttemptFailed(MagnoliagradeError):
    """An attempt did not give a whole answer.

    Parameters
    ----------
    kind : ErrorKind
        What to tell the caller if no other attempt follows.
    detail : str
        What happened.
    ran : Ran
        Whether this attempt ran at its back end.
    retry_after : float, optional
        Seconds after which another attempt makes sense.
    """

    def __init__(self, kind, detail, *, ran, retry_after=None):
        super().__init__(kind, detail, retry_after=retry_after)
        self.ran = ran


async def run_attempt(*, node, request, placement, attempt, sink):
    """Send a request to its placement and its answer to the sink.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    request : Request
        The request.
    placement : Placement
        Where it goes.
    attempt : str
        Id of the attempt.
    sink : ResponseSink
        Where the answer goes.

    Raises
    ------
    AttemptFailed
        If the answer is not whole.

    Notes
    -----
    Nothing is passed to the sink before the answer has been checked to belong to
    this attempt. Short answers are held until they are whole, events until each
    is, so that another attempt can take over at any failure.
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
        left_s = request.deadline - node.clock.monotonic()
        try:
            async with asyncio.timeout(left_s):
                await _exchange(node.session, request, attempt, url, headers, sink)
        except TimeoutError as exc:
            detail = f"no whole answer within the deadline from {placement.name}"
            raise AttemptFailed(ErrorKind.DEADLINE, detail, ran=Ran.UNKNOWN) from exc


async def _exchange(session, request, attempt, url, headers, sink):
    try:
        response = await send_once(
            session,
            request.method,
            url,
            data=request.body or None,
            headers=headers,
            read_timeout_s=STALL_LIMIT_S if request.streaming else None,
        )
    except (aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError) as exc:
        raise AttemptFailed(ErrorKind.NOT_RUN, str(exc), ran=Ran.NO) from exc
    except (aiohttp.ClientError, OSError) as exc:
        detail = f"connection lost before an answer: {type(exc).__name__}"
        raise AttemptFailed(ErrorKind.OUTCOME_UNKNOWN, detail, ran=Ran.UNKNOWN) from exc
    async with response:
        await _raise_for_refusal(response)
        _check_own(response, attempt)
        await _copy_answer(response, sink)


async def _raise_for_refusal(response):
    code = response.headers.get(names.CODE)
    if code is None:
        return
    ran = Ran(response.headers[names.RAN])
    try:
        detail = (await response.json(content_type=None))["detail"]
    except (aiohttp.ClientError, ValueError, KeyError, TypeError):
        detail = f"refused with {code}"
    after = response.headers.get("Retry-After")
    raise AttemptFailed(
        ErrorKind(code), detail, ran=ran, retry_after=float(after) if after else None
    )


def _check_own(response, attempt):
    echoed = response.headers.get(names.ATTEMPT)
    if echoed == attempt and names.RAN in response.headers:
        return
    response.close()
    detail = f"answer to attempt {echoed!r} came to attempt {attempt!r}"
    raise AttemptFailed(ErrorKind.OUTCOME_UNKNOWN, detail, ran=Ran.UNKNOWN)


async def _copy_answer(response, sink):
    if response.content_type == "text/event-stream":
        await _copy_events(response, sink)
    elif sink.tokens_written:
        response.close()
        raise _broken("a stream was resumed by an answer that is none", sink)
    elif (response.content_length or HELD_ANSWER_BYTES) < HELD_ANSWER_BYTES:
        await _copy_held(response, sink)
    else:
        await _copy_parts(response, sink)


async def _copy_events(response, sink):
    splitter = EventSplitter()
    if not sink.has_started:
        await sink.start(response.status, response.headers)
    async for part in _parts(response, sink):
        try:
            events = splitter.feed(part)
        except ValueError as exc:
            raise _broken(str(exc), sink) from exc
        if events.data:
            await sink.write(events.data, tokens=events.tokens)
        if events.is_stream_end:
            await sink.finish()
            return
    raise _broken("stream ended without its end event", sink)


async def _copy_held(response, sink):
    held = [part async for part in _parts(response, sink)]
    await sink.start(response.status, response.headers)
    await sink.write(b"".join(held))
    await sink.finish()


async def _copy_parts(response, sink):
    await sink.start(response.status, response.headers)
    async for part in _parts(response, sink):
        await sink.write(part)
    await sink.finish()


async def _parts(response, sink):
    """Yield the body; only its own failures become failures of the attempt."""
    while True:
        try:
            part = await response.content.readany()
        except (aiohttp.ClientError, OSError) as exc:
            raise _broken(f"answer broke off: {type(exc).__name__}", sink) from exc
        if not part:
            return
        yield part


def _broken(what, sink):
    detail = f"{what} after {sink.bytes_written} bytes"
    return AttemptFailed(ErrorKind.ANSWER_BROKEN, detail, ran=Ran.YES)
