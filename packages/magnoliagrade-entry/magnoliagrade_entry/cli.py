"""The binary `magnoliagrade`: the entry and the operators' commands."""

import getpass
import os

from magnoliagrade.node import check_settings, run_command_line, serve_node

from magnoliagrade_entry import commands
from magnoliagrade_entry.commands.changing import ChangeOptions
from magnoliagrade_entry.instance import EntryInstance
from magnoliagrade_entry.settings import EntrySettings

__all__ = ["Commands", "main"]


class Commands:
    """Load balancer for expert-parallel model groups.

    Parameters
    ----------
    store : str
        URL of the platform's store; also MAGNOLIAGRADE_STORE_URL.
    instances : str
        URL of the platform's list of instances; also MAGNOLIAGRADE_INSTANCES_URL.
    entry : str
        Admin URL of an entry that makes changes; also MAGNOLIAGRADE_ENTRY_URL.
    settings : str
        Settings file of an entry to take addresses from.
    author : str
        Who makes changes; also MAGNOLIAGRADE_AUTHOR, the user by default.
    json : bool
        Print JSON.
    wait : bool
        After a change, wait until all instances have it in force.
    timeout_s : float
        Longest such wait in seconds.
    operation : str
        Id of a change, to repeat it safely or to look it up in the history.
    unchecked : bool
        Change the store also when no instance can be asked.
    supersede : bool
        Change a store that is behind the instances, above their revision.
    """

    def __init__(
        self,
        *,
        store="",
        instances="",
        entry="",
        settings="",
        author="",
        json=False,
        wait=False,
        timeout_s=20.0,
        operation="",
        unchecked=False,
        supersede=False,
    ):
        self._addresses = commands.SiteAddresses.find(
            store=store, instances=instances, entry=entry, settings=settings
        )
        self._is_json = json
        self._operation = str(operation)
        self._options = ChangeOptions(
            author=str(author) or os.environ.get("MAGNOLIAGRADE_AUTHOR") or _user(),
            operation=self._operation,
            is_waiting=wait,
            timeout_s=timeout_s,
            is_json=json,
            is_unchecked=unchecked,
            is_superseding=supersede,
        )

    def serve(self, file):
        """Run an entry instance until SIGTERM.

        Parameters
        ----------
        file : str
            Settings in INI.
        """
        serve_node(EntryInstance, EntrySettings, file)

    def serve_direct(self, file):
        """Run an entry on the operators' platform until SIGTERM.

        Parameters
        ----------
        file : str
            Settings in INI, as deploy/entry.ini.template renders them.
        """
        from magnoliagrade_entry.direct import DirectEntry, DirectSettings

        serve_node(DirectEntry, DirectSettings, file, bounds_logs=True)

    def check(self, file, kind="settings"):
        """Check a file without starting or changing anything.

        Parameters
        ----------
        file : str
            Settings or configuration in INI.
        kind : str
            `settings`, `direct` (settings of a direct entry) or `configuration`.
        """
        if kind == "direct":
            from magnoliagrade_entry.direct import DirectSettings

            check_settings(DirectSettings, file)
            return
        if kind == "configuration":
            commands.run_command(commands.check_configuration(file))
        check_settings(EntrySettings, file)

    def apply(self, file):
        """Replace the configuration by a file's."""
        commands.run_command(commands.apply_file(self._addresses, file, self._options))

    def diff(self, file):
        """Show what applying a file would change."""
        commands.run_command(
            commands.show_difference(self._addresses, file, is_json=self._is_json)
        )

    def label(self, kind, name, *labels):
        """Set (key=value) and remove (key-) labels of an object.

        Parameters
        ----------
        kind : str
            `endpoint`, `data_centre` or `organisation`.
        name : str
            Name of the object.
        *labels : str
            `key=value` or `key-`.
        """
        commands.run_command(
            commands.change_labels(
                self._addresses,
                str(kind),
                str(name),
                [str(word) for word in labels],
                self._options,
            )
        )

    def drain(self, name, kind="endpoint"):
        """Give an endpoint, or a data centre, no new work."""
        state = "out" if kind.replace("-", "_") == "data_centre" else "draining"
        self.label(kind, name, f"state={state}")

    def admit(self, name, kind="endpoint"):
        """Give an endpoint, or a data centre, work again."""
        self.label(kind, name, "state-")

    def show(self):
        """Show the configuration in force."""
        commands.run_command(
            commands.show_configuration(self._addresses, is_json=self._is_json)
        )

    def history(self):
        """Show accepted changes, or with --operation whether one was accepted."""
        commands.run_command(
            commands.show_history(
                self._addresses, operation=self._operation, is_json=self._is_json
            )
        )

    def status(self):
        """Show every instance: revision in force and its age, ready, leaving."""
        commands.run_command(
            commands.show_status(self._addresses, is_json=self._is_json)
        )


def _user():
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def main():
    """Run the command line."""
    run_command_line(Commands, name="magnoliagrade")
