"""Peers that stop within the head of their response and close the connection.

They guard against a success with an empty or shortened body that looks complete, or a
value of the store that it does not hold.
"""

import asyncio
import contextlib
import json

import aiohttp
from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.platform import PlatformStore, RankServer
from magnoliagrade.store import HttpStore
from magnoliagrade_standins.harness import Site, SitePlan, call_service
from magnoliagrade_standins.operators import (
    OperatorsSite,
    configuration_document,
    route_document,
)
from magnoliagrade_standins.resets import reset_connection

TEST_LIMIT_S = 120
BODY = b'{"number": 1, "state": "done"}'
# Number of bytes of the body that the longest of the cut responses has.
LAST_CUT_IN_BODY = len(BODY) - 1
REASONS = ("close", "reset")


class CutServer:
    """HTTP server that cuts each response after the number of bytes in its path.

    The path is `/PREFIX/REASON/BYTES`, where BYTES counts from the start of the head.
    """

    def __init__(self, *, head_of, body=BODY):
        self._head_of = head_of
        self._body = body
        self._servers = []
        self.cut = None
        self.requests = []

    async def __aenter__(self):
        """Return the server, which listens on no address yet."""
        return self

    async def __aexit__(self, *_exc):
        """Stop the server."""
        for server in self._servers:
            server.close()

    async def listen(self):
        """Listen on one more address and return it."""
        server = await asyncio.start_server(self._serve, "127.0.0.1", 0)
        self._servers.append(server)
        return f"127.0.0.1:{server.sockets[0].getsockname()[1]}"

    async def _serve(self, reader, writer):
        with contextlib.suppress(ConnectionError, asyncio.IncompleteReadError):
            head = (await reader.readuntil(b"\r\n\r\n")).decode()
            line, *lines = head.split("\r\n")
            headers = {
                name.lower(): value.strip()
                for name, _, value in (text.partition(":") for text in lines)
            }
            await reader.readexactly(int(headers.get("content-length", 0)))
            path = line.split()[1]
            reason, count = self.cut or path.rsplit("/", 2)[1:]
            self.requests.append(path)
            response = self._head_of(headers) + self._body
            writer.write(response[: int(count)])
            await writer.drain()
            if reason == "reset":
                # The bytes must not be discarded before they were read.
                await asyncio.sleep(0.01)
                reset_connection(writer.transport)
        writer.close()


def _head_of_endpoint(headers, *, media_type="application/json"):
    request_id = headers.get("x-magnoliagrade-request-id", "")
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Magnoliagrade-Request-Id: {request_id}",
        "X-Magnoliagrade-Response-Stamp: stamp",
        f"Content-Type: {media_type}",
        f"Content-Length: {len(BODY)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def _head_of_stream(headers):
    return _head_of_endpoint(headers, media_type="text/event-stream")


def _head_of_service(headers):
    lines = [
        "HTTP/1.1 200 OK",
        f"X-Request-Id: {headers.get('x-request-id', '')}",
        f"X-Attempt-Id: {headers.get('x-attempt-id', '')}",
        "Content-Type: application/json",
        f"Content-Length: {len(BODY)}",
    ]
    return "\r\n".join([*lines, "", ""]).encode()


