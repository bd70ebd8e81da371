"""A TCP proxy that delays, stalls and resets connections by source and target."""

import asyncio
import contextlib
import enum
from dataclasses import dataclass

from magnoliagrade_standins.resets import reset_connection

__all__ = ["FaultProxy", "Flow", "Rule"]

READ_BYTES = 64 * 1024
STALL_POLL_INTERVAL_S = 0.02


class Flow(enum.Enum):
    """Treatment of the bytes of a connection."""

    PASS = "pass"
    CUT = "cut"  # open and new connections are reset
    STALL = "stall"  # bytes are held back in both directions
    STALL_TO_TARGET = "stall-to-target"
    STALL_FROM_TARGET = "stall-from-target"


@dataclass(slots=True, kw_only=True)
class Rule:
    """Fault of the connections from matching sources to matching targets.

    Parameters
    ----------
    source : str
        Prefix of the source address; empty matches all.
    target : str
        Prefix of the target's name; empty matches all.
    flow : Flow
        Treatment of the connections.
    delay_s : float
        Delay of each chunk of bytes in each direction, in seconds.
    cut_after_bytes : int
        Number of bytes from the target after which a connection is reset; 0 for no
        limit.
    """

    source: str = ""
    target: str = ""
    flow: Flow = Flow.PASS
    delay_s: float = 0.0
    cut_after_bytes: int = 0

    def matches(self, source, target):
        """Return whether the rule applies to a source address and a target's name."""
        return source.startswith(self.source) and target.startswith(self.target)


class FaultProxy:
    """TCP proxy with a listener for each target.

    Parameters
    ----------
    clock : Clock
        Source of time.
    host : str
        Address that the listeners bind to.

    Notes
    -----
    The last rule that matches a connection applies. A rule with `Flow.CUT` also resets
    the connections that are open.
    """

    __slots__ = (
        "_address_by_target",
        "_clock",
        "_connections",
        "_host",
        "_rules",
        "_servers",
    )

    def __init__(self, *, clock, host="127.0.0.1"):
        self._clock = clock
        self._host = host
        self._address_by_target = {}
        self._rules = []
        self._servers = []
        self._connections = set()

    async def open(self, target):
        """Listen for a named target on a free port and return its `host:port`."""

        async def on_connection(reader, writer):
            with contextlib.suppress(asyncio.CancelledError):
                await self._forward(reader, writer, target)

        server = await asyncio.start_server(on_connection, self._host, 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def set_address(self, target, address):
        """Set the `host:port` to which new connections for a target are forwarded."""
        self._address_by_target[target] = address

    def set_rules(self, rules):
        """Replace all rules and reset the open connections that they cut."""
        self._rules = list(rules)
        for connection in list(self._connections):
            source, target, writers = connection
            if self._matching_rule(source, target).flow is Flow.CUT:
                _reset(writers)

    def close(self):
        """Stop listening and reset every connection."""
        for server in self._servers:
            server.close()
        for _, _, writers in list(self._connections):
            _reset(writers)

    def _matching_rule(self, source, target):
        matching = [r for r in self._rules if r.matches(source, target)]
        return matching[-1] if matching else Rule()

    async def _forward(self, reader, writer, target):
        source = writer.get_extra_info("peername")[0]
        if self._matching_rule(source, target).flow is Flow.CUT:
            reset_connection(writer.transport)
            return
        address = self._address_by_target.get(target, "")
        host, _, port = address.rpartition(":")
        try:
            upstream = await asyncio.open_connection(host, int(port or 0))
        except OSError:
            writer.transport.abort()
            return
        connection = (source, target, (writer, upstream[1]))
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._copy_bytes(connection, reader, upstream[1], is_to_target=True),
                self._copy_bytes(connection, upstream[0], writer, is_to_target=False),
            )
        finally:
            self._connections.discard(connection)
            writer.close()
            upstream[1].close()

    async def _copy_bytes(self, connection, reader, writer, *, is_to_target):
        source, target, writers = connection
        copied_bytes = 0
        with contextlib.suppress(ConnectionError, OSError):
            while data := await reader.read(READ_BYTES):
                rule = await self._wait_while_stalled(source, target, is_to_target)
                if rule.delay_s:
                    await self._clock.sleep(rule.delay_s)
                limit_bytes = 0 if is_to_target else rule.cut_after_bytes
                if limit_bytes and copied_bytes + len(data) >= limit_bytes:
                    writer.write(data[: limit_bytes - copied_bytes])
                    await writer.drain()
                    break
                copied_bytes += len(data)
                writer.write(data)
                await writer.drain()
            else:
                writer.write_eof()
                return
        _reset(writers)

    async def _wait_while_stalled(self, source, target, is_to_target):
        stall = Flow.STALL_TO_TARGET if is_to_target else Flow.STALL_FROM_TARGET
        while True:
            rule = self._matching_rule(source, target)
            if rule.flow not in (Flow.STALL, stall):
                return rule
            await self._clock.sleep(STALL_POLL_INTERVAL_S)


def _reset(writers):
    for writer in writers:
        reset_connection(writer.transport)
