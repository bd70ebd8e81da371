"""Reading of request bodies within limits of size, time and memory."""

import asyncio

from aiohttp import HttpVersion11, web

from magnoliagrade.errors import ErrorKind, MagnoliagradeError

__all__ = ["BodyBudget", "read_body"]

CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"


class BodyBudget:
    """Limit on the memory that the bodies of all requests of a process take together.

    Parameters
    ----------
    limit_bytes : int
        Largest sum of bytes held at any time.

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
        """Reserve a number of bytes of the budget.

        Parameters
        ----------
        size : int
            Number of bytes.

        Raises
        ------
        MagnoliagradeError
            `OVERLOADED` if the limit would be exceeded.
        """
        if self.held_bytes + size > self.limit_bytes:
            detail = (
                f"no memory for {size} more bytes of request bodies: "
                f"{self.held_bytes} of {self.limit_bytes} bytes are in use"
            )
            raise MagnoliagradeError(ErrorKind.OVERLOADED, detail, retry_after=1)
        self.held_bytes += size

    def release(self, size):
        """Return a number of reserved bytes to the budget.

        Parameters
        ----------
        size : int
            Number of bytes.
        """
        self.held_bytes -= size


async def read_body(http_request, *, limit_bytes, timeout_s, budget):
    """Return the body of a request, whose size stays reserved in the budget.

    Parameters
    ----------
    http_request : aiohttp.web.BaseRequest
        Incoming request.
    limit_bytes : int
        Largest size of the body.
    timeout_s : float
        Longest time until the body has arrived completely, in seconds.
    budget : BodyBudget
        Budget that the size is reserved in; the caller releases it.

    Returns
    -------
    body : bytes
        Complete body.

    Raises
    ------
    MagnoliagradeError
        `TOO_LARGE`, `OVERLOADED`, or `INVALID_REQUEST` if the body is malformed or
        not complete in time. No bytes stay reserved then.
    """
    declared = http_request.content_length or 0
    if declared > limit_bytes:
        detail = f"body of {declared} bytes exceeds the limit of {limit_bytes}"
        raise MagnoliagradeError(ErrorKind.TOO_LARGE, detail)
    parts = []
    size = 0
    try:
        async with asyncio.timeout(timeout_s):
            await _send_continue(http_request)
            async for part in http_request.content.iter_any():
                if size + len(part) > limit_bytes:
                    detail = f"body exceeds the limit of {limit_bytes} bytes"
                    raise MagnoliagradeError(ErrorKind.TOO_LARGE, detail)
                budget.take(len(part))
                size += len(part)
                parts.append(part)
    except BaseException as exc:
        budget.release(size)
        raise _as_coded_error(exc, timeout_s) from exc
    return b"".join(parts)


def _as_coded_error(exc, timeout_s):
    if isinstance(exc, TimeoutError):
        detail = f"body was not received within {timeout_s} s"
        return MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    if isinstance(exc, web.RequestPayloadError):
        detail = "body is malformed: invalid chunked encoding or wrong length"
        return MagnoliagradeError(ErrorKind.INVALID_REQUEST, detail)
    return exc


async def _send_continue(http_request):
    expected = http_request.headers.get("Expect", "").lower()
    if expected == "100-continue" and http_request.version >= HttpVersion11:
        await http_request.writer.write(CONTINUE)
        # The final response has not started: 100 Continue is an interim response.
        http_request.writer.output_size = 0
