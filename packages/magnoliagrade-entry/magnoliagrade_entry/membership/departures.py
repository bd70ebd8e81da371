"""Record of the incarnations that are leaving, from all sources of the notice."""

from magnoliagrade.wire import Leaving
from magnoliagrade.world import InstanceState, Role

__all__ = ["Departures"]


class Departures:
    """Records which incarnation of each instance is leaving.

    Notes
    -----
    An instance's departure is reported by three sources: its own notice, a notice
    forwarded by a peer, and the platform's list, which lags behind. The first
    report takes effect. An instance that returns has a newer incarnation, known
    from the link to it; a row of the list that is still `leaving` refers to the old
    incarnation.
    """

    __slots__ = ("_incarnation_by_name", "_listed_leaving")

    def __init__(self):
        self._incarnation_by_name = {}
        self._listed_leaving = set()

    def note_leaving(self, name, incarnation):
        """Record that an incarnation is leaving; return whether that was unknown."""
        if self._incarnation_by_name.get(name) == incarnation:
            return False
        self._incarnation_by_name[name] = incarnation
        return True

    def note_listed(self, instances, incarnation_by_name):
        """Record the instances that the platform's list newly marks as leaving.

        Parameters
        ----------
        instances : iterable of Instance
            Instances of the platform's list.
        incarnation_by_name : dict of str to int
            Incarnations of the linked instances.

        Returns
        -------
        newly_leaving : list of str
            Names of the linked instances whose departure was unknown, sorted.
        """
        leaving = {i.name for i in instances if i.state is InstanceState.LEAVING}
        newly_leaving = []
        for name in sorted(leaving - self._listed_leaving):
            incarnation = incarnation_by_name.get(name)
            if incarnation is not None and self.note_leaving(name, incarnation):
                newly_leaving.append(name)
        self._listed_leaving = leaving
        return newly_leaving

    def is_leaving(self, name, incarnation):
        """Return whether an incarnation has been recorded as leaving."""
        return self._incarnation_by_name.get(name) == incarnation


def make_leaving_notice(name, incarnation, *, reason):
    """Return the message that notifies other instances of a departure."""
    return Leaving(subject=name, subject_incarnation=incarnation, reason=reason)


def forward_notice(node, notice, *, origin):
    """Forward a notice to the local peers, which may not have received it directly.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    notice : Leaving
        Notice whose subject is set.
    origin : str
        Name of the instance that sent the notice; it is skipped.
    """
    for link in node.links.of_role(Role.ENTRY):
        is_local = link.hello.data_centre == node.identity.data_centre
        if is_local and link.peer_instance != origin:
            link.send(notice)
