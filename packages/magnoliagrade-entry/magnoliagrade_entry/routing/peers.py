"""Peer entries and the latest summaries of their data centres."""

from magnoliagrade.world import Role

__all__ = ["PeerHandle", "PeerDirectory"]


class PeerHandle:
    """A peer entry, the link to it and the last summary that it sent.

    Parameters
    ----------
    name : str
        Name of the peer.
    data_centre : str
        Name of the peer's data centre.
    data_address : str
        `host:port` at which the peer accepts forwarded requests.
    link : Link
        Link to the peer.

    Attributes
    ----------
    summary : PeerSummary or None
        Last summary; None before the first.
    summary_at : float
        Monotonic time at which the summary was received.
    """

    __slots__ = (
        "data_address",
        "data_centre",
        "link",
        "name",
        "summary",
        "summary_at",
    )

    def __init__(self, *, name, data_centre, data_address, link):
        self.name = name
        self.data_centre = data_centre
        self.data_address = data_address
        self.link = link
        self.summary = None
        self.summary_at = 0.0


class PeerDirectory:
    """Handles of the linked peer entries, by name.

    Parameters
    ----------
    configuration : ConfigurationState
        Configuration in force.
    data_centre : str
        Name of the local data centre.
    departures : Departures
        Instances that are leaving.
    """

    __slots__ = ("_configuration", "_data_centre", "_departures", "by_name")

    def __init__(self, *, configuration, data_centre, departures):
        self._departures = departures
        self._configuration = configuration
        self._data_centre = data_centre
        self.by_name = {}

    def on_link_up(self, link):
        """Add a peer entry whose link has been established."""
        hello = link.hello
        if hello.role != Role.ENTRY.value:
            return
        self.by_name[link.peer_instance] = PeerHandle(
            name=link.peer_instance,
            data_centre=hello.data_centre,
            data_address=hello.data_address,
            link=link,
        )

    def on_link_down(self, link):
        """Remove the peer of a link, unless a newer link has replaced it."""
        handle = self.by_name.get(link.peer_instance)
        if handle is not None and handle.link is link:
            del self.by_name[link.peer_instance]

    def candidates(self, pool):
        """Return the peers in remote data centres that can serve a pool.

        Parameters
        ----------
        pool : Pool
            Pool whose requests are to be forwarded.

        Returns
        -------
        handles : list of PeerHandle
            Sorted by name. Peers without a summary, or whose summary has no ready
            endpoint of the pool, are skipped; so are leaving peers and evacuated
            data centres.
        """
        configuration = self._configuration.in_force
        chosen = []
        for _, peer in sorted(self.by_name.items()):
            if peer.data_centre == self._data_centre:
                continue
            if self._departures.is_leaving(peer.name, peer.link.peer_incarnation):
                continue
            if configuration.is_data_centre_out(peer.data_centre):
                continue
            if _has_ready_endpoint(peer, pool):
                chosen.append(peer)
        return chosen


def _has_ready_endpoint(peer, pool):
    if peer.summary is None:
        return False
    return any(p.pool == pool.name and p.ready_endpoints for p in peer.summary.pools)