def _cuts(head):
    """Return positions in a head: the ends of its parts, and within each line."""
    cuts = {0, 1, len(b"HTTP/1.1"), len(b"HTTP/1.1 200")}
    at = 0
    for line in head.split(b"\r\n")[:-1]:
        end = at + len(line)
        cuts |= {at + len(line) // 2, end, end + 1, end + 2}
        at = end + 2
    return sorted(cut for cut in cuts if cut < len(head))


def test_direct_entry_never_passes_on_a_success_without_a_whole_response():
    async def scenario():
        for kind in ("safe", "unsafe", "streaming"):
            head_of = _head_of_stream if kind == "streaming" else _head_of_endpoint
            async with CutServer(head_of=head_of) as server, OperatorsSite() as site:
                head = head_of({"x-magnoliagrade-request-id": "r-0"})
                calls = [
                    (reason, cut)
                    for cut in [*_cuts(head), len(head) + LAST_CUT_IN_BODY]
                    for reason in REASONS
                ]
                # An endpoint that has cut a response gets no request for some time.
                for number in range(2 * len(calls)):
                    site.register(f"i-{number}", "plain", await server.listen())
                route = route_document("/x/", "plain", kind=kind, MaxAttempts=1)
                site.configure(configuration_document(1, [route]))
                entry = await site.add_entry()
                statuses = []
                for reason, cut in calls:
                    status = await _status_of_call(site, entry, reason, cut)
                    statuses.append(status)
                    assert status == 0 or status >= 400, (kind, reason, cut)
                sent = [path for path in server.requests if path.startswith("/x/")]
                assert len(sent) == len(calls), (kind, len(sent), statuses)

    _run(scenario())


async def _status_of_call(site, entry, reason, cut):
    """Return the status of a call, 0 if its response is not complete."""
    headers = {"X-Magnoliagrade-Request-Id": "r-0"}
    try:
        status, _, _ = await site.call(
            entry,
            "POST",
            f"/x/{reason}/{cut}",
            data=f"order {reason} {cut}".encode(),
            headers=headers,
        )
    except aiohttp.ClientError:
        return 0
    return status


def test_agent_and_forwarding_entry_never_pass_on_a_success_without_a_whole_response():
    async def scenario():
        async with CutServer(head_of=_head_of_service) as server:
            url = {"url": f"http://{await server.listen()}"}
            plan = SitePlan(
                entries_by_data_centre={"kamloops": 1, "kelowna": 1},
                services_by_data_centre={"kamloops": 1},
                agent_settings_by_name={"kamloops-service-0": {"endpoint": url}},
            )
            async with Site(plan=plan) as site:
                head = _head_of_service({"x-request-id": "r" * 32})
                for cut in [*_cuts(head)[::3], len(head) + LAST_CUT_IN_BODY]:
                    for reason, entry in zip(REASONS, site.entry_by_name, strict=True):
                        for method in ("GET", "POST"):
                            outcome = await call_service(
                                site,
                                entry,
                                path=f"/orders/{reason}/{cut}",
                                method=method,
                            )
                            assert not 200 <= outcome.status < 400, (cut, outcome)
                calls = 4 * (len(_cuts(head)[::3]) + 1)
                assert len(server.requests) >= calls

    _run(scenario())


def test_no_cut_response_of_a_store_or_server_is_taken_for_an_answer():
    def head_of(_headers):
        lines = ["HTTP/1.1 200 OK", "X-Revision: 7", "Content-Type: application/json"]
        lines.append(f"Content-Length: {len(body)}")
        return "\r\n".join([*lines, "", ""]).encode()

    item = {"Key": "k", "Value": "", "Revision": 7, "CreateRevision": 7, "Lease": 0}
    listing = {"Items": [], "MorePages": False, "AsOf": 7, "events": []}
    body = json.dumps({**item, **listing}).encode()

    async def scenario():
        async with (
            CutServer(head_of=head_of, body=body) as server,
            aiohttp.ClientSession() as session,
        ):
            address = await server.listen()
            platform = PlatformStore(address=address, session=session)
            store = HttpStore(url=f"http://{address}", session=session)
            rank = RankServer(address=address, session=session, timeout_s=5.0)
            calls = (
                lambda: platform.get("k", purpose="test"),
                lambda: platform.list("k", purpose="test"),
                lambda: platform.put("k", b"", expected_revision=0, purpose="test"),
                lambda: store.get("k", purpose="test"),
                lambda: store.list("k", purpose="test"),
                lambda: rank.status(),
            )
            for cut in range(len(head_of({})) + len(body)):
                server.cut = (REASONS[cut % 2], cut)
                for number, call in enumerate(calls):
                    try:
                        answer = await call()
                    except MagnoliagradeError:
                        continue
                    raise AssertionError((cut, number, answer))

    _run(scenario())


def _run(coroutine):
    async def run():
        async with asyncio.timeout(TEST_LIMIT_S):
            await coroutine

    asyncio.run(run())
