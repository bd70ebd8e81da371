"""Opening of links, by listening and by dialling."""

import asyncio
import contextlib
import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability.logs import log_event
from magnoliagrade.wire.membership import PROTOCOL_VERSION, Hello

__all__ = ["maintain_link", "next_backoff", "serve_links"]

BACKOFF_FIRST_S = 0.1
BACKOFF_MAX_S = 5.0
CONNECT_TIMEOUT_S = 2.0
HELLO_TIMEOUT_S = 2.0

_log = logging.getLogger(__name__)


async def serve_links(*, host, port, make_link, hello, handle):
    """Listen for links and run a handler for each.

    Parameters
    ----------
    host : str
        Address to listen on.
    port : int
        Port to listen on; 0 chooses a free port.
    make_link : callable
        Called with `reader` and `writer`; returns a `Link`.
    hello : callable
        Returns the `Hello` to send.
    handle : coroutine function
        Called with the link after both sides have sent `Hello`.

    Returns
    -------
    server : asyncio.Server
        Server that listens for links.
    """

    async def on_connection(reader, writer):
        link = make_link(reader=reader, writer=writer)
        # asyncio's stream protocol logs a cancelled connection task as an error.
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
    """Keep a link to an address open, dialling again after it is lost, until cancelled.

    Parameters
    ----------
    address : str
        `host:port` to dial.
    make_link : callable
        Called with `reader`, `writer` and `is_dialled`; returns a `Link`.
    hello : callable
        Returns the `Hello` to send.
    handle : coroutine function
        Called with each link after both sides have sent `Hello`.
    clock : Clock
        Source of time.
    rng : random.Random
        Random number generator for the jitter.
    source : str
        Local address to dial from; if empty, the system chooses one.
    expected : str
        Name of the instance to accept; any other is rejected. Empty accepts any.
    may_dial : callable
        Returns whether to dial now.
    on_result : callable
        Called when an attempt has failed or its link has ended, with whether both
        sides had exchanged `Hello` messages.
    """
    host, _, port = address.rpartition(":")
    backoff_s = BACKOFF_FIRST_S
    while True:
        if may_dial():
            link = await _dial(host, int(port), make_link, source)
            linked = link is not None and await _run_link(
                link, hello, handle, expected=expected
            )
            on_result(linked)
            if linked:
                backoff_s = BACKOFF_FIRST_S
        backoff_s = next_backoff(backoff_s, rng)
        await clock.sleep(backoff_s)


def next_backoff(backoff_s, rng):
    """Return the backoff before the next attempt to dial, in seconds.

    Parameters
    ----------
    backoff_s : float
        Backoff before the last attempt.
    rng : random.Random
        Random number generator for the jitter.

    Returns
    -------
    next_backoff_s : float
        Drawn uniformly from `BACKOFF_FIRST_S` to 3 times the last one, and capped at
        `BACKOFF_MAX_S`.

    Notes
    -----
    The jitter prevents processes that lost the same peer from reconnecting at the
    same times [1]_. Capping the drawn value rather than its range leads to fewer
    attempts in a long outage.

    References
    ----------
    .. [1] M. Brooker, "Exponential backoff and jitter", 2015 (decorrelated
       jitter).
    """
    return min(BACKOFF_MAX_S, rng.uniform(BACKOFF_FIRST_S, backoff_s * 3))


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
    """Run a link until it ends; return whether the peer's `Hello` was accepted."""
    hellos_exchanged = False
    try:
        link.send(hello())
        async with asyncio.timeout(HELLO_TIMEOUT_S):
            first = await link.receive()
        if not _is_acceptable(first, link.peer_instance, expected):
            log_event(_log, "link.refused", peer=link.peer_instance)
            return False
        link.hello = first
        hellos_exchanged = True
        await handle(link)
    except (ConnectionError, TimeoutError, OSError):
        pass
    except MagnoliagradeError as exc:
        log_event(_log, "link.broken", peer=link.peer_instance, code=exc.kind.value)
    finally:
        with contextlib.suppress(Exception):
            link.close()
    return hellos_exchanged


def _is_acceptable(first, peer_instance, expected):
    if not isinstance(first, Hello) or first.protocol_version != PROTOCOL_VERSION:
        return False
    return expected in ("", peer_instance)
