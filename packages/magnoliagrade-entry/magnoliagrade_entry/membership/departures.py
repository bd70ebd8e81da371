"""Which incarnations are leaving, whoever said so first."""

from magnoliagrade.wire import Leaving
from magnoliagrade.world import InstanceState, Role

__all__ = ["Departures"]


class Departures:
    """Leaving instances by name, each with the incarnation that leaves.

    Notes
    -----
    Three sources say that an instance leaves: its own notice, a peer that heard
    it, and the platform's lagging list. The first one wins. An instance is back
    only as a newer incarnation, which a link to it shows; a row of the list that
    still says `leaving` then speaks of the old incarnation.
    """

    __slots__ = ("_incarnation_by_name", "_listed")

    def __init__(self):
        self._incarnation_by_name = {}
        self._listed = set()

    def note_leaving(self, name, incarnation):
        """Note that an incarnation leaves; return whether that is news."""
        if self._incarnation_by_name.get(name) == incarnation:
            return False
        self._incarnation_by_name[name] = incarnation
        return True

    def note_listed(self, instances, incarnation_by_name):
        """Take a list of the platform.

        Parameters
        ----------
        instances : iterable of Instance
            The list.
        incarnation_by_name : dict of str to int
            Incarnations that are linked now.

        Returns
        -------
        news : list of str
            Names of linked instances that the list newly says are leaving.
        """
        leaving = {i.name for i in instances if i.state is InstanceState.LEAVING}
        news = []
        for name in sorted(leaving - self._listed):
            incarnation = incarnation_by_name.get(name)
            if incarnation is not None and self.note_leaving(name, incarnation):
                news.append(name)
        self._listed = leaving
        return news

    def is_leaving(self, name, incarnation):
        """Return whether an incarnation is known to be leaving."""
        return self._incarnation_by_name.get(name) == incarnation


def notice_of(name, incarnation, *, reason):
    """Return the message that tells others of a leaving instance."""
    return Leaving(subject=name, subject_incarnation=incarnation, reason=reason)


def spread_notice(node, notice, *, origin):
    """Pass a notice on to local peers, who may not have heard it themselves.

    Parameters
    ----------
    node : EntryInstance
        The entry.
    notice : Leaving
        Notice with a subject.
    origin : str
        Instance that it came from, which need not hear it again.
    """
    for link in node.links.of_role(Role.ENTRY):
        is_local = link.hello.data_centre == node.identity.data_centre
        if is_local and link.peer_instance != origin:
            link.send(notice)
