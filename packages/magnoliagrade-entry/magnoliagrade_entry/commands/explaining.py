"""Command that shows where a direct entry would send a request."""

import sys

import aiohttp
from magnoliagrade.http import ResponseConnector

from magnoliagrade_entry.commands.exits import Exit
from magnoliagrade_entry.commands.output import print_rows

__all__ = ["show_explanation"]

TIMEOUT_S = 3.0
ENDPOINT_COLUMNS = (
    "endpoint data_centre group slots in_flight own_in_flight pace cost reason_against"
).split()


async def show_explanation(address, *, host, target, organisation, is_json):
    """Print where an entry would send a request now, and why.

    Parameters
    ----------
    address : str
        `host:port` at which the entry serves its metrics.
    host, target : str
        Host and path of the request.
    organisation : str
        Organisation that would send it; empty for none.
    is_json : bool
        Whether to print JSON.

    Returns
    -------
    exit : Exit
        `FAILED` if the entry does not explain the request.
    """
    query = {"host": host, "target": target, "organisation": organisation}
    timeout = aiohttp.ClientTimeout(total=TIMEOUT_S)
    try:
        async with (
            aiohttp.ClientSession(
                connector=ResponseConnector(), timeout=timeout
            ) as session,
            session.get(f"http://{address}/explain", params=query) as response,
        ):
            explanation = await response.json(content_type=None)
            status = response.status
    except (aiohttp.ClientError, OSError, TimeoutError, ValueError) as exc:
        print(f"{address} did not explain the request: {exc!r}", file=sys.stderr)
        return Exit.FAILED
    if status != 200 or not isinstance(explanation, dict):
        print(
            f"{address} responded with status {status}: {explanation}", file=sys.stderr
        )
        return Exit.FAILED
    if is_json:
        print_rows([], [], is_json=True, extra=explanation)
        return Exit.DONE
    _print_text(explanation)
    return Exit.DONE


def _print_text(explanation):
    for key, value in explanation.items():
        if key != "services":
            print(f"{key}: {value}")
    for service in explanation.get("services", ()):
        for key, value in service.items():
            if key != "endpoints":
                print(f"{key}: {value}")
        print_rows(service["endpoints"], ENDPOINT_COLUMNS, is_json=False)
