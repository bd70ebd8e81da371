"""Malformed, oversized and slow input to each listener of an entry and an agent.

Each case must get an error response without running anything at a back end.
"""

import asyncio
import contextlib
import json
from dataclasses import dataclass

from magnoliagrade_standins.harness import Site, SitePlan

BODY_LIMIT_BYTES = 2048
STEP_TIMEOUT_S = 20
PLAN = SitePlan(
    entries_by_data_centre={"vernon": 1},
    engines_by_data_centre={"vernon": 1},
    services_by_data_centre={"vernon": 1},
    entry_settings={
        "requests": {
            "body_limit_bytes": BODY_LIMIT_BYTES,
            "body_memory_bytes": 2 * BODY_LIMIT_BYTES,
            "body_timeout_s": 2.0,
            "header_timeout_s": 1.0,
            "header_limit_bytes": 1024,
        }
    },
)
KEY = "Authorization: Bearer key-0"
STOCK_REQUEST = f"GET /orders/stock HTTP/1.1\r\nHost: x\r\n{KEY}\r\n\r\n".encode()


@dataclass(slots=True, kw_only=True)
class Response:
    version: str
    status: int
    headers: dict
    body: bytes

    @property
    def announces_close(self):
        if self.version == "HTTP/1.0":
            return self.headers.get("connection") != "keep-alive"
        return self.headers.get("connection") == "close"

    def problem(self):
        assert self.headers["content-type"].startswith("application/problem+json")
        problem = json.loads(self.body)
        assert problem["instance"] == self.headers["x-request-id"] != ""
        assert problem["ran"] == "no" and problem["status"] == self.status
        return problem


@contextlib.asynccontextmanager
async def _connected(address):
    host, _, port = address.rpartition(":")
    reader, writer = await asyncio.open_connection(host, int(port))
    try:
        async with asyncio.timeout(STEP_TIMEOUT_S):
            yield reader, writer
    finally:
        writer.close()


async def _read_response(reader):
    head = (await reader.readuntil(b"\r\n\r\n")).decode()
    line, *header_lines = head.strip().split("\r\n")
    headers = {
        k.lower(): v
        for k, _, v in (header_line.partition(": ") for header_line in header_lines)
    }
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    version, status, *_ = line.split()
    return Response(version=version, status=int(status), headers=headers, body=body)


async def _send(address, data):
    """Return the response and whether the connection then serves another request."""
    async with _connected(address) as (reader, writer):
        writer.write(data)
        response = await _read_response(reader)
        try:
            writer.write(STOCK_REQUEST)
            second = await _read_response(reader)
        except (asyncio.IncompleteReadError, ConnectionError):
            assert response.announces_close
            return response, False
        assert second.status == 200, second
        return response, True


def _post(body, *headers, path="/v1/completions", key=KEY):
    length = f"Content-Length: {len(body)}"
    header_lines = [f"POST {path} HTTP/1.1", "Host: x", key, length, *headers]
    return "\r\n".join([*header_lines, "", ""]).encode("latin-1") + body


def _chunked(data):
    head = f"POST /orders/x HTTP/1.1\r\nHost: x\r\n{KEY}\r\n"
    return head.encode() + b"Transfer-Encoding: chunked\r\n\r\n" + data


def _completion(**fields):
    return _post(json.dumps({"model": "swatch", "prompt": "p", **fields}).encode())


CASES_KEEPING_CONNECTION = (
    ("malformed JSON", _post(b'{"model": '), 400, "INVALID_REQUEST"),
    ("not an object", _post(b"[1]"), 400, "INVALID_REQUEST"),
    ("not text", _post(b"\xff\xfe"), 400, "INVALID_REQUEST"),
    ("deep nesting", _post(b"[" * 2000), 400, "INVALID_REQUEST"),
    ("model type", _completion(model=1), 400, "INVALID_REQUEST"),
    ("prompt type", _completion(prompt=["p"]), 400, "INVALID_REQUEST"),
    ("messages type", _completion(messages="m"), 400, "INVALID_REQUEST"),
    ("message type", _completion(messages=[1]), 400, "INVALID_REQUEST"),
    ("tokens", _completion(max_tokens=0), 400, "INVALID_REQUEST"),
    ("token type", _completion(max_tokens=True), 400, "INVALID_REQUEST"),
    ("too many tokens", _completion(max_tokens=10**30), 400, "INVALID_REQUEST"),
    (
        "unpaired surrogate",
        _post(b'{"model":"\\ud800","prompt":"p"}'),
        400,
        "INVALID_REQUEST",
    ),
    ("content encoding", _post(b"x", "Content-Encoding: gzip"), 400, "INVALID_REQUEST"),
    ("not UTF-8", _post(b"{}", "X-A: \xff"), 400, "INVALID_REQUEST"),
    ("label", _post(b"", "X-Request-Labels: a", path="/orders/x"), 400, None),
    ("idempotent", _post(b"", "Idempotent: yes", path="/orders/x"), 400, None),
    ("deadline", _post(b"", "X-Deadline-Seconds: nan", path="/orders/x"), 400, None),
    ("priority", _post(b"", "X-Priority: 1e9", path="/orders/x"), 400, None),
    ("no key", _post(b"{}", key="X-A: b"), 401, "UNAUTHENTICATED"),
    ("non-ASCII key", _post(b"", key="Authorization: Bearer \xff"), 400, None),
    ("unknown model", _completion(model="other"), 404, "NO_ROUTE"),
    ("unknown application", _post(b"", path="/nothing/x"), 404, "NO_ROUTE"),
    (
        "asterisk path",
        STOCK_REQUEST.replace(b"GET /orders/stock", b"OPTIONS *"),
        404,
        "NO_ROUTE",
    ),
)
CASES_CLOSING_CONNECTION = (
    ("garbage", b"\x16\x03\x01\x02\x00\x01\x00\r\n\r\n", 400, "INVALID_REQUEST"),
    ("bad header", b"GET / HTTP/1.1\r\nno colon\r\n\r\n", 400, "INVALID_REQUEST"),
    ("long line", b"GET /" + b"a" * 3000 + b" HTTP/1.1\r\n\r\n", 413, "TOO_LARGE"),
    ("long header", _post(b"", f"X-A: {'a' * 3000}"), 413, "TOO_LARGE"),
    ("many headers", _post(b"", *["X-A: b"] * 300), 400, "INVALID_REQUEST"),
    ("bad length", _post(b"", "Content-Length: -1"), 400, "INVALID_REQUEST"),
    ("two lengths", _post(b"", "Content-Length: 7"), 400, "INVALID_REQUEST"),
    ("length and chunks", _post(b"", "Transfer-Encoding: chunked"), 400, None),
    ("large body", _post(b"a" * 5000)[:-100], 413, "TOO_LARGE"),
    ("large chunks", _chunked(b"800\r\n" + b"a" * 2048 + b"\r\n1\r\na"), 413, None),
    ("broken chunk", _chunked(b"5\r\nabcdeXX\r\n"), 400, "INVALID_REQUEST"),
    ("bad chunk size", _chunked(b"zz\r\n"), 400, "INVALID_REQUEST"),
    ("slow headers", b"GET / HTTP/1.1\r\nX-A: b\r\n", 400, "INVALID_REQUEST"),
    ("slow body", _post(b"a" * 10)[:-3], 400, "INVALID_REQUEST"),
    ("slow chunks", _chunked(b"5\r\nab"), 400, "INVALID_REQUEST"),
)


