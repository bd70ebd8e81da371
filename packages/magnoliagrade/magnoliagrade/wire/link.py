"""Links: control connections over TCP between two processes."""

import asyncio
import struct

from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.wire.codec import Envelope, decode, encode

__all__ = ["MAX_MESSAGE_BYTES", "Link", "LinkCounters"]

# Largest received message, without its length prefix; not checked when sending.
MAX_MESSAGE_BYTES = 4 * 1024 * 1024
# Unsent bytes above which a link is aborted.
MAX_BUFFERED_BYTES = 8 * 1024 * 1024
_LENGTH_PREFIX = struct.Struct(">I")


class LinkCounters:
    """Counts of messages and bytes received and sent on the links of one process.

    Bytes include the length prefixes.
    """

    __slots__ = ("bytes_in", "bytes_out", "messages_in", "messages_out")

    def __init__(self):
        self.bytes_in = 0
        self.bytes_out = 0
        self.messages_in = 0
        self.messages_out = 0


class Link:
    """A framed connection that carries envelopes both ways.

    Parameters
    ----------
    reader : asyncio.StreamReader
        Stream that messages are received from.
    writer : asyncio.StreamWriter
        Stream that messages are sent to.
    identity : InstanceIdentity
        Identity of this process.
    revision : callable
        Returns the configuration revision in force at this process.
    counters : LinkCounters, optional
        Counters of messages and bytes; new ones by default.
    is_dialled : bool
        Whether this process opened the connection.

    Notes
    -----
    A frame is a big-endian 32-bit length followed by that many bytes. Both instances
    send `Hello` as their first message.
    """

    __slots__ = (
        "_identity",
        "_reader",
        "_revision",
        "_sequence",
        "_writer",
        "counters",
        "has_sent_since_check",
        "hello",
        "is_dialled",
        "last_sequence_in",
        "peer_incarnation",
        "peer_instance",
        "peer_revision",
    )

    def __init__(
        self, *, reader, writer, identity, revision, counters=None, is_dialled=False
    ):
        self._reader = reader
        self._writer = writer
        self._identity = identity
        self._revision = revision
        self._sequence = 0
        self.counters = counters or LinkCounters()
        self.hello = None
        self.is_dialled = is_dialled
        self.has_sent_since_check = False
        self.peer_instance = ""
        self.peer_incarnation = 0
        self.peer_revision = 0
        self.last_sequence_in = 0

    def send(self, message):
        """Queue a message for sending.

        The message is dropped if the link is closing, or if the peer has left more than
        `MAX_BUFFERED_BYTES` unread; the link is then aborted.

        Parameters
        ----------
        message : object
            Instance of a registered message class.
        """
        if self._writer.is_closing():
            return
        if self._writer.transport.get_write_buffer_size() > MAX_BUFFERED_BYTES:
            # The peer does not read; a new link starts with an empty buffer.
            self._writer.transport.abort()
            return
        self.has_sent_since_check = True
        self._sequence += 1
        data = encode(
            Envelope(
                instance=self._identity.instance,
                incarnation=self._identity.incarnation,
                sequence=self._sequence,
                configuration_revision=self._revision(),
                message=message,
            )
        )
        self._writer.write(_LENGTH_PREFIX.pack(len(data)) + data)
        self.counters.messages_out += 1
        self.counters.bytes_out += len(data) + _LENGTH_PREFIX.size

    async def drain(self):
        """Wait until the write buffer has free capacity again."""
        await self._writer.drain()

    async def receive(self):
        """Return the next message and record the state of its sender on the link.

        Returns
        -------
        message : object
            Instance of a registered message class.

        Raises
        ------
        MagnoliagradeError
            `WIRE_INVALID` if a frame is too large or can't be decoded.
        ConnectionError
            If the connection ends.
        """
        try:
            prefix = await self._reader.readexactly(_LENGTH_PREFIX.size)
            (size,) = _LENGTH_PREFIX.unpack(prefix)
            if size > MAX_MESSAGE_BYTES:
                detail = (
                    f"frame of {size} bytes exceeds the limit of {MAX_MESSAGE_BYTES}"
                )
                raise MagnoliagradeError(ErrorKind.WIRE_INVALID, detail)
            data = await self._reader.readexactly(size)
        except asyncio.IncompleteReadError as exc:
            raise ConnectionResetError("link closed by the peer") from exc
        envelope = decode(data)
        self.counters.messages_in += 1
        self.counters.bytes_in += size + _LENGTH_PREFIX.size
        self.peer_instance = envelope.instance
        self.peer_incarnation = envelope.incarnation
        self.peer_revision = envelope.configuration_revision
        self.last_sequence_in = envelope.sequence
        return envelope.message

    def consume_sent_flag(self):
        """Return whether a message was sent since the last call, and reset the flag."""
        has_sent_since_check = self.has_sent_since_check
        self.has_sent_since_check = False
        return has_sent_since_check

    @property
    def is_closing(self):
        """Whether the link is closed or is closing."""
        return self._writer.is_closing()

    def close(self):
        """Close the connection."""
        self._writer.close()
