"""One attempt: a request sent to one agent or peer entry."""

import asyncio
import logging

import aiohttp
from magnoliagrade.errors import ErrorKind, MagnoliagradeError, Ran
from magnoliagrade.http import headers as names
from magnoliagrade.http import write_request_headers
from magnoliagrade.observability import get_tracer, inject_context

__all__ = ["AttemptFailed", "run_attempt"]

READ_BYTES = 64 * 1024
STREAM_END = b"data: [DONE]"
_tracer = get_tracer(__name__)
_log = logging.getLogger(__name__)


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
    sink : AnswerSink
        Where the answer goes.

    Raises
    ------
    AttemptFailed
        If the answer is not whole.
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
            now=node.clock.monotonic(),
            forwarded_from=node.identity.data_centre if placement.peer else "",
        )
        inject_context(headers)
        url = f"http://{placement.data_address}{request.path}"
        left_s = request.deadline - node.clock.monotonic()
        try:
            async with asyncio.timeout(left_s):
                await _exchange(node.session, request, url, headers, sink)
        except TimeoutError as exc:
            detail = f"no whole answer within the deadline from {placement.name}"
            raise AttemptFailed(ErrorKind.DEADLINE, detail, ran=Ran.UNKNOWN) from exc


async def _exchange(session, request, url, headers, sink):
    try:
        response = await session.request(
            request.method, url, data=request.body or None, headers=headers
        )
    except aiohttp.ClientConnectorError as exc:
        raise AttemptFailed(ErrorKind.NOT_RUN, str(exc), ran=Ran.NO) from exc
    except (aiohttp.ClientError, OSError) as exc:
        detail = f"connection lost before an answer: {type(exc).__name__}"
        raise AttemptFailed(ErrorKind.OUTCOME_UNKNOWN, detail, ran=Ran.UNKNOWN) from exc
    async with response:
        await _raise_for_refusal(response)
        await _copy_answer(request, response, sink)


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


async def _copy_answer(request, response, sink):
    tail = b""
    try:
        await sink.start(response.status, response.headers)
        async for part in response.content.iter_any():
            tail = (tail + part)[-2 * len(STREAM_END) :]
            await sink.write(part)
    except (aiohttp.ClientPayloadError, aiohttp.ServerDisconnectedError) as exc:
        detail = f"answer broke off after {sink.bytes_written} bytes"
        raise AttemptFailed(ErrorKind.ANSWER_BROKEN, detail, ran=Ran.YES) from exc
    is_stream = response.content_type == "text/event-stream"
    if is_stream and STREAM_END not in tail:
        detail = f"stream ended without its end event at {sink.bytes_written} bytes"
        raise AttemptFailed(ErrorKind.ANSWER_BROKEN, detail, ran=Ran.YES)
    await sink.finish()
