"""Sending a request to another process once, whatever the library would do."""

import aiohttp

__all__ = ["CONNECT_TIMEOUT_S", "reject_second_send", "send_once"]

CONNECT_TIMEOUT_S = 2.0
# Headers that the library adds by itself; requests travel as they came.
_LIBRARY_HEADERS = ("User-Agent", "Accept", "Accept-Encoding", "Content-Type")


async def send_once(
    session,
    method,
    url,
    *,
    data,
    headers,
    read_timeout_s=None,
    connect_timeout_s=CONNECT_TIMEOUT_S,
):
    """Send a request and return the open response.

    Parameters
    ----------
    session : aiohttp.ClientSession
        Session whose connections are used.
    method : str
        HTTP method.
    url : str
        Where it goes.
    data : bytes or None
        Body.
    headers : dict of str to str
        Headers.
    read_timeout_s : float, optional
        Longest time without a byte of the answer.
    connect_timeout_s : float
        Longest time until the connection stands.

    Returns
    -------
    response : aiohttp.ClientResponse
        Status and headers have been read.

    Raises
    ------
    aiohttp.ClientConnectorError, aiohttp.ConnectionTimeoutError
        If no byte of the request was sent.
    aiohttp.ClientError, OSError
        If the connection was lost later.

    Notes
    -----
    The library sends an idempotent method again when a kept connection turns out
    to be closed, and any method again after a redirect. Both could run a request
    twice: methods say nothing about what a caller marked as not repeatable.
    """
    return await session.request(
        method,
        url,
        data=data,
        headers=headers,
        skip_auto_headers=_LIBRARY_HEADERS,
        allow_redirects=False,
        timeout=aiohttp.ClientTimeout(
            total=None, connect=connect_timeout_s, sock_read=read_timeout_s
        ),
        middlewares=(reject_second_send(),),
    )


def reject_second_send():
    """Return a client middleware that lets one request through, once.

    Notes
    -----
    A write to the store that the library sent again would come back as a conflict
    with itself.
    """
    is_sent = False

    async def middleware(request, handler):
        nonlocal is_sent
        if is_sent:
            raise aiohttp.ServerDisconnectedError("the request has been sent before")
        is_sent = True
        return await handler(request)

    return middleware
