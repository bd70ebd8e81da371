"""The section `[group NAME]` of the configuration."""

from magnoliagrade.world import OPTION_PREFIX, REBALANCING_POLICIES, Group

__all__ = ["read_group"]


def read_group(configuration, name, fields):
    """Add the group that a section describes to a configuration.

    Parameters
    ----------
    configuration : Configuration
        Configuration that the group is added to.
    name : str
        Name of the group.
    fields : SectionFields
        Values of the section; problems are reported through it.
    """
    frozen = fields.text("frozen", "false", choices=("true", "false"))
    group = Group(
        name=name,
        ranks=fields.number("ranks", 1, low=1, high=4096, kind=int),
        experts=fields.number("experts", 1, low=1, high=65535, kind=int),
        layers=fields.number("layers", 1, low=1, high=4096, kind=int),
        slots_per_rank=fields.number("slots_per_rank", 1, low=1, high=65535, kind=int),
        rebalancing=fields.text("rebalancing", "static", choices=REBALANCING_POLICIES),
        is_frozen=frozen == "true",
        pinned_version=fields.number(
            "pinned_version", 0, low=0, high=2**63 - 1, kind=int
        ),
        options=_read_options(fields),
    )
    slots = group.ranks * group.slots_per_rank
    if slots < group.experts:
        text = (
            f"{group.experts} experts do not fit into {slots} slots "
            "(ranks * slots_per_rank)"
        )
        fields.report("slots_per_rank", text)
    configuration.group_by_name[name] = group


def _read_options(fields):
    options = fields.options(OPTION_PREFIX)
    for key, text in options.items():
        bounds = _BOUNDS_BY_KEY.get(key)
        if bounds is None:
            fields.report(key, f"unknown key; allowed: {', '.join(_BOUNDS_BY_KEY)}")
        elif not _is_within(text, *bounds):
            low, high = bounds
            fields.report(key, f"{text!r} is not a number from {low} to {high}")
    return options


def _is_within(text, low, high):
    try:
        return low <= float(text) <= high
    except ValueError:
        return False


_BOUNDS_BY_KEY = {
    "option.expert_bytes": (1, 10**15),
    "option.half_life_s": (1, 10**7),
    "option.horizon_s": (1, 10**7),
    "option.interval_s": (0.1, 10**7),
    "option.store_bytes_per_s": (1, 10**15),
    "option.store_share": (0.001, 1),
}
