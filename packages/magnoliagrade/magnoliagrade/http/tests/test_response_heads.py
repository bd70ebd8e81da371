"""Heads of responses that are read, and bytes that are no head."""

from magnoliagrade.http.response_heads import (
    HEADS_LIMIT_BYTES,
    MAX_INTERIM_HEADS,
    InvalidResponse,
    ResponseHeads,
)

SOUND_HEADS = (
    b"HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\n",
    b"HTTP/1.0 599 \r\n\r\n",
    b"HTTP/1.1 204\r\nX-A:\t a\tb \r\nX-A: caf\xc3\xa9\r\n\r\n",
    b"HTTP/1.1 200 a reason\nTransfer-Encoding: Chunked\n\n",
)
INTERIM_HEAD = b"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
STATUS_LINES = (
    *(f"HTTP/1.1 {code} OK".encode() for code in ("000", "001", "099", "600", "999")),
    *(
        f"HTTP/1.1 {code} OK".encode()
        for code in ("20", "2000", "+20", "2x0", "", "-1")
    ),
    b"HTTP/1.1  200 OK",
    b"HTTP/1.1 200OK",
    b"HTTP/1.1 200 O\x00K",
    b"HTTP/1.1 200 O\rK",
    b"HTTP/1.1 101 Switching Protocols",
    b"HTTP/2.0 200 OK",
    b"HTTP/1.2 200 OK",
    b"http/1.1 200 OK",
    b"ICY 200 OK",
    b"garbage",
    b"",
)
FIELDS = (
    *(b"X-%cA: 1" % byte for byte in (*range(0x0A), 0x0B, 0x0C, *range(0x0D, 0x21))),
    b"X-A\x7f: 1",
    b"X-\xe9: 1",
    b"X A: 1",
    b"X-A : 1",
    b"X-A\t: 1",
    b" X-A: 1",
    b"\tfolded",
    b": 1",
    b"no colon",
    b"X-(A): 1",
    b"X-A: a\x02b",
    b"X-A: a\x00b",
    b"X-A: a\rb",
    b"X-A: a\x7fb",
    b"X-A: caf\xe9",
    b"Content-Length: 5\r\nContent-Length: 20",
    b"Content-Length: 5\r\ncontent-length: 5",
    b"Content-Length: 5, 5",
    b"Content-Length: +5",
    b"Content-Length: 0x5",
    b"Content-Length:",
    b"Content-Length: 5\r\nTransfer-Encoding: chunked",
    b"Transfer-Encoding: gzip",
    b"Transfer-Encoding: gzip, chunked",
    b"Transfer-Encoding: identity",
)


def test_sound_heads_are_passed_on_unchanged_wherever_they_are_split():
    for head in SOUND_HEADS:
        for data in (head, head + b"body\r\n\r\n"):
            for cut in range(len(data) + 1):
                heads = ResponseHeads()
                first = heads.feed(data[:cut])
                assert first in (b"", data[:cut])
                rest = data[cut:] if first else heads.feed(data[cut:])
                assert first + rest == data, (head, cut)


def test_interim_heads_are_left_out():
    data = MAX_INTERIM_HEADS * INTERIM_HEAD + SOUND_HEADS[0] + b"rest"
    for cut in range(len(data)):
        heads = ResponseHeads()
        passed = heads.feed(data[:cut])
        passed += data[cut:] if passed else heads.feed(data[cut:])
        assert passed == SOUND_HEADS[0] + b"rest", cut


def test_malformed_heads_are_rejected():
    for line in STATUS_LINES:
        _assert_rejected(line + b"\r\n\r\n")
    for field in FIELDS:
        _assert_rejected(b"HTTP/1.1 200 OK\r\nX-B: 1\r\n" + field + b"\r\n\r\n")
    _assert_rejected(b"HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")


def test_heads_without_end_are_rejected():
    _assert_rejected((MAX_INTERIM_HEADS + 1) * INTERIM_HEAD)
    for block in (b"x", b"X-A: 1\r\n", b"\r\n", b"HTTP/1.1 100 \r\nX: " + 9000 * b"x"):
        heads = ResponseHeads()
        size = 0
        try:
            while size <= 2 * HEADS_LIMIT_BYTES:
                assert heads.feed(1000 * block) == b""
                size += 1000 * len(block)
        except InvalidResponse:
            continue
        raise AssertionError(block)


def _assert_rejected(data):
    try:
        passed = ResponseHeads().feed(data)
    except InvalidResponse:
        return
    raise AssertionError((data, passed))
