"""Calls to a plain service of a site, as a caller makes them."""

import asyncio
from dataclasses import dataclass

import aiohttp

from magnoliagrade_standins.harness.configurations import KEY_BY_ORGANISATION

__all__ = ["CallOutcome", "call_service", "call_until"]

CALL_TIMEOUT_S = 20.0


@dataclass(slots=True, kw_only=True)
class CallOutcome:
    """Result of one call as its caller received it.

    Parameters
    ----------
    status : int
        HTTP status; 0 if no complete response arrived within 20 s.
    request_id : str
        Request id in the response's headers, or empty.
    code : str
        Error code in the response's body, or empty.
    ran : str
        Whether the request was executed, as an error response states it, or empty.
    body : dict
        Decoded JSON body of the response; None without a response.
    """

    status: int
    request_id: str = ""
    code: str = ""
    ran: str = ""
    body: dict = None

    @property
    def is_served(self):
        """Whether the call succeeded, with status 200."""
        return self.status == 200


async def call_service(
    site, entry, *, path="/orders/reorder", method="POST", body=b"", headers=None
):
    """Call a plain service through an entry.

    Parameters
    ----------
    site : Site
        A running site.
    entry : str
        Name of the entry.
    path : str
        Path; its first segment is the application.
    method : str
        HTTP method.
    body : bytes
        Request body.
    headers : dict of str to str, optional
        Additional headers.

    Returns
    -------
    outcome : CallOutcome
        Result of the call; failed connections don't raise.
    """
    key = KEY_BY_ORGANISATION["organisation-0"]
    sent = {"Authorization": f"Bearer {key}", **(headers or {})}
    url = site.caller_url(entry) + path
    try:
        async with (
            asyncio.timeout(CALL_TIMEOUT_S),
            site.session.request(method, url, data=body, headers=sent) as response,
        ):
            document = await response.json(content_type=None)
            return CallOutcome(
                status=response.status,
                request_id=response.headers.get("X-Request-Id", ""),
                code=document.get("code", ""),
                ran=document.get("ran", ""),
                body=document,
            )
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError):
        return CallOutcome(status=0)


async def call_until(site, clock, until, *, entries, rate_per_s=50.0, **options):
    """Call a plain service through several entries in turn until a time.

    Parameters
    ----------
    site : Site
        A running site.
    clock : Clock
        Source of time.
    until : float
        Monotonic time at which to stop.
    entries : sequence of str
        Entries, used in turn.
    rate_per_s : float
        Calls started per second; each runs as its own task.
    **options
        Further arguments of `call_service`.

    Returns
    -------
    outcomes : list of CallOutcome
        Results in the order in which the calls were started.
    """
    tasks = []
    while clock.monotonic() < until:
        entry = entries[len(tasks) % len(entries)]
        call = call_service(site, entry, **options)
        tasks.append(asyncio.ensure_future(call))
        await clock.sleep(1 / rate_per_s)
    return await asyncio.gather(*tasks)
