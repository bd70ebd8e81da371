"""Stand-in for a group of ranks that run in lock-step."""

from magnoliagrade_standins.ranks.group import RankGroup, StepRecord, find_map_conflict
from magnoliagrade_standins.ranks.rank import Rank, StaleFence

__all__ = ["Rank", "RankGroup", "StaleFence", "StepRecord", "find_map_conflict"]
