"""Single calls to a site, as a caller would make them."""

import asyncio
from dataclasses import dataclass

import aiohttp

from magnoliagrade_standins.harness.configurations import KEY_BY_ORGANISATION

__all__ = ["CallOutcome", "call_service", "call_until"]

CALL_TIMEOUT_S = 20.0


@dataclass(slots=True, kw_only=True)
class CallOutcome:
    """What a caller saw of one call.

    Parameters
    ----------
    status : int
        HTTP status; 0 if the connection failed.
    request_id : str
        Request id of the answer.
    code : str
        Code of an error answer, or empty.
    ran : str
        What an error answer says of the request having run, or empty.
    body : dict
        Body of the answer.
    """

    status: int
    request_id: str = ""
    code: str = ""
    ran: str = ""
    body: dict = None

    @property
    def is_served(self):
        """Whether the call was answered by its back end."""
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
        Path with the application first.
    method : str
        HTTP method.
    body : bytes
        Body.
    headers : dict of str to str, optional
        Additional headers.

    Returns
    -------
    outcome : CallOutcome
        What the caller saw.
    """
    key = KEY_BY_ORGANISATION["organisation-0"]
    sent = {"Authorization": f"Bearer {key}", **(headers or {})}
    url = site.caller_url(entry) + path
    try:
        async with (
            asyncio.timeout(CALL_TIMEOUT_S),
            site.session.request(method, url, data=body, headers=sent) as response,
        ):
            answer = await response.json(content_type=None)
            return CallOutcome(
                status=response.status,
                request_id=response.headers.get("X-Request-Id", ""),
                code=answer.get("code", ""),
                ran=answer.get("ran", ""),
                body=answer,
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
        Calls a second; each call runs as a task of its own.
    **options
        Passed on to `call_service`.

    Returns
    -------
    outcomes : list of CallOutcome
        One for each call.
    """
    tasks = []
    while clock.monotonic() < until:
        entry = entries[len(tasks) % len(entries)]
        call = call_service(site, entry, **options)
        tasks.append(asyncio.ensure_future(call))
        await clock.sleep(1 / rate_per_s)
    return await asyncio.gather(*tasks)
