"""Command that measures the cost of control by site size and reports it."""

import asyncio
import dataclasses
import json

from magnoliagrade_standins.slopes.fitting import Fleet, fit_line, predict
from magnoliagrade_standins.slopes.load_cost import (
    GROUP_SIZES,
    LOAD_RATES_PER_S,
    measure_group,
    measure_load,
)
from magnoliagrade_standins.slopes.measuring import (
    CHANGE_COUNT,
    REST_DURATION_S,
    measure_idle,
    measure_size,
)
from magnoliagrade_standins.slopes.restart import (
    RESTART_ENTRIES,
    measure_restart,
)
from magnoliagrade_standins.slopes.sizes import FAMILIES
from magnoliagrade_standins.slopes.store_calls import (
    STORE_SIZES,
    measure_store_calls,
)

__all__ = ["slopes_command"]

READINGS = (
    "cpu_percent messages_in_per_s messages_out_per_s bytes_in_per_s "
    "bytes_out_per_s store_calls_per_s links rss_mb pss_mb"
).split()
ROLES = ("entry", "agent")
# Upper limits for one process at the size of `Fleet`; memory is counted above an
# idle interpreter with the libraries.
BUDGET_BY_USAGE = {"cpu_percent": 2.1, "memory_mb": 32.0, "bytes_per_s": 22000.0}
# Upper limit of the time from accepting a configuration change until every instance
# has it in force.
IN_FORCE_BUDGET_S = 18.0


def slopes_command(
    *,
    families="",
    json_path="",
    plot_path="",
    rest_s=REST_DURATION_S,
    changes=CHANGE_COUNT,
):
    """Measure the cost of control, print it as tables and return the exit code.

    Parameters
    ----------
    families : str
        Names of families of sizes, separated by commas; `store`, `requests`,
        `claims`, `groups` and `restart` name further tables. Empty measures
        everything.
    json_path : str
        JSON file to write all readings to; empty writes none.
    plot_path : str
        Image file to write a plot to; empty writes none.
    rest_s : float
        Seconds for which each size is measured at rest.
    changes : int
        Number of configuration changes made at each size.

    Returns
    -------
    code : int
        Always 0; a missed budget is printed but is not an error.
    """
    requested = families if isinstance(families, (list, tuple)) else families.split(",")
    names = [n for n in requested if n] or [*FAMILIES, *_PRINT_BY_TABLE]
    for name, print_table in _PRINT_BY_TABLE.items():
        if name in names:
            print_table(rest_s)
    names = [name for name in names if name in FAMILIES]
    if not names:
        return 0
    idle_by_role, results = asyncio.run(_measure(names, rest_s, changes))
    _print_idle(idle_by_role)
    for name in names:
        _print_family(name, [r for r in results if r.family == name])
    if len(names) == len(FAMILIES):
        _print_fleet(results, idle_by_role, Fleet())
    if json_path:
        _write_json(json_path, idle_by_role, results)
    if plot_path:
        _write_plot(plot_path, names, results)
    return 0


async def _measure(names, rest_s, changes):
    idle_by_role = await measure_idle()
    results = []
    for name in names:
        for size in FAMILIES[name]:
            print(f"measuring {name} = {size.value} ...", flush=True)
            results.append(await measure_size(size, rest_s=rest_s, changes=changes))
    return idle_by_role, results


def _print_requests(seconds):
    _print_loads("completions", seconds, orders=False)


def _print_claims(seconds):
    _print_loads("keyed orders", seconds, orders=True)


def _print_loads(title, seconds, *, orders):
    usages = [
        asyncio.run(measure_load(rate_per_s=rate, orders=orders, seconds=seconds))
        for rate in LOAD_RATES_PER_S
    ]
    for role in ROLES:
        print(f"\n{role} by {title} a second over two entries")
        _print_usages(LOAD_RATES_PER_S, [usage[role] for usage in usages])


def _print_groups(seconds):
    usages = [
        asyncio.run(
            measure_group(ranks=ranks, interval_s=interval_s, seconds=2 * seconds)
        )
        for ranks, interval_s in GROUP_SIZES
    ]
    column_labels = [f"{ranks}/{interval_s:g}" for ranks, interval_s in GROUP_SIZES]
    for role in ("member", "coordinator"):
        print(f"\n{role} by ranks / seconds between plans")
        _print_usages(column_labels, [usage[role] for usage in usages])


def _print_restarts(_seconds):
    print("\nrestart of one entry by entries, 6,800 organisations")
    costs = [asyncio.run(measure_restart(entries=n)) for n in RESTART_ENTRIES]
    print("  " + "reading".ljust(20), *(f"{n:>10}" for n in RESTART_ENTRIES))
    for field in dataclasses.fields(costs[0]):
        row = (f"{getattr(cost, field.name):10.2f}" for cost in costs)
        print("  " + field.name.ljust(20), *row, flush=True)


