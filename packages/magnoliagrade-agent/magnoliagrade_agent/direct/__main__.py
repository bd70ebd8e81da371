"""Runs a direct agent: `python -m magnoliagrade_agent.direct FILE`."""

import sys

from magnoliagrade.early_start import ignore_reloads, skip_ca_certificates


def main(file):
    """Run an agent with a settings file until the process is told to stop."""
    ignore_reloads()
    skip_ca_certificates()
    from magnoliagrade.node import serve_node

    from magnoliagrade_agent.direct import DirectAgent, DirectAgentSettings

    serve_node(DirectAgent, DirectAgentSettings, file, bounds_logs=True)


if __name__ == "__main__":
    main(sys.argv[1])
