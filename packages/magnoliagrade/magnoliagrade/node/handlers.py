"""Table of message handlers that are registered by a decorator."""

import logging

from magnoliagrade.observability.logs import log_event

__all__ = ["HandlerTable"]

_log = logging.getLogger(__name__)


class HandlerTable:
    """Handlers of one kind of node by message class.

    Examples
    --------
    >>> handlers = HandlerTable()
    >>> @handlers.on(str)
    ... async def greet(node, link, message):
    ...     return message
    >>> handlers.by_message[str] is greet
    True
    """

    __slots__ = ("by_message",)

    def __init__(self):
        self.by_message = {}

    def on(self, message_class):
        """Return a decorator that registers the handler of a message class.

        Raises
        ------
        ValueError
            If the class has a handler already.
        """

        def add_handler(handler):
            if message_class in self.by_message:
                name = message_class.__name__
                raise ValueError(f"message class {name} already has a handler")
            self.by_message[message_class] = handler
            return handler

        return add_handler

    async def handle(self, node, link, message):
        """Run the handler of a message; log and drop a message without a handler.

        Parameters
        ----------
        node : object
            The entry or agent.
        link : Link
            Link that the message was received on.
        message : object
            The message.
        """
        handler = self.by_message.get(type(message))
        if handler is None:
            name = type(message).__name__
            log_event(
                _log, "link.unhandled", message_class=name, peer=link.peer_instance
            )
            return
        await handler(node, link, message)
