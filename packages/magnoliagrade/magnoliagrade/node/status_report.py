"""Handler that reports the state of a node to operators' commands over a link."""

from magnoliagrade.wire import StatusPull, StatusReport

__all__ = ["register_status"]


def register_status(handlers):
    """Register the handler of `StatusPull` in a table.

    Parameters
    ----------
    handlers : HandlerTable
        Table of one kind of node.
    """

    @handlers.on(StatusPull)
    async def on_status_pull(node, link, message):
        link.send(_status_of(node))


def _status_of(node):
    stored = node.configuration.stored
    return StatusReport(
        revision=node.configuration.revision,
        operation=stored.root.newest.operation if stored else "",
        age_seconds=node.configuration.age_s(),
        role=node.role.value,
        data_centre=node.identity.data_centre,
        not_ready=node.reasons_not_ready(),
        is_leaving=node.is_leaving,
    )
