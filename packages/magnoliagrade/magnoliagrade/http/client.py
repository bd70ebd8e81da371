"""HTTP requests that are sent at most once, without the resends of aiohttp."""

import contextlib

import aiohttp

from magnoliagrade.http.response_memory import ResponseTooLong

__all__ = ["CONNECT_TIMEOUT_S", "read_limited", "reject_second_send", "send_once"]

CONNECT_TIMEOUT_S = 2.0
# Headers that aiohttp would add; requests are forwarded with the headers received.
_SKIPPED_AUTO_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


async def send_once(
    session,
    method,
    url,
    *,
    data,
    headers,
    read_timeout_s=None,
    connect_timeout_s=CONNECT_TIMEOUT_S,
    trace_context=None,
):
    """Send a request at most once and return its response, with the body still unread.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session whose connection pool is used.
    method : str
        HTTP method.
    url : str
        Absolute URL of the request.
    data : bytes or None
        Body of the request.
    headers : dict of str to str
        Headers of the request.
    read_timeout_s : float, optional
        Longest time without a byte of the response; no limit by default.
    connect_timeout_s : float
        Longest time until the connection is established.
    trace_context : object, optional
        Context that the session's trace configurations receive.

    Returns
    -------
    response : aiohttp.ClientResponse
        Response whose status and headers have been read.

    Raises
    ------
    aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError
        If the connection failed before any byte of the request was sent.
    aiohttp.ClientError, OSError
        If the connection was lost after that.

    Notes
    -----
    aiohttp resends an idempotent method when a keep-alive connection turns out to be
    closed, and any method after a redirect. Both could run a request twice: the HTTP
    method doesn't show whether the caller marked the request as not repeatable.
    """
    return await session.request(
        method,
        url,
        data=data,
        headers=headers,
        skip_auto_headers=_SKIPPED_AUTO_HEADERS,
        allow_redirects=False,
        timeout=aiohttp.ClientTimeout(
            total=None, connect=connect_timeout_s, sock_read=read_timeout_s
        ),
        middlewares=(reject_second_send(),),
        trace_request_ctx=trace_context,
    )


async def read_limited(response, limit_bytes, *, memory=None, hold=None):
    """Return the complete body of a response.

    Parameters
    ----------
    response : aiohttp.ClientResponse
        Response whose body is still unread.
    limit_bytes : int
        Longest body.
    memory : ResponseMemory, optional
        Limit on all responses together, toward which the body counts while it is read.
    hold : ResponseHold, optional
        Used in place of `memory` if the body counts longer than that.

    Raises
    ------
    ResponseTooLong
        If the body is longer, or was closed to free memory for others. The response is
        closed: a faulty server may go on sending until it is.
    aiohttp.ClientError, OSError
        If the body is cut off.
    """
    length = 0 if response.method == "HEAD" else response.content_length or 0
    if length > limit_bytes:
        response.close()
        raise ResponseTooLong(
            f"a body of {length} bytes exceeds the limit of {limit_bytes} bytes"
        )
    with contextlib.ExitStack() as stack:
        if hold is None and memory is not None:
            hold = stack.enter_context(memory.hold())
        if hold is not None:
            source = f"{response.url.host}:{response.url.port}"
            stack.enter_context(hold.receiving(source=source, close=response.close))
        body = bytearray()
        try:
            async for data in response.content.iter_any():
                body += data
                if len(body) > limit_bytes:
                    response.close()
                    raise ResponseTooLong(
                        f"a body of {len(body)} bytes or more exceeds the limit of "
                        f"{limit_bytes} bytes"
                    )
                if hold is not None:
                    hold.resize(len(body))
            return bytes(body)
        finally:
            # The traceback of an exception may keep this frame for long.
            body.clear()


def reject_second_send():
    """Return a client middleware that sends one request and rejects its resend.

    Notes
    -----
    If aiohttp resent a write to the store, the second write would conflict with the
    first.
    """
    is_sent = False

    async def middleware(request, handler):
        nonlocal is_sent
        if is_sent:
            raise aiohttp.ServerDisconnectedError("the request was already sent once")
        is_sent = True
        return await handler(request)

    return middleware
