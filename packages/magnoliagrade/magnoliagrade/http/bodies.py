"""Reading bodies within limits of size, time and memory."""

import asyncio

from aiohttp import HttpVersion11, web

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["BodyBudget", "read_body"]

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyBudget:
    """Memory that the bodies of all requests of a process may take together.

    Parameters
    ----------
    limit_bytes : int
        Most bytes at any time.

    Examples
    --------
    >>> budget = BodyBudget(limit_bytes=10)
    >>> budget.take(10)
    >>> budget.release(4)
    >>> budget.held_bytes
    6
    """

    __slots__ = ("held_bytes", "limit_bytes")

    def __init__(self, *, limit_bytes):
        self.limit_bytes = limit_bytes
        self.held_bytes = 0

    def take(self, size):
        """Count bytes as held.

        Raises
        ------
        MagnoliagradeError
            `OVERLOADED` if that would exceed the limit.
        """
        if self.held_bytes + size > self.limit_bytes:
            detail = f"bodies hold {self.held_bytes} of {self.limit_bytes} bytes"
            raise MagnoliagradeError(ErrorKind.OVERLOADED, detail, retry_after=1)
        self.held_bytes += size

    def release(self, size):
        """Count bytes as free again."""
        self.held_bytes -= size


async def read_body(http_request, *, limit_bytes, timeout_s, budget):
    """Return the body of a request; its size stays taken from the budget.

    Parameters
    ----------
    http_request : aiohttp.web.BaseRequest
        The incoming request.
    limit_bytes : int
        Largest body.
    timeout_s : float
        Longest time that it may take to arrive.
    budget : BodyBudget
        Memory for bodies; the caller gives the size back.

    Raises
    ------
    MagnoliagradeError
        `TOO_LARGE`, `OVERLOADED`, or `INVALID_REQUEST` for a body that is broken
        or slow. Nothing is held then.
    """
    declared = http_request.content_length or 0
    if declared > limit_bytes:
        detail = f"body of {declared} bytes exceeds {limit_bytes}"
        raise MagnoliagradeError(ErrorKind.TOO_LARGE, detail)
    parts = []
    size = 0
    try:
        async with asyncio.timeout(timeout_s):
            await _say_continue(http_request)
            async for part in http_request.content.iter_any():
                if size + len(part) > limit_bytes:
                    detail = f"body exceeds {limit_bytes} bytes"
                    raise MagnoliagradeError(ErrorKind.TOO_LARGE, detail)
                budget.take(len(part))
                size += len(part)
                parts.append(part)
    except BaseException as exc:
        budget.release(size)
        raise _coded(exc, timeout_s) from exc
    return b"".join(parts)


def _coded(exc, timeout_s):
    if isinstance(exc, TimeoutError):
        detail = f"body was not sent within {timeout_s} s"
        return MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    if isinstance(exc, web.RequestPayloadError):
        detail = "body is broken: chunks or length do not fit"
        return MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    return exc


async def _say_continue(http_request):
    expected = http_request.headers.get("Expect", "").lower()
    if expected == "100-continue" and http_request.version >= HttpVersion11:
        await http_request.writer.write(CONTINUE)
        # The answer proper has not begun.
        http_request.writer.output_size = 0
