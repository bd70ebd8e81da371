"""Demand of organisations with a ceiling, exchanged between entries."""

from magnoliagrade.wire import OrganisationUsage, UsageReport
from magnoliagrade.world import Role

from magnoliagrade_entry.handlers import entry_handlers, entry_tasks
from magnoliagrade_entry.requests.shared_rates import ReportedUsage

__all__ = ["exchange_usage"]

INTERVAL_S = 1.0
LINKS_PER_INTERVAL = 20
MAX_ROWS = 64


@entry_tasks.register("usage")
async def exchange_usage(node):
    """Tell peers what organisations with a ceiling asked for lately.

    Notes
    -----
    Nothing is sent while no such organisation is in use. Entries of the same data
    centre get this entry's figures, those of others the sums over the data centre,
    so that reports do not grow with the fleet. With more than 20 links the interval
    grows in proportion, and a report names the 64 largest organisations.
    """
    had_demand = False
    while True:
        links = node.links.of_role(Role.ENTRY)
        pause = INTERVAL_S * max(1.0, len(links) / LINKS_PER_INTERVAL)
        await node.clock.sleep(pause * node.rng.uniform(0.9, 1.1))
        rates = node.admission.rates
        rates.entries = _count_entries(node)
        rates.end_interval(pause)
        if rates.demand_by_organisation or had_demand:
            _send_reports(node, pause)
        had_demand = bool(rates.demand_by_organisation)


def _count_entries(node):
    listed = [i for i in node.known.by_name.values() if i.role is Role.ENTRY]
    linked = len(node.links.of_role(Role.ENTRY)) + 1
    return max(linked, len(listed))


def _send_reports(node, interval_s):
    own_data_centre = node.identity.data_centre
    links = node.links.of_role(Role.ENTRY)
    near = [k for k in links if k.hello.data_centre == own_data_centre]
    rates = node.admission.rates
    own = _report(rates.total_demand([]), interval_s)
    for link in near:
        link.send(own)
    summed = _report(rates.total_demand(k.peer_instance for k in near), interval_s)
    summed.data_centre = own_data_centre
    for link in links:
        if link not in near:
            link.send(summed)


def _report(usage, interval_s):
    rows = sorted(usage.demand_by_organisation.items(), key=lambda r: (-r[1], r[0]))
    return UsageReport(
        interval_seconds=interval_s,
        entries=usage.entries,
        usages=[
            OrganisationUsage(organisation=name, cost=demand)
            for name, demand in rows[:MAX_ROWS]
        ],
    )


@entry_handlers.on(UsageReport)
async def on_usage_report(node, link, message):
    """Note the demand at a peer, or in its data centre."""
    usage = ReportedUsage(
        entries=message.entries,
        demand_by_organisation={u.organisation: u.cost for u in message.usages},
    )
    node.admission.rates.record_report(message.data_centre or link.peer_instance, usage)
