"""Links to the other entries and what is exchanged over them."""

from magnoliagrade_entry.direct.exchange.peer_links import PeerLinks

__all__ = [
    "PeerLinks",
]
