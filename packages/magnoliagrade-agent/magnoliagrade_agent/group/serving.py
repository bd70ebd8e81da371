"""Admission of requests by the group of an agent."""

import contextlib

__all__ = ["group_serving"]


def group_serving(node):
    """Return the context manager in which an agent serves one request.

    Parameters
    ----------
    node : AgentInstance
        The agent; if it has no group, the context manager does nothing.
    """
    if node.group_service is None:
        return contextlib.nullcontext()
    return node.group_service.serving()
