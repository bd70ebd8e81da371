"""A TCP proxy that delays, stalls and cuts connections by source and target."""

import asyncio
import contextlib
import enum
from dataclasses import dataclass

from magnoliagrade_standins.resets import reset_connection

__all__ = ["FaultProxy", "Flow", "Rule"]

READ_BYTES = 64 * 1024
STALL_POLL_S = 0.02


class Flow(enum.Enum):
    """What happens to the bytes of a connection."""

    PASS = "pass"
    CUT = "cut"  # connections are reset, new ones too
    STALL = "stall"  # nothing arrives on either side
    STALL_TO_TARGET = "stall-to-target"
    STALL_FROM_TARGET = "stall-from-target"


@dataclass(slots=True, kw_only=True)
class Rule:
    """What happens to connections from some sources to some targets.

    Parameters
    ----------
    source : str
        Prefix of the connecting address; empty means all.
    target : str
        Prefix of the target's name; empty means all.
    flow : Flow
        What happens.
    delay_s : float
        Delay of each chunk in each direction.
    cut_after_bytes : int
        Reset a connection once so many bytes have gone from its target; 0 never.
    """

    source: str = ""
    target: str = ""
    flow: Flow = Flow.PASS
    delay_s: float = 0.0
    cut_after_bytes: int = 0

    def matches(self, source, target):
        """Return whether the rule is about a connection."""
        return source.startswith(self.source) and target.startswith(self.target)


class FaultProxy:
    """Listeners that forward to targets under rules.

    Parameters
    ----------
    clock : Clock
        Source of time.
    host : str
        Address to listen on.

    Notes
    -----
    The newest rule that matches a connection applies. Rules that cut also end
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
        """Listen on a free port for a named target and return `host:port`."""

        async def on_connection(reader, writer):
            with contextlib.suppress(asyncio.CancelledError):
                await self._forward(reader, writer, target)

        server = await asyncio.start_server(on_connection, self._host, 0)
        self._servers.append(server)
        host, port = server.sockets[0].getsockname()[:2]
        return f"{host}:{port}"

    def point(self, target, address):
        """Set the `host:port` that a named target stands for from now on."""
        self._address_by_target[target] = address

    def set_rules(self, rules):
        """Replace all rules and cut the connections that they forbid."""
        self._rules = list(rules)
        for connection in list(self._connections):
            source, target, writers = connection
            if self._rule(source, target).flow is Flow.CUT:
                _abort(writers)

    def close(self):
        """Stop listening and cut every connection."""
        for server in self._servers:
            server.close()
        for _, _, writers in list(self._connections):
            _abort(writers)

    def _rule(self, source, target):
        matching = [r for r in self._rules if r.matches(source, target)]
        return matching[-1] if matching else Rule()

    async def _forward(self, reader, writer, target):
        source = writer.get_extra_info("peername")[0]
        if self._rule(source, target).flow is Flow.CUT:
            reset_connection(writer.transport)
            return
        address = self._address_by_target.get(target, "")
        host, _, port = address.rpartition(":")
        try:
            onward = await asyncio.open_connection(host, int(port or 0))
        except OSError:
            writer.transport.abort()
            return
        connection = (source, target, (writer, onward[1]))
        self._connections.add(connection)
        try:
            await asyncio.gather(
                self._pump(connection, reader, onward[1], is_to_target=True),
                self._pump(connection, onward[0], writer, is_to_target=False),
            )
        finally:
            self._connections.discard(connection)
            writer.close()
            onward[1].close()

    async def _pump(self, connection, reader, writer, *, is_to_target):
        source, target, writers = connection
        passed = 0
        with contextlib.suppress(ConnectionError, OSError):
            while data := await reader.read(READ_BYTES):
                rule = await self._wait_for_flow(source, target, is_to_target)
                if rule.delay_s:
                    await self._clock.sleep(rule.delay_s)
                limit = 0 if is_to_target else rule.cut_after_bytes
                if limit and passed + len(data) >= limit:
                    writer.write(data[: limit - passed])
                    await writer.drain()
                    break
                passed += len(data)
                writer.write(data)
                await writer.drain()
            else:
                writer.write_eof()
                return
        _abort(writers)

    async def _wait_for_flow(self, source, target, is_to_target):
        direction = Flow.STALL_TO_TARGET if is_to_target else Flow.STALL_FROM_TARGET
        while True:
            rule = self._rule(source, target)
            if rule.flow not in (Flow.STALL, direction):
                return rule
            await self._clock.sleep(STALL_POLL_S)


def _abort(writers):
    for writer in writers:
        reset_connection(writer.transport)
