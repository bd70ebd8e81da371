"""Where an operator's command finds the store and the instances."""

import configparser
import os
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
from magnoliagrade.configuration import ConfigurationRepository
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.store import HttpInstanceList, HttpStore

from magnoliagrade_entry.commands.exchange import InstanceExchange

__all__ = ["SiteAddresses", "SiteClient", "open_site"]


@dataclass(slots=True, kw_only=True)
class SiteAddresses:
    """Addresses that a command works with.

    Parameters
    ----------
    store : str
        URL of the platform's store.
    instances : str
        URL of the platform's list of instances.
    entry : str
        URL of an entry's admin listener, by way of which changes are made;
        empty goes to the store directly.
    """

    store: str = ""
    instances: str = ""
    entry: str = ""

    @classmethod
    def find(cls, *, store="", instances="", entry="", settings="", environ=None):
        """Return addresses from flags, the environment or a settings file.

        Parameters
        ----------
        store, instances, entry : str
            Flags; they go first.
        settings : str
            Settings file of an entry; it goes last.
        environ : dict of str to str, optional
            Environment; the process's by default.
        """
        environ = os.environ if environ is None else environ
        parser = configparser.ConfigParser(interpolation=None)
        if settings:
            parser.read(settings, encoding="utf-8")
        platform = parser["platform"] if parser.has_section("platform") else {}
        return cls(
            store=store
            or environ.get("MAGNOLIAGRADE_STORE_URL")
            or platform.get("store_url", ""),
            instances=instances
            or environ.get("MAGNOLIAGRADE_INSTANCES_URL")
            or platform.get("instances_url", ""),
            entry=entry or environ.get("MAGNOLIAGRADE_ENTRY_URL", ""),
        )


class SiteClient:
    """Clients of store, instances and entry for the time of one command.

    Parameters
    ----------
    addresses : SiteAddresses
        Where they are.
    session : aiohttp.ClientSession
        Session to use.
    """

    __slots__ = ("addresses", "exchange", "repository", "session")

    def __init__(self, *, addresses, session):
        self.addresses = addresses
        self.session = session
        self.exchange = InstanceExchange()
        self.repository = None
        if addresses.store:
            store = HttpStore(url=addresses.store, session=session)
            self.repository = ConfigurationRepository(store=store)

    async def listed(self):
        """Return the listed instances.

        Raises
        ------
        MagnoliagradeError
            `STORE_UNAVAILABLE` if no list can be read.
        """
        if not self.addresses.instances:
            _refuse("no list of instances: give --instances or set it in --settings")
        client = HttpInstanceList(url=self.addresses.instances, session=self.session)
        return await client.fetch()

    def needs_repository(self):
        """Return the repository.

        Raises
        ------
        MagnoliagradeError
            `STORE_UNAVAILABLE` if no address of a store is known.
        """
        if self.repository is None:
            _refuse("no store: give --store or --entry, or set it in --settings")
        return self.repository

    async def in_force(self):
        """Return the newest configuration of store and instances, or None."""
        found = None
        if self.repository is not None:
            try:
                found = await self.repository.load()
            except MagnoliagradeError as exc:
                if not self.addresses.instances:
                    raise
                error = exc
            else:
                error = None
        else:
            error = None
        if self.addresses.instances:
            held = await self.exchange.newest(await self.listed())
            if held is not None and (found is None or held.revision > found.revision):
                found = held
        if found is None and error is not None:
            raise error
        return found


@asynccontextmanager
async def open_site(addresses):
    """Open the clients of one command.

    Parameters
    ----------
    addresses : SiteAddresses
        Where store, list and entry are.
    """
    timeout = aiohttp.ClientTimeout(total=30)
    async with aiohttp.ClientSession(timeout=timeout) as session:
        yield SiteClient(addresses=addresses, session=session)


def _refuse(detail):
    raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, detail)
