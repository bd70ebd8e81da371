"""The binary `magnoliagrade-agent`."""

from magnoliagrade.node import check_settings, run_command_line, serve_node

from magnoliagrade_agent.instance import AgentInstance
from magnoliagrade_agent.settings import AgentSettings

__all__ = ["Commands", "main"]


class Commands:
    """Agent in front of one endpoint."""

    def serve(self, file):
        """Run the agent until SIGTERM.

        Parameters
        ----------
        file : str
            Settings in INI.
        """
        serve_node(AgentInstance, AgentSettings, file)

    def check(self, file):
        """Check a settings file without starting anything.

        Parameters
        ----------
        file : str
            Settings in INI.
        """
        check_settings(AgentSettings, file)


def main():
    """Run the command line."""
    run_command_line(Commands, name="magnoliagrade-agent")
