"""Opening links: the listening side and the dialling side."""

import asyncio
import contextlib
import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability.logs import log_event
from magnoliagrade.wire.membership import PROTOCOL_VERSION, Hello

__all__ = ["maintain_link", "next_pause", "serve_links"]

BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 5.0
CONNECT_TIMEOUT_S = 2.0
HELLO_TIMEOUT_S = 2.0

_log = logging.getLogger(__name__)


async def serve_links(*, host, port, make_link, hello, handle):
    """Listen for links and run one task for each.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port; 0 takes a free one.
    make_link : callable
        Called with `reader` and `writer`, returns a `Link`.
    hello : callable
        Returns the `Hello` to send.
    handle : coroutine function
        Called with the link once both sides have said hello.

    Returns
    -------
    server : asyncio.Server
        The listening server.
    """

    async def on_connection(reader, writer):
        link = make_link(reader=reader, writer=writer)
        # The stream protocol logs a cancelled connection task as an error.
        with contextlib.suppress(asyncio.CancelledError):
            await _run_link(link, hello, handle)

    return await asyncio.start_server(on_connection, host, port)


async def maintain_link(
    *,
    address,
    make_link,
    hello,
    handle,
    clock,
    rng,
    source="",
    expected="",
    may_dial=lambda: True,
    on_result=lambda linked: None,
):
    """Dial an address again and again until cancelled.

    Parameters
    ----------
    address : str
        `host:port` to dial.
    make_link : callable
        Called with `reader`, `writer` and `is_dialled`, returns a `Link`.
    hello : callable
        Returns the `Hello` to send.
    handle : coroutine function
        Called with each link that comes about.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of jitter.
    source : str
        Local address to dial from; empty leaves it to the system.
    expected : str
        Instance that should answer; another one is refused. Empty allows any.
    may_dial : callable
        Returns whether a link is wanted now.
    on_result : callable
        Told after each attempt whether hellos were exchanged.
    """
    host, _, port = address.rpartition(":")
    pause = BACKOFF_FIRST_S
    while True:
        if may_dial():
            link = await _dial(host, int(port), make_link, source)
            linked = link is not None and await _run_link(
                link, hello, handle, expected=expected
            )
            on_result(linked)
            if linked:
                pause = BACKOFF_FIRST_S
        pause = next_pause(pause, rng)
        await clock.sleep(pause)


def next_pause(pause, rng):
    """Return the pause before the next attempt to dial.

    Parameters
    ----------
    pause : float
        Pause before the last attempt, in seconds.
    rng : random.Random
        Source of jitter.

    Returns
    -------
    pause : float
        Seconds, drawn from [first, 3 x last] and capped.

    Notes
    -----
    The draw keeps processes that lost the same peer from coming back in step
    [1]_. Capping the draw rather than its range makes fewer attempts in a long
    outage.

    References
    ----------
    .. [1] M. Brooker, "Exponential backoff and jitter", 2015 (decorrelated
       jitter).
    """
    return min(BACKOFF_MAX_S, rng.uniform(BACKOFF_FIRST_S, pause * 3))


async def _dial(host, port, make_link, source):
    try:
        async with asyncio.timeout(CONNECT_TIMEOUT_S):
            reader, writer = await asyncio.open_connection(
                host, port, local_addr=(source, 0) if source else None
            )
    except (OSError, TimeoutError):
        return None
    return make_link(reader=reader, writer=writer, is_dialled=True)


async def _run_link(link, hello, handle, *, expected=""):
    """Exchange hellos and run the handler; return whether hellos were exchanged."""
    greeted = False
    try:
        link.send(hello())
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            first = await link.receive()
        if not _is_acceptable(first, link.peer_instance, expected):
            log_event(_log, "link.refused", peer=link.peer_instance)
            return False
        link.hello = first
        greeted = True
        await handle(link)
    except (ConnectionError, TimeoutError, OSError):
        pass
    except MagnoliagradeError as exc:
        log_event(_log, "link.broken", peer=link.peer_instance, code=exc.kind.value)
    finally:
        with contextlib.suppress(Exception):
            link.close()
    return greeted


def _is_acceptable(first, peer_instance, expected):
    if not isinstance(first, Hello) or first.protocol_version != PROTOCOL_VERSION:
        return False
    return expected in ("", peer_instance)
