"""Decides whether the head of a response is one, before anything else reads it."""

import re

__all__ = ["InvalidResponse", "ResponseHeads"]

# Limit on the bytes of all heads of one response: interim ones, and the final one.
HEADS_LIMIT_BYTES = 64 * 1024
# Interim heads (100 Continue, 103 Early Hints) before the final one.
MAX_INTERIM_HEADS = 16
# Protocol switch, which no request of this system asks for.
SWITCHING_PROTOCOLS = 101

_END = re.compile(rb"\n\r?\n")
_STATUS_LINE = re.compile(
    rb"HTTP/(1\.[01]) ([1-5][0-9]{2})(?: [^\x00-\x08\x0a-\x1f\x7f]*)?"
)
# A name is a token of RFC 9110; a value has no control bytes but the tab.
_FIELD = re.compile(rb"([!#$%&'*+\-.^_`|~0-9A-Za-z]+):([^\x00-\x08\x0a-\x1f\x7f]*)")
_LENGTH = re.compile(rb"[0-9]{1,18}")


class InvalidResponse(Exception):
    """The bytes received are not the head of a response; the text says why."""


class ResponseHeads:
    r"""Collects and checks the heads of one response.

    Examples
    --------
    >>> heads = ResponseHeads()
    >>> heads.feed(b"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 204 No")
    b''
    >>> heads.feed(b" Content\r\n\r\nrest")
    b'HTTP/1.1 204 No Content\r\n\r\nrest'

    Notes
    -----
    The two parsers of aiohttp, compiled and pure, accept different malformed heads, and
    queue interim heads without a limit. No byte of a head reaches either of them before
    the entire head has been checked, and interim heads do not reach them at all.
    """

    __slots__ = ("_buffer", "_interim_heads", "_size")

    def __init__(self):
        self._buffer = b""
        self._interim_heads = 0
        self._size = 0

    def feed(self, data):
        """Append received bytes; return the final head and what follows it, once whole.

        Parameters
        ----------
        data : bytes
            Next bytes of the connection.

        Returns
        -------
        data : bytes
            Empty until the final head is complete.

        Raises
        ------
        InvalidResponse
            If the bytes are not a head, or the heads exceed a limit.
        """
        buffer = self._buffer + data
        while (end := _END.search(buffer)) is not None:
            head = buffer[: end.end()]
            self._count(len(head))
            if not _is_interim(_check_head(head)):
                self._buffer = b""
                return buffer
            self._interim_heads += 1
            if self._interim_heads > MAX_INTERIM_HEADS:
                raise InvalidResponse(f"more than {MAX_INTERIM_HEADS} interim heads")
            buffer = buffer[end.end() :]
        self._buffer = buffer
        if self._size + len(buffer) > HEADS_LIMIT_BYTES:
            self._count(len(buffer))
        return b""

    def _count(self, size):
        self._size += size
        if self._size > HEADS_LIMIT_BYTES:
            raise InvalidResponse(f"heads of more than {HEADS_LIMIT_BYTES} bytes")


def _check_head(head):
    """Return the status of a head; raise `InvalidResponse` if it is malformed."""
    status_line, *lines = (line.removesuffix(b"\r") for line in head.split(b"\n")[:-2])
    match = _STATUS_LINE.fullmatch(status_line)
    if match is None:
        raise InvalidResponse(f"malformed status line {status_line[:80]!r}")
    version, status = match[1], int(match[2])
    if status == SWITCHING_PROTOCOLS:
        raise InvalidResponse("unrequested switch of the protocol")
    values_by_name = {}
    for line in lines:
        name, value = _check_field(line)
        values_by_name.setdefault(name.lower(), []).append(value.strip(b" \t"))
    _check_framing(version, values_by_name)
    return status


def _check_field(line):
    match = _FIELD.fullmatch(line)
    if match is None:
        raise InvalidResponse(f"malformed header field {line[:80]!r}")
    try:
        match[2].decode()
    except UnicodeDecodeError as exc:
        # It could not be forwarded unchanged.
        detail = f"header field {line[:80]!r} is not UTF-8"
        raise InvalidResponse(detail) from exc
    return match.groups()


def _check_framing(version, values_by_name):
    """Raise `InvalidResponse` if the length of the body is ambiguous or unknown."""
    lengths = values_by_name.get(b"content-length", [])
    codings = values_by_name.get(b"transfer-encoding", [])
    if len(lengths) + len(codings) > 1:
        raise InvalidResponse("more than one length or transfer coding of the body")
    if lengths and _LENGTH.fullmatch(lengths[0]) is None:
        raise InvalidResponse(f"malformed length of the body {lengths[0][:80]!r}")
    if codings and (version == b"1.0" or codings[0].lower() != b"chunked"):
        raise InvalidResponse(f"unknown transfer coding {codings[0][:80]!r}")


def _is_interim(status):
    return status < 200
