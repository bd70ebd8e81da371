"""Runs a direct entry: `python -m magnoliagrade_entry.direct FILE`."""

import sys

from magnoliagrade.node import serve_node

from magnoliagrade_entry.direct import DirectEntry, DirectSettings

if __name__ == "__main__":
    serve_node(DirectEntry, DirectSettings, sys.argv[1], bounds_logs=True)
