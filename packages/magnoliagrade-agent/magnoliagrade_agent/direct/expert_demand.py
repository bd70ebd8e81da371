"""Statuses of a group's ranks and their recent choices of experts."""

__all__ = ["ExpertDemand"]


class ExpertDemand:
    """Reads a group and keeps a window of its recent choices of experts.

    Parameters
    ----------
    node : DirectAgent
        The agent.
    reader : GroupReader
        Reads the ranks.
    directory : RankDirectory
        Knows the data centres of the ranks.
    """

    __slots__ = ("_directory", "_node", "_reader", "event_rate", "window")

    def __init__(self, *, node, reader, directory):
        self._directory = directory
        self._node = node
        self._reader = reader
        self.event_rate = None
        self.window = None

    async def read(self, clients, epoch, *, interval_s):
        """Add recent choices to the window and return the status of all ranks, or None.

        Parameters
        ----------
        clients : list of rank client
            One for each rank, ordered by rank.
        epoch : int
            Epoch of the group.
        interval_s : float
            Time between two readings, in seconds.

        Raises
        ------
        RankUnreachable
            If a rank does not reply.
        """
        engine = await self._node.engine()
        counters = engine.sets * engine.experts if engine else 0
        if counters and self._reader.budget.needs_gathering(
            len(clients), counters=counters, interval_s=interval_s
        ):
            statuses, values = await self._reader.gather(
                clients,
                epoch,
                own_address=self._node.settings.server_address,
                data_centre_of=self._directory.data_centre_of,
            )
            if values:
                window = self._window_of(engine)
                window.add_increments(values, now=self._node.clock.monotonic())
            return statuses
        statuses, counts_by_rank = await self._reader.read(
            clients, epoch, counters=counters, interval_s=interval_s
        )
        if counters:
            window = self._window_of(engine)
            window.add(counts_by_rank, now=self._node.clock.monotonic())
        return statuses

    @property
    def has_enough_choices(self):
        """Whether the window has enough choices to plan a map."""
        return self.window is not None and self.window.has_enough_choices

    def reset(self):
        """Count from new baselines, because the group has a new formation."""
        self._reader.budget.reset()
        if self.window is not None:
            self.window.reset_baselines()

    def _window_of(self, engine):
        if self.window is None:
            # Imported late: numpy takes memory, and only the coordinator's agent needs
            # it.
            from magnoliagrade_agent.direct import planning

            self.event_rate = planning.EventRate()
            self.window = planning.CountWindow(sets=engine.sets, experts=engine.experts)
        return self.window
