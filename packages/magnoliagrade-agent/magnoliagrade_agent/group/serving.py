"""Whether an agent's group lets a request in."""

import contextlib

__all__ = ["group_serving"]


def group_serving(node):
    """Return the context in which an agent serves one request.

    Parameters
    ----------
    node : AgentInstance
        The agent; without a group nothing is added.
    """
    if node.group_service is None:
        return contextlib.nullcontext()
    return node.group_service.serving()
