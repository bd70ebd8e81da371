"""Choice between the local data centre and a peer entry of a remote one."""

from magnoliagrade_entry.routing.peers import PeerHandle

__all__ = ["PeerSelector"]

# Time that forwarding to a remote data centre adds to the wait there.
REMOTE_HOP_S = 0.005
# Age from which a peer's summary is ignored; three times the interval of summaries.
SUMMARY_MAX_AGE_S = 6.0
# A request is forwarded only if the local wait exceeds the remote one by the ratio and
# the margin. The margin is also the least wait of a peer without enough free credit.
REMOTE_WAIT_MARGIN_S = 0.05
REMOTE_WAIT_RATIO = 1.25


class PeerSelector:
    """Selects the remote peer entry to forward a request to, by estimated wait.

    Parameters
    ----------
    peers : PeerDirectory
        Peer entries.
    clock : Clock
        Source of time.
    rng : random.Random
        Random number generator; breaks ties between peers with equal waits.
    data_centre : str
        Name of the local data centre.

    Notes
    -----
    A summary may be seconds old, and the other local entries have received it too.
    The cost that this entry has forwarded since the summary is therefore
    subtracted once for each local entry, on the assumption that each of them
    forwards as much.
    """

    __slots__ = (
        "_clock",
        "_data_centre",
        "_forwarded_by_pool_and_peer",
        "_peers",
        "_rng",
    )

    def __init__(self, *, peers, clock, rng, data_centre):
        self._data_centre = data_centre
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._forwarded_by_pool_and_peer = {}

    def choose(self, request, pool, *, excluded, local_wait_s):
        """Return the peer to forward a request to, or None to serve it locally.

        Parameters
        ----------
        request : Request
            The request; a forwarded one is never forwarded again.
        pool : Pool
            Pool that serves the request.
        excluded : set of str
            Names of peers that the request must not be forwarded to.
        local_wait_s : float
            Estimated wait in the local data centre in seconds; infinite if no
            local endpoint takes work.
        """
        if request.forwarded_from:
            return None
        candidates = []
        for peer in self._peers.candidates(pool):
            wait_s = self._remote_wait_s(peer, pool, request.cost)
            if peer.name not in excluded and wait_s is not None:
                candidates.append((wait_s + REMOTE_HOP_S, self._rng.random(), peer))
        if not candidates:
            return None
        wait_s, _, peer = min(candidates)
        if local_wait_s <= REMOTE_WAIT_RATIO * wait_s + REMOTE_WAIT_MARGIN_S:
            return None
        self.note_forwarded(request, pool, peer)
        return peer

    def note_forwarded(self, request, pool, peer):
        """Add a request to the cost forwarded to a peer since its last summary."""
        key = (pool.name, peer.name)
        at, forwarded_cost = self._forwarded_by_pool_and_peer.get(key, (None, 0.0))
        forwarded_cost = forwarded_cost if at == peer.summary_at else 0.0
        self._forwarded_by_pool_and_peer[key] = (
            peer.summary_at,
            forwarded_cost + request.cost,
        )

    def _remote_wait_s(self, peer: PeerHandle, pool, cost):
        if self._clock.monotonic() - peer.summary_at > SUMMARY_MAX_AGE_S:
            return None
        row = next((p for p in peer.summary.pools if p.pool == pool.name), None)
        if row is None or not row.ready_endpoints:
            return None
        at, forwarded_cost = self._forwarded_by_pool_and_peer.get(
            (pool.name, peer.name), (None, 0)
        )
        forwarded_cost = (
            forwarded_cost * self._local_entry_count() if at == peer.summary_at else 0.0
        )
        # Every other entry may forward one request of this cost to the same peer
        # before its next summary.
        reserved_cost = forwarded_cost + row.waiting + cost * len(self._peers.by_name)
        if row.free_credits - reserved_cost >= cost:
            return 0.0
        # The summary has no service rate: it is derived from the waiting cost and
        # the estimated wait.
        waiting = max(row.waiting, cost)
        return max(row.estimated_wait_seconds, REMOTE_WAIT_MARGIN_S) * (
            1 + forwarded_cost / waiting
        )

    def _local_entry_count(self):
        peers = self._peers.by_name.values()
        return 1 + sum(p.data_centre == self._data_centre for p in peers)
