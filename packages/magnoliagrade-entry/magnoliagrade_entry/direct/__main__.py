"""Runs a direct entry: `python -m magnoliagrade_entry.direct FILE`."""

import functools
import sys

from magnoliagrade.early_start import (
    ignore_reloads,
    open_listener,
    skip_ca_certificates,
)


def main(file):
    """Open the callers' listener, then import the other modules and serve requests."""
    ignore_reloads()
    listener = open_listener(file, section="listen", option="caller_address")
    skip_ca_certificates()
    from magnoliagrade.node import serve_node

    from magnoliagrade_entry.direct import DirectEntry, DirectSettings

    node_class = functools.partial(DirectEntry, listener=listener)
    serve_node(node_class, DirectSettings, file, bounds_logs=True)


if __name__ == "__main__":
    main(sys.argv[1])
