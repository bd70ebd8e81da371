"""A group of ranks in lock-step and the record of the maps they used."""

from dataclasses import dataclass

__all__ = ["RankGroup", "StepRecord", "find_map_conflict"]


@dataclass(frozen=True, slots=True, kw_only=True)
class StepRecord:
    """One step begun by one rank.

    Parameters
    ----------
    origin : int
        Start of the count of steps, as the group's agents name it.
    generation : int
        Generation in which the rank ran.
    step : int
        Number of the step.
    rank : int
        Rank.
    version : int
        Version of the map that the rank used.
    """

    origin: int
    generation: int
    step: int
    rank: int
    version: int


class RankGroup:
    """Ranks whose every step is a collective of all.

    Parameters
    ----------
    ranks : list of Rank
        The ranks by index.
    """

    __slots__ = ("_begun_ranks", "ranks", "records")

    def __init__(self, *, ranks):
        self.ranks = ranks
        self.records = []
        self._begun_ranks = {}

    def advance(self, index):
        """Let a rank complete its step, or else begin the next one.

        Returns
        -------
        moved : bool
            Whether it did either.

        Notes
        -----
        A step completes on a rank once every rank of its generation has begun it,
        also those that have died since: what they sent is on its way.
        """
        rank = self.ranks[index]
        if not rank.is_running:
            return False
        if rank.begun > rank.completed:
            return self._complete(rank)
        return self._begin(rank)

    def _complete(self, rank):
        begun = self._begun_ranks.get((rank.generation, rank.begun), ())
        if len(begun) < len(self.ranks):
            return False
        rank.completed = rank.begun
        return True

    def _begin(self, rank):
        step = rank.completed + 1
        if not rank.may_begin(step):
            return False
        rank.begun = step
        self._begun_ranks.setdefault((rank.generation, step), set()).add(rank.index)
        self._begun_ranks.pop((rank.generation, step - 2), None)
        record = StepRecord(
            origin=rank.view.origin,
            generation=rank.generation,
            step=step,
            rank=rank.index,
            version=rank.view.version_at(step),
        )
        self.records.append(record)
        return True


def find_map_conflict(records):
    """Return two records of one step with different maps, or None.

    Parameters
    ----------
    records : iterable of StepRecord
        Steps begun by any rank, also those given up later.

    Returns
    -------
    pair : tuple of StepRecord or None
        The first contradiction.
    """
    first_by_step = {}
    for record in records:
        first = first_by_step.setdefault((record.origin, record.step), record)
        if first.version != record.version:
            return first, record
    return None
