"""Runs a direct agent: `python -m magnoliagrade_agent.direct FILE`."""

import sys

from magnoliagrade.node import serve_node

from magnoliagrade_agent.direct import DirectAgent, DirectAgentSettings

if __name__ == "__main__":
    serve_node(DirectAgent, DirectAgentSettings, sys.argv[1], bounds_logs=True)
