"""What a rank knows of its group's maps, and how survivors settle it."""

import enum
import struct
from dataclasses import dataclass, field, replace

from magnoliagrade.algorithms import hash64

__all__ = [
    "MapRecord",
    "GroupView",
    "Outcome",
    "Switch",
    "generation_of",
    "agreed_view",
]


class Outcome(enum.Enum):
    """How the switch of a map ended."""

    OPEN = ""
    COMMITTED = "committed"
    ABORTED = "aborted"


@dataclass(frozen=True, slots=True, kw_only=True)
class MapRecord:
    """The map of a group in the store, for a group that restarts as a whole.

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
    """The newest switch that a rank has armed.

    Parameters
    ----------
    version : int
        Version of the new map.
    step : int
        First step that uses it if the switch is committed.
    outcome : Outcome
        What is known of it.
    """

    version: int
    step: int
    outcome: Outcome = Outcome.OPEN

    @property
    def key(self):
        """Return the version and step, which name the switch."""
        return (self.version, self.step)


@dataclass(frozen=True, slots=True, kw_only=True)
class GroupView:
    """Maps that a rank knows to be in force.

    Parameters
    ----------
    origin : int
        Generation in which all ranks were new and the count of steps began; 0 if
        nothing is known.
    version : int
        Map before the newest switch.
    switch : Switch, optional
        Newest switch.
    completed : int
        Newest step that the rank completed.
    map_by_version : dict of int to bytes
        Packed maps of these versions.
    """

    origin: int = 0
    version: int = 0
    switch: Switch | None = None
    completed: int = 0
    map_by_version: dict = field(default_factory=dict)

    def version_at(self, step):
        """Return the version of the map that a step uses.

        Examples
        --------
        >>> switch = Switch(version=2, step=9, outcome=Outcome.COMMITTED)
        >>> known = GroupView(origin=1, version=1, switch=switch)
        >>> known.version_at(8), known.version_at(9)
        (1, 2)
        """
        switch = self.switch
        is_switched = switch is not None and switch.outcome is Outcome.COMMITTED
        if is_switched and step >= switch.step:
            return switch.version
        return self.version

    def with_armed(self, *, version, step, packed_map):
        """Return the knowledge after arming a next switch."""
        base = self.version_at(step)
        maps = {base: self.map_by_version.get(base, b""), version: packed_map}
        switch = Switch(version=version, step=step)
        return replace(self, version=base, switch=switch, map_by_version=maps)

    def with_outcome(self, outcome):
        """Return the knowledge after the newest switch's outcome became known."""
        return replace(self, switch=replace(self.switch, outcome=outcome))


def generation_of(incarnations):
    """Return the number of the generation made of these incarnations by rank.

    Parameters
    ----------
    incarnations : sequence of int
        Incarnation of each rank.
    """
    data = struct.pack(f">{len(incarnations)}Q", *incarnations)
    return hash64(data.hex()) or 1


def agreed_view(answers, *, generation):
    """Return what a new generation starts from.

    Parameters
    ----------
    answers : sequence of GenerationAnswer
        One answer of every rank.
    generation : int
        The new generation.

    Returns
    -------
    view : GroupView
        Same on every rank that has the same answers.

    Notes
    -----
    Steps of successive switches increase on every rank, so the answer with the
    highest step has folded all earlier ones into its version. A switch that no
    answer knows as committed is aborted for good. If all ranks have restarted, steps
    are counted anew under another origin, from the newest map that an agent still
    knows; if none knows any, from the newest record of the store.
    """
    if all(a.is_rank_new for a in answers):
        return _view_of_new_ranks(answers, generation)
    # An agent may remember a count of steps that has since begun anew.
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