def _print_usages(column_labels, usages):
    print(
        "  " + "reading".ljust(20),
        *(f"{column_label:>10}" for column_label in column_labels),
    )
    for reading in READINGS:
        row = (f"{usage[reading]:10.2f}" for usage in usages)
        print("  " + reading.ljust(20), *row, flush=True)


def _print_store_calls(_seconds):
    print("calls to the store by entries (manual time, one store in memory)")
    columns = "entries rest/s change outage/s peak/s in-force-s".split()
    print("  " + "".join(c.rjust(12) for c in columns), flush=True)
    for data_centres, entries in STORE_SIZES:
        calls = asyncio.run(
            measure_store_calls(data_centres=data_centres, entries=entries)
        )
        row = dataclasses.astuple(calls)
        print("  " + "".join(f"{value:12.2f}" for value in row), flush=True)


_PRINT_BY_TABLE = {
    "store": _print_store_calls,
    "requests": _print_requests,
    "claims": _print_claims,
    "groups": _print_groups,
    "restart": _print_restarts,
}


def _print_idle(idle_by_role):
    print("\nidle interpreter with the libraries")
    for role, usage in idle_by_role.items():
        print(
            f"  {role}: {usage['rss_mb']:.1f} MB resident, "
            f"{usage['cpu_percent']:.2f} % of a core"
        )


def _print_family(name, results):
    for role in ROLES:
        print(f"\n{role} by {name}, at rest")
        print("  " + "reading".ljust(20), *(f"{r.value:>10}" for r in results), end="")
        print(f"{'slope':>12}")
        for reading in READINGS:
            row = [r.rest_by_role[role][reading] for r in results]
            slope, _ = fit_line([r.value for r in results], row)
            print("  " + reading.ljust(20), *(f"{v:10.2f}" for v in row), end="")
            print(f"{slope:12.4f}")
        _print_changes(role, results)
    max_in_force_s = [max(r.in_force_s, default=0.0) for r in results]
    print("  " + "in force, worst s".ljust(20), *(f"{v:10.2f}" for v in max_in_force_s))
    stalls = [1000 * r.stall_s for r in results]
    print("  " + "longest stall ms".ljust(20), *(f"{v:10.1f}" for v in stalls))


def _print_changes(role, results):
    for reading in ("cpu_percent", "bytes_in_per_s", "bytes_out_per_s"):
        row = [_reading_per_change(r, role, reading) for r in results]
        label = reading.replace("_per_s", "").replace("cpu_percent", "cpu ms")
        scale = 10 if reading == "cpu_percent" else 1
        values = (f"{scale * v:10.1f}" for v in row)
        print("  " + f"{label} a change".ljust(20), *values)


def _reading_per_change(result, role, reading):
    increase = result.change_by_role[role][reading] - result.rest_by_role[role][reading]
    return increase / result.changes_per_s


def _print_fleet(results, idle_by_role, fleet):
    print(f"\nat {fleet.entries} entries and {fleet.agents} agents in each of")
    print(f"{fleet.data_centres} data centres, {fleet.organisations} organisations")
    for role in ROLES:
        value = {name: predict(results, role, name, fleet) for name in READINGS}
        memory = value["rss_mb"] - idle_by_role[role]["rss_mb"]
        amount_by_usage = {
            "cpu_percent": value["cpu_percent"],
            "memory_mb": memory,
            "bytes_per_s": value["bytes_in_per_s"] + value["bytes_out_per_s"],
        }
        for name, amount in amount_by_usage.items():
            verdict = "within" if amount <= BUDGET_BY_USAGE[name] else "MISSED"
            print(
                f"  {role} {name}: {amount:.2f} of {BUDGET_BY_USAGE[name]:g}, {verdict}"
            )
        for name in READINGS:
            print(f"    {name} = {value[name]:.2f}")
    max_in_force_s = max((max(r.in_force_s, default=0.0) for r in results), default=0.0)
    print(
        f"  in force: {max_in_force_s:.2f} s of {IN_FORCE_BUDGET_S:g} "
        "at the sizes measured"
    )


def _write_json(path, idle_by_role, results):
    with open(path, "w", encoding="utf-8") as file:
        rows = [dataclasses.asdict(r) for r in results]
        json.dump({"idle": idle_by_role, "results": rows}, file, indent=1)


def _write_plot(path, names, results):
    import matplotlib

    matplotlib.use("Agg")
    from matplotlib import pyplot

    readings = ("cpu_percent", "bytes_out_per_s", "rss_mb")
    figure, axes = pyplot.subplots(
        len(readings), len(names), figsize=(4 * len(names), 9), squeeze=False
    )
    for column, name in enumerate(names):
        rows = [r for r in results if r.family == name]
        for line, reading in enumerate(readings):
            axis = axes[line][column]
            for role in ROLES:
                values = [r.rest_by_role[role][reading] for r in rows]
                axis.plot([r.value for r in rows], values, marker="o", label=role)
            axis.set_xlabel(name)
            axis.set_ylabel(reading)
            axis.set_ylim(bottom=0)
    axes[0][0].legend()
    figure.tight_layout()
    figure.savefig(path)
    pyplot.close(figure)
