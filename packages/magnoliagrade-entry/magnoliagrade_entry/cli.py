"""Command line `magnoliagrade`: runs an entry, and has the operators' commands."""

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
        Admin URL of an entry to make changes through; also MAGNOLIAGRADE_ENTRY_URL.
    settings : str
        Settings file of an entry, read for URLs that are given in no other way.
    author : str
        Author of changes; also MAGNOLIAGRADE_AUTHOR, the system user by default.
    json : bool
        Print JSON.
    wait : bool
        After a change, wait until all instances have it in force.
    timeout_s : float
        Time-out of this wait, in seconds.
    operation : str
        Id of a change, to repeat the change safely or to look it up in the history.
    unchecked : bool
        Change the store even if no instance reports its configuration.
    supersede : bool
        If the store's revision is below the instances', write one above theirs.
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
        self._addresses = commands.SiteAddresses.resolve(
            store=store, instances=instances, entry=entry, settings=settings
        )
        self._is_json = json
        self._operation = str(operation)
        self._options = ChangeOptions(
            author=str(author)
            or os.environ.get("MAGNOLIAGRADE_AUTHOR")
            or _system_user(),
            operation=self._operation,
            is_waiting=wait,
            timeout_s=timeout_s,
            is_json=json,
            allows_unknown_revision=unchecked,
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
        """Run an entry that sends requests directly to endpoints, until SIGTERM.

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

    def explain(self, address, host, target, organisation=""):
        """Show where a direct entry would send a request now, and why; nothing is sent.

        Parameters
        ----------
        address : str
            `host:port` at which the entry serves its metrics.
        host : str
            Host of the request.
        target : str
            Path of the request.
        organisation : str
            Organisation that would send it.
        """
        commands.run_command(
            commands.show_explanation(
                str(address),
                host=str(host),
                target=str(target),
                organisation=str(organisation),
                is_json=self._is_json,
            )
        )

    def apply(self, file):
        """Replace the configuration with the content of a file."""
        commands.run_command(commands.apply_file(self._addresses, file, self._options))

    def diff(self, file):
        """Show the changes that applying a file would make."""
        commands.run_command(
            commands.show_difference(self._addresses, file, is_json=self._is_json)
        )

    def label(self, kind, name, *labels):
        """Set (key=value) or remove (key-) labels of an object.

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
                [str(label) for label in labels],
                self._options,
            )
        )

    def drain(self, name, kind="endpoint"):
        """Stop sending new work to an endpoint or a data centre.

        Parameters
        ----------
        name : str
            Name of the object.
        kind : str
            `endpoint` or `data_centre`.
        """
        state = "out" if kind.replace("-", "_") == "data_centre" else "draining"
        self.label(kind, name, f"state={state}")

    def admit(self, name, kind="endpoint"):
        """Send work to a drained endpoint or data centre again.

        Parameters
        ----------
        name : str
            Name of the object.
        kind : str
            `endpoint` or `data_centre`.
        """
        self.label(kind, name, "state-")

    def show(self):
        """Show the configuration in force."""
        commands.run_command(
            commands.show_configuration(self._addresses, is_json=self._is_json)
        )

    def history(self):
        """Show accepted changes; with --operation, whether that change was accepted."""
        commands.run_command(
            commands.show_history(
                self._addresses, operation=self._operation, is_json=self._is_json
            )
        )

    def status(self):
        """Show each instance: revision in force, its age, if it is ready or leaving."""
        commands.run_command(
            commands.show_status(self._addresses, is_json=self._is_json)
        )


def _system_user():
    try:
        return getpass.getuser()
    except (KeyError, OSError):
        return "unknown"


def main():
    """Run the command line `magnoliagrade`."""
    run_command_line(Commands, name="magnoliagrade")