def test_bad_input_to_the_doors():
    asyncio.run(_check_listeners())


async def _check_listeners():
    async with Site(plan=PLAN) as site:
        entry = site.entry_by_name["vernon-entry-0"].addresses
        agent = site.agent_by_name["vernon-service-0"].addresses
        await _check_caller_listener(entry["caller"])
        await _check_pipelining(entry["caller"])
        await _check_expect_continue(entry["caller"])
        await _check_body_memory_limit(entry["caller"])
        for address in (entry["data"], agent["data"]):
            await _check_data_listener(address)
        await _check_admin_listener(entry["admin"])
        await _check_nothing_ran(site)


async def _check_caller_listener(address):
    for case in CASES_KEEPING_CONNECTION:
        await _check_case(address, True, *case)
    # Run at the same time because the slow cases last until a timeout of the entry.
    await asyncio.gather(
        *(_check_case(address, False, *case) for case in CASES_CLOSING_CONNECTION)
    )


async def _check_case(address, expect_kept, name, data, status, code):
    response, is_kept = await _send(address, data)
    problem = response.problem()
    actual = (response.status, problem["code"], is_kept)
    assert actual == (status, code or problem["code"], expect_kept), (name, problem)
    assert "key-0" not in response.body.decode(), name


async def _check_pipelining(address):
    async with _connected(address) as (reader, writer):
        writer.write(STOCK_REQUEST + STOCK_REQUEST)
        assert (await _read_response(reader)).status == 200
        assert (await _read_response(reader)).status == 200
        writer.write(b"\x00junk\r\n\r\n" + STOCK_REQUEST)
        assert (await _read_response(reader)).problem()["code"] == "INVALID_REQUEST"
        assert await reader.read() == b""


async def _check_expect_continue(address):
    order = _post(b"ab", "Expect: 100-continue", path="/orders/stock")
    async with _connected(address) as (reader, writer):
        writer.write(order[:-2])
        assert (await _read_response(reader)).status == 100
        writer.write(order[-2:])
        assert (await _read_response(reader)).status == 200
    large = _post(b"a" * 5000, "Expect: 100-continue")[:-5000]
    async with _connected(address) as (reader, writer):
        writer.write(large)
        assert (await _read_response(reader)).problem()["code"] == "TOO_LARGE"


async def _check_body_memory_limit(address):
    incomplete = _post(b"a" * BODY_LIMIT_BYTES)[:-1]
    async with (
        _connected(address) as (_, first),
        _connected(address) as (_, second),
        _connected(address) as (reader, third),
    ):
        for writer in (first, second, third):
            writer.write(incomplete)
            await asyncio.sleep(0.1)
        assert (await _read_response(reader)).problem()["code"] == "OVERLOADED"
    assert (await _send(address, STOCK_REQUEST))[0].status == 200


async def _check_data_listener(address):
    for data in (b"\x00\r\n\r\n", STOCK_REQUEST):
        async with _connected(address) as (reader, writer):
            writer.write(data)
            response = await _read_response(reader)
            assert json.loads(response.body)["code"] == "INVALID_REQUEST"
            assert response.headers["x-magnoliagrade-code"] == "INVALID_REQUEST"
            assert response.headers["x-magnoliagrade-ran"] == "no"
            assert response.headers["x-request-id"]


async def _check_admin_listener(address):
    async with _connected(address) as (reader, writer):
        writer.write(b"GET /nothing HTTP/1.1\r\nHost: x\r\n\r\n")
        assert (await _read_response(reader)).problem()["code"] == "NO_ROUTE"


async def _check_nothing_ran(site):
    record = await site.record("vernon-service-0")
    # `_send` requests /stock to check whether the connection is still open.
    executions = record["executions"]
    assert {e["path"] for e in executions} == {"/stock"}, executions
    requests = (await site.record("vernon-model-0"))["requests"]
    assert requests == [], requests
