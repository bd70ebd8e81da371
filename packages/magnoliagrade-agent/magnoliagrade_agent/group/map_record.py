"""Records of a group in the platform's store: its map and its coordinator's lease."""

import struct

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.store import StoreConflict

from magnoliagrade_agent.group.view import MapRecord

__all__ = ["CoordinatorLease", "MapRecordStore"]

# Label of the store's call counter.
PURPOSE = "group"
# The record is the version of the map, followed by the packed map.
_VERSION = struct.Struct(">Q")


class MapRecordStore:
    """Reads and writes the records of a group's maps in the store.

    Parameters
    ----------
    store : Store
        The platform's store.
    group : str
        Name of the group.
    """

    __slots__ = ("_key", "_lease_key", "_store")

    def __init__(self, *, store, group):
        self._store = store
        self._key = f"groups/{group}/map"
        self._lease_key = lease_key(group)

    async def read(self):
        """Return the record of the group's map, or None if the store has none."""
        value = await self._store.get(self._key, purpose=PURPOSE)
        if value is None:
            return None
        (version,) = _VERSION.unpack_from(value.value)
        packed_map = value.value[_VERSION.size :]
        return MapRecord(version=version, map=packed_map, revision=value.revision)

    async def read_or_create(self, version, packed_map):
        """Return the record; create it from this map if the store has none."""
        record = await self.read()
        if record is not None:
            return record
        try:
            await self.write(version, packed_map, expected_revision=0)
        except StoreConflict:
            pass
        return await self.read()

    async def write(self, version, packed_map, *, expected_revision):
        """Write the record and return its new store revision.

        Parameters
        ----------
        version : int
            Version of the map.
        packed_map : bytes
            Packed map.
        expected_revision : int
            Store revision that the write replaces; 0 to create the record.

        Raises
        ------
        StoreConflict
            If the record has another revision because of a concurrent write.
        """
        value = _VERSION.pack(version) + packed_map
        return await self._store.put(
            self._key, value, expected_revision=expected_revision, purpose=PURPOSE
        )

    async def write_version(self, version, packed_map):
        """Store a map under its version, so that operators can pin the version."""
        await self._store.put(
            f"{self._key}/{version}",
            packed_map,
            expected_revision=None,
            purpose=PURPOSE,
        )

    async def read_version(self, version):
        """Return the packed map stored under a version, or None."""
        value = await self._store.get(f"{self._key}/{version}", purpose=PURPOSE)
        return value.value if value else None

    async def newest_fence(self):
        """Return the current coordinator's fencing token, or 0 if the lease is free."""
        value = await self._store.get(self._lease_key, purpose=PURPOSE)
        return value.revision if value else 0


class CoordinatorLease:
    """Lease in the store whose holder coordinates a group.

    Parameters
    ----------
    store : Store
        The platform's store.
    group : str
        Name of the group.
    holder : str
        Name of this instance, written as the value of the key.
    clock : Clock
        Source of time.
    ttl_s : float
        Lifetime of the lease without renewal, in seconds.

    Notes
    -----
    The fencing token is the store's revision of the key, which every write increases.
    Safety never depends on whether the lease is still valid: members compare fencing
    tokens, and the outcome of a switch does not depend on the coordinator.
    """

    __slots__ = ("_clock", "_holder", "_key", "_lease", "_store", "fence", "ttl_s")

    def __init__(self, *, store, group, holder, clock, ttl_s):
        self._store = store
        self._key = lease_key(group)
        self._holder = holder
        self._clock = clock
        self._lease = ""
        self.fence = 0
        self.ttl_s = ttl_s

    @property
    def is_held(self):
        """Whether this agent believes that it holds the lease; it may have expired."""
        return bool(self.fence)

    async def acquire_or_renew(self):
        """Acquire the lease if it is free, or renew it if this agent holds it.

        Returns
        -------
        held : bool
            Whether this agent holds the lease after the call.
        """
        try:
            if self.is_held:
                await self._store.renew_lease(self._lease, purpose=PURPOSE)
                return True
            if await self._store.get(self._key, purpose=PURPOSE) is not None:
                return False
            self._lease = await self._store.grant_lease(self.ttl_s, purpose=PURPOSE)
            self.fence = await self._store.put(
                self._key,
                self._holder.encode(),
                expected_revision=0,
                lease=self._lease,
                purpose=PURPOSE,
            )
            return True
        except MagnoliagradeError:
            # The lease expired, another agent acquired it, or the store's response was
            # lost. The next call tries to acquire the lease again.
            self.fence = 0
            return False

    async def give_up(self):
        """Revoke the lease, so that another agent can acquire it without delay."""
        if self.is_held:
            self.fence = 0
            await self._store.revoke_lease(self._lease, purpose=PURPOSE)


def lease_key(group):
    """Return the store key of the lease of a group's coordinator."""
    return f"groups/{group}/coordinator"
