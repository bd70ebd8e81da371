"""Command line `magnoliagrade-agent`."""

from magnoliagrade.node import check_settings, run_command_line, serve_node

from magnoliagrade_agent.direct import DirectAgent, DirectAgentSettings
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

    def serve_direct(self, file):
        """Run an agent beside a model server of the operators' platform, until SIGTERM.

        Parameters
        ----------
        file : str
            Settings in INI, as deploy/agent.ini.template renders them.
        """
        serve_node(DirectAgent, DirectAgentSettings, file, bounds_logs=True)

    def check(self, file, direct=False):
        """Check a settings file without starting anything.

        Parameters
        ----------
        file : str
            Settings in INI.
        direct : bool
            Whether the file is for an agent on the operators' platform.
        """
        check_settings(DirectAgentSettings if direct else AgentSettings, file)


def main():
    """Run the command line `magnoliagrade-agent`."""
    run_command_line(Commands, name="magnoliagrade-agent")
