"""Addresses and clients of store and instances for an operator's command."""

import configparser
import os
from contextlib import asynccontextmanager
from dataclasses import dataclass

import aiohttp
from magnoliagrade.configuration import ConfigurationRepository
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.http import ResponseConnector
from magnoliagrade.store import HttpInstanceList, HttpStore

from magnoliagrade_entry.commands.instance_client import InstanceClient

__all__ = ["SiteAddresses", "SiteClient", "open_site"]


@dataclass(slots=True, kw_only=True)
class SiteAddresses:
    """Addresses that a command connects to.

    Parameters
    ----------
    store : str
        URL of the platform's store.
    instances : str
        URL of the platform's list of instances.
    entry : str
        URL of an entry's admin listener, through which changes are made; if empty,
        changes are written to the store directly.
    """

    store: str = ""
    instances: str = ""
    entry: str = ""

    @classmethod
    def resolve(cls, *, store="", instances="", entry="", settings="", environ=None):
        """Return addresses from flags, the environment or a settings file.

        Parameters
        ----------
        store, instances, entry : str
            Values of the flags; they have the highest priority.
        settings : str
            Settings file of an entry; it has the lowest priority.
        environ : dict of str to str, optional
            Environment variables; those of the process by default.
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
    """Clients of store, instances and entry for one command.

    Parameters
    ----------
    addresses : SiteAddresses
        Addresses to connect to.
    session : aiohttp.ClientSession
        Session to use.
    """

    __slots__ = ("addresses", "instance_client", "repository", "session")

    def __init__(self, *, addresses, session):
        self.addresses = addresses
        self.session = session
        self.instance_client = InstanceClient()
        self.repository = None
        if addresses.store:
            store = HttpStore(url=addresses.store, session=session)
            self.repository = ConfigurationRepository(store=store)

    async def list_instances(self):
        """Return the instances that the platform lists.

        Raises
        ------
        MagnoliagradeError
            `STORE_UNAVAILABLE` if the list cannot be read.
        """
        if not self.addresses.instances:
            _raise_unavailable(
                "no URL of the list of instances; set it with --instances or --settings"
            )
        client = HttpInstanceList(url=self.addresses.instances, session=self.session)
        return await client.fetch()

    def require_repository(self):
        """Return the repository of the configuration.

        Raises
        ------
        MagnoliagradeError
            `STORE_UNAVAILABLE` if the address of the store is not known.
        """
        if self.repository is None:
            _raise_unavailable(
                "no URL of the store; set it with --store, --entry or --settings"
            )
        return self.repository

    async def newest_configuration(self):
        """Return the newest configuration in the store or on an entry, or None."""
        newest = None
        if self.repository is not None:
            try:
                newest = await self.repository.load()
            except MagnoliagradeError as exc:
                if not self.addresses.instances:
                    raise
                error = exc
            else:
                error = None
        else:
            error = None
        if self.addresses.instances:
            held = await self.instance_client.newest_configuration(
                await self.list_instances()
            )
            if held is not None and (newest is None or held.revision > newest.revision):
                newest = held
        if newest is None and error is not None:
            raise error
        return newest


@asynccontextmanager
async def open_site(addresses):
    """Open the clients that a command needs and close them afterwards.

    Parameters
    ----------
    addresses : SiteAddresses
        Addresses of store, list of instances and entry.
    """
    timeout = aiohttp.ClientTimeout(total=30)
    async with aiohttp.ClientSession(
        connector=ResponseConnector(), timeout=timeout
    ) as session:
        yield SiteClient(addresses=addresses, session=session)


def _raise_unavailable(detail):
    raise MagnoliagradeError(ErrorKind.STORE_UNAVAILABLE, detail)
