"""Choice between this data centre and a peer entry of another one."""

from magnoliagrade_entry.routing.peers import PeerHandle

__all__ = ["RemoteOffers"]

HOP_S = 0.005
SUMMARY_MAX_AGE_S = 6.0
WAIT_MARGIN_S = 0.05
WAIT_RATIO = 1.25


class RemoteOffers:
    """What other data centres could take, as far as summaries say.

    Parameters
    ----------
    peers : PeerDirectory
        Peer entries.
    clock : Clock
        Source of time.
    rng : random.Random
        Source of randomness.
    data_centre : str
        This data centre.

    Notes
    -----
    A summary is up to a second old, and other entries here have read it too. What
    this entry forwarded since is taken off as often as there are entries here.
    """

    __slots__ = ("_clock", "_data_centre", "_peers", "_rng", "_sent_by_pool_and_peer")

    def __init__(self, *, peers, clock, rng, data_centre):
        self._data_centre = data_centre
        self._peers = peers
        self._clock = clock
        self._rng = rng
        self._sent_by_pool_and_peer = {}

    def choose(self, request, pool, *, excluded, local_wait_s):
        """Return the peer that a request should go to, or None.

        Parameters
        ----------
        request : Request
            The request; a forwarded one is never forwarded again.
        pool : Pool
            Its pool.
        excluded : set of str
            Names of peers that it must not go to.
        local_wait_s : float
            Estimated wait here; infinite if no endpoint takes work.
        """
        if request.forwarded_from:
            return None
        offers = []
        for peer in self._peers.candidates(pool):
            wait_s = self._remote_wait_s(peer, pool, request.cost)
            if peer.name not in excluded and wait_s is not None:
                offers.append((wait_s + HOP_S, self._rng.random(), peer))
        if not offers:
            return None
        wait_s, _, peer = min(offers)
        if local_wait_s <= WAIT_RATIO * wait_s + WAIT_MARGIN_S:
            return None
        self.note_sent(request, pool, peer)
        return peer

    def note_sent(self, request, pool, peer):
        """Count a request as sent since the peer's summary."""
        key = (pool.name, peer.name)
        at, sent = self._sent_by_pool_and_peer.get(key, (None, 0.0))
        sent = sent if at == peer.summary_at else 0.0
        self._sent_by_pool_and_peer[key] = (peer.summary_at, sent + request.cost)

    def _remote_wait_s(self, peer: PeerHandle, pool, cost):
        if self._clock.monotonic() - peer.summary_at > SUMMARY_MAX_AGE_S:
            return None
        row = next((p for p in peer.summary.pools if p.pool == pool.name), None)
        if row is None or not row.ready_endpoints:
            return None
        at, sent = self._sent_by_pool_and_peer.get((pool.name, peer.name), (None, 0))
        sent = sent * self._entries_here() if at == peer.summary_at else 0.0
        # The other entries may go for the same credit before the next summary.
        spoken_for = sent + row.waiting + cost * len(self._peers.by_name)
        if row.free_credits - spoken_for >= cost:
            return 0.0
        # The rate is not told; what waits there and its wait give it.
        waiting = max(row.waiting, cost)
        return max(row.estimated_wait_seconds, WAIT_MARGIN_S) * (1 + sent / waiting)

    def _entries_here(self):
        peers = self._peers.by_name.values()
        return 1 + sum(p.data_centre == self._data_centre for p in peers)
