"""Settings of an entry on the operators' platform."""

from dataclasses import dataclass

from magnoliagrade.configuration import setting
from magnoliagrade.node import DirectProcessSettings

__all__ = ["DirectSettings"]


@dataclass(slots=True, kw_only=True)
class DirectSettings(DirectProcessSettings):
    """Settings of a direct entry; see the `doc` of each field."""

    caller_address: str = setting(
        section="listen", doc="where callers connect", address=True
    )
    ready_address: str = setting(
        section="listen", doc="where the platform asks for readiness", address=True
    )
    revoke_ms: float = setting(
        section="bounds",
        doc="longest time that a key may be honoured after its removal",
        unit="ms",
        default=5000.0,
        low=100,
        high=3600000,
    )
    grace_s: float = setting(
        section="bounds",
        doc="time between SIGTERM and the end of the process",
        unit="s",
        default=8.0,
        low=0.1,
        high=3600,
    )
    retry_ratio: float = setting(
        section="bounds",
        doc="retries per request that all entries together may make",
        default=0.2,
        low=0,
        high=10,
    )
    retry_extra: float = setting(
        section="bounds",
        doc="additional retries in each window, of all entries together",
        default=10.0,
        low=0,
        high=10**6,
    )
    retry_window_s: float = setting(
        section="bounds",
        doc="window of the retry budget",
        unit="s",
        default=10.0,
        low=0.1,
        high=3600,
    )
