"""A rank's view of its group's expert maps, and the agreement on a common view."""

import enum
import struct
from dataclasses import dataclass, field, replace

from magnoliagrade.algorithms import hash64

__all__ = [
    "GroupView",
    "MapRecord",
    "Outcome",
    "Switch",
    "agreed_view",
    "generation_of",
]


class Outcome(enum.Enum):
    """Outcome of a switch of the expert map; `OPEN` until the rank knows it."""

    OPEN = ""
    COMMITTED = "committed"
    ABORTED = "aborted"


@dataclass(frozen=True, slots=True, kw_only=True)
class MapRecord:
    """Record of a group's map in the store, for a restart of all ranks of the group.

    Parameters
    ----------
    version : int
        Version of the map.
    map : bytes
        Packed map.
    revision : int
        Store revision of the record.
    """

    version: int
    map: bytes
    revision: int = 0


@dataclass(frozen=True, slots=True, kw_only=True)
class Switch:
    """Newest switch of the map that a rank has armed.

    Parameters
    ----------
    version : int
        Version of the new map.
    step : int
        First step that uses the new map if the switch is committed.
    outcome : Outcome
        Outcome as far as the rank knows it.
    """

    version: int
    step: int
    outcome: Outcome = Outcome.OPEN

    @property
    def key(self):
        """Return the version and step, which identify the switch in its generation."""
        return (self.version, self.step)


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupView:
    """Maps in force and newest switch, as far as one rank knows.

    Parameters
    ----------
    origin : int
        Generation from which steps are counted; all ranks were new in it. 0 if the
        rank knows no map.
    version : int
        Version of the map in force before the newest switch.
    switch : Switch, optional
        Newest switch.
    completed : int
        Newest step that the rank completed.
    map_by_version : dict of int to bytes
        Packed maps by version.
    """

    origin: int = 0
    version: int = 0
    switch: Switch | None = None
    completed: int = 0
    map_by_version: dict = field(default_factory=dict)

    def version_at(self, step):
        """Return the version of the map that a step uses in this view.

        Examples
        --------
        >>> switch = Switch(version=2, step=9, outcome=Outcome.COMMITTED)
        >>> view = GroupView(origin=1, version=1, switch=switch)
        >>> view.version_at(8), view.version_at(9)
        (1, 2)
        """
        switch = self.switch
        is_switched = switch is not None and switch.outcome is Outcome.COMMITTED
        if is_switched and step >= switch.step:
            return switch.version
        return self.version

    def with_armed(self, *, version, step, packed_map):
        """Return the view after the rank has armed the next switch."""
        base = self.version_at(step)
        maps = {base: self.map_by_version.get(base, b""), version: packed_map}
        switch = Switch(version=version, step=step)
        return replace(self, version=base, switch=switch, map_by_version=maps)

    def with_outcome(self, outcome):
        """Return the view with the outcome of the newest switch."""
        return replace(self, switch=replace(self.switch, outcome=outcome))


def generation_of(incarnations):
    """Return the number of the generation that these incarnations form.

    Parameters
    ----------
    incarnations : sequence of int
        Incarnation of each rank, in the order of ranks.
    """
    # 0 means that no generation has been formed, so it is not a valid number.
    data = struct.pack(f">{len(incarnations)}Q", *incarnations)
    return hash64(data.hex()) or 1


def agreed_view(answers, *, generation):
    """Return the view from which all ranks of a new generation start.

    Parameters
    ----------
    answers : sequence of GenerationAnswer
        The answers of all ranks, one for each.
    generation : int
        The new generation.

    Returns
    -------
    view : GroupView
        The view; every rank that has the same answers computes the same one.

    Notes
    -----
    The steps of successive switches increase on every rank, so the version in the
    answer with the highest step includes the outcome of all earlier switches. A switch
    that no answer reports as committed is aborted permanently. If all ranks have
    restarted, steps are counted from the start under a new origin, with the newest map
    that an agent still knows, or, if no agent knows a map, with the newest record of
    the store.
    """
    if all(a.is_rank_new for a in answers):
        return _view_of_new_ranks(answers, generation)
    # An agent that outlived a restart of all ranks may answer with an earlier origin,
    # whose steps were counted separately. Such answers are ignored.
    origin = next(a.origin for a in answers if not a.is_rank_new)
    survivors = [a for a in answers if a.origin == origin]
    newest = max(survivors, key=lambda a: (a.open_step, a.open_version))
    outcome = _agreed_outcome(survivors, newest)
    maps = {newest.current_version: newest.map}
    switch = None
    if newest.open_step:
        maps[newest.open_version] = newest.open_map
        switch = Switch(
            version=newest.open_version, step=newest.open_step, outcome=outcome
        )
    return GroupView(
        origin=newest.origin,
        version=newest.current_version,
        switch=switch,
        completed=max(a.completed_step for a in survivors),
        map_by_version=maps,
    )


def _view_of_new_ranks(answers, generation):
    map_by_version = {a.current_version: a.map for a in answers}
    for answer in answers:
        if answer.outcome == Outcome.COMMITTED.value:
            map_by_version[answer.open_version] = answer.open_map
    version = max(map_by_version)
    maps = {version: map_by_version[version]}
    return GroupView(origin=generation, version=version, map_by_version=maps)


def _agreed_outcome(survivors, newest):
    for answer in survivors:
        is_same = (answer.open_version, answer.open_step) == (
            newest.open_version,
            newest.open_step,
        )
        if is_same and answer.outcome == Outcome.COMMITTED.value:
            return Outcome.COMMITTED
    return Outcome.ABORTED
