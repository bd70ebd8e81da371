"""What the platform's store holds of a group: its map and its coordinator."""

import struct

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.store import StoreConflict

from magnoliagrade_agent.group.view import MapRecord

__all__ = ["CoordinatorLease", "MapRecordStore"]

PURPOSE = "group"
_VERSION = struct.Struct(">Q")


class MapRecordStore:
    """The record of a group's map.

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
        """Return the record, or None if there is none yet."""
        value = await self._store.get(self._key, purpose=PURPOSE)
        if value is None:
            return None
        (version,) = _VERSION.unpack_from(value.value)
        packed_map = value.value[_VERSION.size :]
        return MapRecord(version=version, map=packed_map, revision=value.revision)

    async def read_or_create(self, version, packed_map):
        """Return the record, which is made of this map if there is none."""
        record = await self.read()
        if record is not None:
            return record
        try:
            await self.write(version, packed_map, expected_revision=0)
        except StoreConflict:
            pass
        return await self.read()

    async def write(self, version, packed_map, *, expected_revision):
        """Write the record; raises `StoreConflict` if another write came first."""
        value = _VERSION.pack(version) + packed_map
        return await self._store.put(
            self._key, value, expected_revision=expected_revision, purpose=PURPOSE
        )

    async def write_version(self, version, packed_map):
        """Keep a map under its version, so that operators can pin it."""
        await self._store.put(
            f"{self._key}/{version}",
            packed_map,
            expected_revision=None,
            purpose=PURPOSE,
        )

    async def read_version(self, version):
        """Return the packed map of a version, or None."""
        value = await self._store.get(f"{self._key}/{version}", purpose=PURPOSE)
        return value.value if value else None

    async def newest_fence(self):
        """Return the fencing number of the present coordinator, or 0."""
        value = await self._store.get(self._lease_key, purpose=PURPOSE)
        return value.revision if value else 0


class CoordinatorLease:
    """The lease whose holder coordinates a group.

    Parameters
    ----------
    store : Store
        The platform's store.
    group : str
        Name of the group.
    holder : str
        Name of this instance.
    clock : Clock
        Source of time.
    ttl_s : float
        Time for which the lease holds without renewal.

    Notes
    -----
    The fencing number is the store's revision of the key, which every write
    increases. Whether the lease still holds is never relied on for safety: members
    compare fencing numbers, and outcomes do not depend on the coordinator.
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
        """Whether this agent believes that it holds the lease."""
        return bool(self.fence)

    async def acquire_or_renew(self):
        """Take the lease if it is free, renew it if it is held here.

        Returns
        -------
        held : bool
            Whether it is held here now.
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
            # Lapsed, lost to another one, or the answer was lost: begin anew.
            self.fence = 0
            return False

    async def give_up(self):
        """End the lease, so that another agent can take it at once."""
        if self.is_held:
            self.fence = 0
            await self._store.revoke_lease(self._lease, purpose=PURPOSE)


def lease_key(group):
    """Return the key whose holder coordinates a group."""
    return f"groups/{group}/coordinator"
