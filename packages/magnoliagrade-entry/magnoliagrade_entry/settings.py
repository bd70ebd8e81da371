"""Settings of an entry instance."""

from dataclasses import dataclass

from magnoliagrade.configuration import setting
from magnoliagrade.node import NodeSettings

__all__ = ["EntrySettings"]


@dataclass(slots=True, kw_only=True)
class EntrySettings(NodeSettings):
    """Settings of an entry instance; each field's `doc` describes it."""

    caller_address: str = setting(
        section="listen",
        doc="address that callers connect to",
        address=True,
        default="127.0.0.1:0",
        env="MAGNOLIAGRADE_CALLER_ADDRESS",
    )
    store_url: str = setting(
        section="platform",
        doc="URL of the platform's key-value service",
        url=True,
        env="MAGNOLIAGRADE_STORE_URL",
    )
    instances_url: str = setting(
        section="platform",
        doc="URL of the platform's list of instances",
        url=True,
        env="MAGNOLIAGRADE_INSTANCES_URL",
    )
    instances_interval_s: float = setting(
        section="platform",
        doc="time between reads of the list of instances",
        unit="s",
        default=2.0,
        low=0.05,
        high=600,
    )
    store_calls_per_s: float = setting(
        section="platform",
        doc="calls to the store that all entries together may make; each entry "
        "gets an equal share",
        unit="1/s",
        default=500.0,
        low=1,
        high=10**6,
    )
    body_limit_bytes: int = setting(
        section="requests",
        doc="largest body that a caller may send",
        unit="bytes",
        default=4 * 1024 * 1024,
        low=1024,
        high=1024**3,
    )
    header_limit_bytes: int = setting(
        section="requests",
        doc="largest header line that a caller may send",
        unit="bytes",
        default=16 * 1024,
        low=1024,
        high=1024**2,
    )
    body_timeout_s: float = setting(
        section="requests",
        doc="longest time that a caller may take to send a body",
        unit="s",
        default=30.0,
        low=0.1,
        high=3600,
    )
    body_memory_bytes: int = setting(
        section="requests",
        doc="memory limit for the bodies of all requests in the entry together",
        unit="bytes",
        default=256 * 1024 * 1024,
        low=1024,
        high=1024**4,
    )
    response_memory_bytes: int = setting(
        section="requests",
        doc="memory for the responses of all agents and peers in the entry together; "
        "above it, unfinished ones that hold more than 64 KiB are closed",
        unit="bytes",
        default=64 * 1024 * 1024,
        low=65536,
        high=1024**4,
    )
    header_timeout_s: float = setting(
        section="requests",
        doc="longest time that a caller may take to send the headers of a request",
        unit="s",
        default=10.0,
        low=0.1,
        high=3600,
    )
    idle_timeout_s: float = setting(
        section="requests",
        doc="longest time that a connection is kept open without a request; longer "
        "than the idle time-out of the platform's load balancer",
        unit="s",
        default=600.0,
        low=0.1,
        high=86400,
    )
    claims_keeper: str = setting(
        section="claims",
        doc="how claims on idempotency keys are written: in batches for each shard, "
        "or each in its own write",
        choices=("batched", "single"),
        default="batched",
    )
    claims_lifetime_s: float = setting(
        section="claims",
        doc="shortest time that a claim on an idempotency key is kept",
        unit="s",
        default=86400.0,
        low=60,
        high=604800,
    )
    claims_shards: int = setting(
        section="claims",
        doc="number of store values that batched claims are distributed over; must "
        "be the same on every entry",
        default=64,
        low=1,
        high=4096,
    )
    drain_lag_s: float = setting(
        section="shutdown",
        doc="how long new requests are still served after SIGTERM, to cover the "
        "delay of the platform's load balancer",
        unit="s",
        default=1.0,
        low=0,
        high=600,
    )

    def combinations(self):
        """Return a description of each invalid combination of settings."""
        # `dataclass(slots=True)` creates a second class, so `super()` without arguments
        # refers to the wrong one.
        problems = NodeSettings.combinations(self)
        if self.body_memory_bytes < self.body_limit_bytes:
            problems.append(
                "[requests] body_memory_bytes must not be less than body_limit_bytes"
            )
        return problems
