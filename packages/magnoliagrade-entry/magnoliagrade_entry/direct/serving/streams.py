"""Relaying of event streams, resumed at another endpoint when one breaks."""

import asyncio
import logging
import re
from dataclasses import dataclass

from aiohttp import web
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import ResponseTooLong
from magnoliagrade.observability import log_event
from magnoliagrade.platform import response_headers
from prometheus_client import Counter, Histogram

from magnoliagrade_entry.direct.serving.upstream import (
    AttemptFailed,
    too_long_response,
)

__all__ = ["EventReader", "StreamEvent", "relay_stream"]

# Limit on the bytes of one event, which is held in memory until it is complete.
EVENT_LIMIT_BYTES = 1024 * 1024
# A stream without a complete event for this long is resumed elsewhere: longer than a
# stall of a group, and shorter than the two seconds after which callers time out.
STREAM_SILENCE_TIMEOUT_S = 1.9

# End of an event. The expression begins with a fixed byte, which is found fastest.
_BOUNDARY = re.compile(rb"\n\r?\n")
BOUNDARY_BYTES = 3
FIRST_EVENT = Histogram(
    "magnoliagrade_direct_first_event_seconds",
    "Time from arrival to the first event, by the priority of the route",
    ["priority"],
    buckets=(0.05, 0.1, 0.2, 0.3, 0.4, 0.6, 0.9, 1.5, 2, 3, 6),
)
LONGEST_GAP = Histogram(
    "magnoliagrade_direct_longest_gap_seconds",
    "Longest time between two events of a stream, by the priority of the route",
    ["priority"],
    buckets=(0.05, 0.08, 0.1, 0.12, 0.15, 0.2, 0.3, 0.6, 1.5, 3),
)
RESUMED = Counter("magnoliagrade_direct_streams_resumed_total", "Streams resumed")
_log = logging.getLogger(__name__)


@dataclass(slots=True, kw_only=True)
class StreamEvent:
    """One complete event: its bytes, and its id, empty if it has none."""

    data: bytes
    id: str


class EventReader:
    r"""Splits a stream into complete events.

    Examples
    --------
    >>> reader = EventReader()
    >>> [event.id for event in reader.feed(b"id: 1\ndata: a\n\nid: 2\n")]
    ['1']
    >>> reader.has_partial_event
    True
    """

    __slots__ = ("_buffer",)

    def __init__(self):
        self._buffer = bytearray()

    @property
    def held_bytes(self):
        """Bytes of the event that is not complete yet."""
        return len(self._buffer)

    @property
    def has_partial_event(self):
        """Whether the end of an event that has begun is missing."""
        return bool(self._buffer.strip())

    def feed(self, data):
        """Append data to the stream and return the events completed by it.

        Raises
        ------
        AttemptFailed
            If one event exceeds 1 MiB.

        Notes
        -----
        Only the new data is searched, so that a long event takes linear time.
        """
        searched = max(0, len(self._buffer) - (BOUNDARY_BYTES - 1))
        self._buffer += data
        events = []
        begin = 0
        for end in [m.end() for m in _BOUNDARY.finditer(self._buffer, searched)]:
            part = bytes(self._buffer[begin:end])
            events.append(StreamEvent(data=part, id=_id_of(part)))
            begin = end
        del self._buffer[:begin]
        if len(self._buffer) > EVENT_LIMIT_BYTES:
            raise AttemptFailed(
                ErrorKind.ANSWER_BROKEN,
                f"an event of {len(self._buffer)} bytes or more exceeds the limit of "
                f"{EVENT_LIMIT_BYTES} bytes",
                has_run=True,
            )
        return events


