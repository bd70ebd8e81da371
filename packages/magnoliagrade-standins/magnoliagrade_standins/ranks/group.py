"""A group of ranks in lock-step and the record of the maps that they use."""

from dataclasses import dataclass

__all__ = ["RankGroup", "StepRecord", "find_map_conflict"]


@dataclass(frozen=True, slots=True, kw_only=True)
class StepRecord:
    """Record of a step begun by a rank.

    Parameters
    ----------
    origin : int
        Generation from which steps are counted, as in `GroupView`.
    generation : int
        Generation in which the rank ran.
    step : int
        Number of the step.
    rank : int
        Index of the rank.
    version : int
        Version of the map that the rank used.
    """

    origin: int
    generation: int
    step: int
    rank: int
    version: int


class RankGroup:
    """Ranks of which each step is a collective operation of all.

    Parameters
    ----------
    ranks : list of Rank
        The ranks, in the order of their indexes.
    """

    __slots__ = ("_ranks_by_step", "ranks", "records")

    def __init__(self, *, ranks):
        self.ranks = ranks
        self.records = []
        self._ranks_by_step = {}

    def advance(self, index):
        """Let a rank complete its begun step or, if it has none, begin the next one.

        Returns
        -------
        has_advanced : bool
            Whether the rank completed or began a step.

        Notes
        -----
        A step completes on a rank once every rank of its generation has begun it. Ranks
        that have failed since count too, because they have already sent their data.
        """
        rank = self.ranks[index]
        if not rank.is_running:
            return False
        if rank.begun > rank.completed:
            return self._complete(rank)
        return self._begin(rank)

    def _complete(self, rank):
        begun_ranks = self._ranks_by_step.get((rank.generation, rank.begun), ())
        if len(begun_ranks) < len(self.ranks):
            return False
        rank.completed = rank.begun
        return True

    def _begin(self, rank):
        step = rank.completed + 1
        if not rank.may_begin(step):
            return False
        rank.begun = step
        self._ranks_by_step.setdefault((rank.generation, step), set()).add(rank.index)
        self._ranks_by_step.pop((rank.generation, step - 2), None)
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
    """Return the first two records of one step with different maps, or None.

    Parameters
    ----------
    records : iterable of StepRecord
        Steps begun by any rank, including steps abandoned later.

    Returns
    -------
    conflict : tuple of StepRecord or None
        First record of the step and the first record that contradicts it.
    """
    first_by_step = {}
    for record in records:
        first = first_by_step.setdefault((record.origin, record.step), record)
        if first.version != record.version:
            return first, record
    return None
