"""The binary `magnoliagrade`: the entry and the operators' commands."""

from magnoliagrade.node import check_settings, run_command_line, serve_node

from magnoliagrade_entry.instance import EntryInstance
from magnoliagrade_entry.settings import EntrySettings

__all__ = ["Commands", "main"]


class Commands:
    """Load balancer for expert-parallel model groups."""

    def serve(self, file):
        """Run an entry instance until SIGTERM.

        Parameters
        ----------
        file : str
            Settings in INI.
        """
        serve_node(EntryInstance, EntrySettings, file)

    def check(self, file):
        """Check a settings file without starting anything.

        Parameters
        ----------
        file : str
            Settings in INI.
        """
        check_settings(EntrySettings, file)


def main():
    """Run the command line."""
    run_command_line(Commands, name="magnoliagrade")