async def relay_stream(node, attempts, http_request):
    """Relay a stream to the caller, resuming it at other endpoints if allowed.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    attempts : Attempts
        Attempts of the request.
    http_request : aiohttp.web.BaseRequest
        The caller's request, which the response belongs to.

    Returns
    -------
    response : aiohttp.web.StreamResponse
        The response, sent completely or aborted.

    Raises
    ------
    MagnoliagradeError
        If nothing has been sent to the caller yet.
    """
    relay = _Relay(node=node, attempts=attempts, http_request=http_request)
    try:
        async with node.shutdown.time_limit() as shutdown_limit:
            return await relay.run()
    except TimeoutError:
        if not shutdown_limit.expired():
            raise
        error = attempts.shutdown_error()
        if not relay.has_started:
            raise error from None
        return relay.abort(error)


class _Relay:
    """Relays one caller's stream over all attempts."""

    __slots__ = ("_attempts", "_http_request", "_node", "_response")

    def __init__(self, *, node, attempts, http_request):
        self._node = node
        self._attempts = attempts
        self._http_request = http_request
        self._response = None

    @property
    def has_started(self):
        """Whether the response to the caller has begun."""
        return self._response is not None

    async def run(self):
        """Relay the stream; return the response, complete or aborted."""
        while True:
            try:
                return await self._run_attempt()
            except AttemptFailed as exc:
                exc.forget_frames()
                if not self.may_resume(exc):
                    return self.abort(exc)
            except MagnoliagradeError as exc:
                if not self.has_started:
                    raise
                return self.abort(exc)

    async def _run_attempt(self):
        """Relay the events of one endpoint up to the end of the stream."""
        attempts = self._attempts
        async with attempts.next_attempt() as attempt:
            try:
                async with asyncio.timeout(attempts.remaining_s()):
                    response = await self._relay_events(attempt)
            except TimeoutError:
                raise AttemptFailed(
                    ErrorKind.DEADLINE,
                    f"{attempt.endpoint.id} did not end the stream before the deadline",
                    has_run=True,
                ) from None
            attempt.record_success()
            if attempts.first_event_at is not None:
                priority = attempts.request.priority_label
                LONGEST_GAP.labels(priority).observe(attempts.longest_gap_s)
            return response

    def may_resume(self, failed):
        """Return whether the stream may be resumed at another endpoint.

        Raises
        ------
        MagnoliagradeError
            If it may not, and the response to the caller has not begun.
        """
        try:
            self._attempts.check_retry(failed)
        except MagnoliagradeError:
            if self._response is None:
                raise
            return False
        if self._response is not None:
            RESUMED.inc()
        log_event(
            _log,
            "stream.resumed",
            request_id=self._attempts.request.id,
            after_event=self._attempts.last_event_id,
            detail=failed.detail,
        )
        return True

    def abort(self, failed):
        """Reset the caller's connection, so that the stream does not look complete."""
        if self._http_request.transport is not None:
            self._http_request.transport.abort()
        log_event(
            _log,
            "stream.broken_off",
            level=logging.WARNING,
            request_id=self._attempts.request.id,
            after_event=self._attempts.last_event_id,
            code=failed.kind.value,
            detail=failed.detail,
        )
        return self._response

    async def _relay_events(self, attempt):
        silent_since = self._node.clock.monotonic()
        upstream = await self._within_silence_timeout(attempt.open(), silent_since)
        if upstream.status != 200:
            return await self._handle_error_status(attempt, upstream)
        if not upstream.is_event_stream:
            raise AttemptFailed(
                ErrorKind.ANSWER_BROKEN,
                f"{attempt.endpoint.id} sent another type of response than events",
                has_run=True,
            )
        try:
            with self._attempts.hold.receiving(
                source=attempt.endpoint.address, close=upstream.close
            ):
                await self._relay_body(attempt, upstream, silent_since)
        except ResponseTooLong as exc:
            raise too_long_response(exc) from exc
        if self._response is None:
            await self._start(upstream)
        await self._response.write_eof()
        return self._response

    async def _relay_body(self, attempt, upstream, silent_since):
        """Relay all events of a response, which must end after one."""
        hold = self._attempts.hold
        reader = EventReader()
        is_resumed = self._attempts.last_event_id.isdigit()
        chunks = aiter(upstream.chunks())
        while True:
            data = await self._within_silence_timeout(anext(chunks, None), silent_since)
            if data is None:
                break
            events = reader.feed(data)
            hold.resize(reader.held_bytes + sum(len(event.data) for event in events))
            if is_resumed and not all(map(_continues_numbered_stream, events)):
                raise AttemptFailed(
                    ErrorKind.ANSWER_BROKEN,
                    f"{attempt.endpoint.id} sent an event without an id to resume a "
                    "stream of numbered events",
                    has_run=True,
                )
            events = [event for event in events if not self._is_duplicate(event)]
            if events:
                silent_since = self._node.clock.monotonic()
                attempt.record_response()
                await self._write(upstream, events)
                hold.resize(reader.held_bytes)
                if not reader.has_partial_event and attempt.try_move():
                    raise AttemptFailed(
                        ErrorKind.UPSTREAM_FAILED,
                        f"moved away from {attempt.endpoint.id}, whose rank is slow",
                        has_run=True,
                        is_moved=True,
                    )
        if reader.has_partial_event:
            raise AttemptFailed(
                ErrorKind.ANSWER_BROKEN,
                f"the stream of {attempt.endpoint.id} ended within an event",
                has_run=True,
            )
        request = self._attempts.request
        if self._attempts.last_event_at is None and not request.last_event_id:
            raise AttemptFailed(
                ErrorKind.ANSWER_BROKEN,
                f"the stream of {attempt.endpoint.id} ended before its first event",
                has_run=True,
            )

    async def _within_silence_timeout(self, step, silent_since):
        """Return the result of a step, unless no event has ended for too long.

        An event that goes on byte by byte is as useless to the caller as none.
        """
        silent_s = self._node.clock.monotonic() - silent_since
        try:
            async with asyncio.timeout(max(0.0, STREAM_SILENCE_TIMEOUT_S - silent_s)):
                return await step
        except TimeoutError:
            raise AttemptFailed(
                ErrorKind.DEADLINE,
                f"no complete event received for {STREAM_SILENCE_TIMEOUT_S} s",
                has_run=True,
            ) from None

    async def _handle_error_status(self, attempt, upstream):
        if self._response is not None or self._attempts.may_retry():
            raise AttemptFailed(
                ErrorKind.UPSTREAM_FAILED,
                f"{attempt.endpoint.id} responded with status {upstream.status}",
                has_run=True,
            )
        body = await upstream.read(self._attempts.hold)
        return web.Response(
            status=upstream.status,
            headers=response_headers(upstream.headers),
            body=body,
        )

    async def _write(self, upstream, events):
        if self._response is None:
            await self._start(upstream)
            request = self._attempts.request
            FIRST_EVENT.labels(request.priority_label).observe(
                self._node.clock.monotonic() - request.arrived_at
            )
        self._attempts.record_events(events)
        await self._response.write(b"".join(event.data for event in events))

    async def _start(self, upstream):
        response = web.StreamResponse(
            status=upstream.status, headers=response_headers(upstream.headers)
        )
        if self._node.reasons_not_ready():
            response.force_close()
        if self._http_request.version >= (1, 1):
            response.enable_chunked_encoding()
        self._response = response
        await response.prepare(self._http_request)

    def _is_duplicate(self, event):
        last = self._attempts.last_event_id
        is_numbered = event.id.isdigit() and last.isdigit()
        return is_numbered and int(event.id) <= int(last)


def _continues_numbered_stream(event):
    """Return whether an event has a number, or is only a comment."""
    is_comment = all(line.startswith(b":") for line in event.data.splitlines() if line)
    return event.id.isdigit() or is_comment


def _id_of(event):
    for line in event.splitlines():
        if line.startswith(b"id:"):
            return line[len(b"id:") :].strip().decode("ascii", "replace")
    return ""
