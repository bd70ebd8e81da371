"""Entries report the demand of organisations with a rate ceiling to each other."""

from magnoliagrade.wire import OrganisationUsage, UsageReport
from magnoliagrade.world import Role

from magnoliagrade_entry.handlers import entry_handlers, entry_tasks
from magnoliagrade_entry.requests.shared_rates import ReportedUsage

__all__ = ["exchange_usage"]

# Mean time between reports of an entry with at most `MAX_LINKS_AT_MIN_INTERVAL` links.
MIN_REPORT_INTERVAL_S = 1.0
# With more links the interval grows in proportion to their number.
MAX_LINKS_AT_MIN_INTERVAL = 20
# A report names at most this many organisations, those with the largest demand.
MAX_ORGANISATIONS_PER_REPORT = 64


@entry_tasks.register("usage")
async def exchange_usage(node):
    """Report the demand of organisations with a rate ceiling to peers regularly.

    Notes
    -----
    Nothing is sent while no organisation with a rate ceiling sends requests. Entries of
    the same data centre get this entry's figures. Entries of other data centres get
    the sums over this data centre, so that reports do not grow with the fleet. With
    more than 20 links the interval grows in proportion to their number, and a report
    names the 64 organisations with the largest demand.
    """
    had_demand = False
    while True:
        links = node.links.of_role(Role.ENTRY)
        pause = MIN_REPORT_INTERVAL_S * max(1.0, len(links) / MAX_LINKS_AT_MIN_INTERVAL)
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
    local_links = [k for k in links if k.hello.data_centre == own_data_centre]
    rates = node.admission.rates
    local_report = _report(rates.total_demand([]), interval_s)
    for link in local_links:
        link.send(local_report)
    data_centre_report = _report(
        rates.total_demand(k.peer_instance for k in local_links), interval_s
    )
    data_centre_report.data_centre = own_data_centre
    for link in links:
        if link not in local_links:
            link.send(data_centre_report)


def _report(usage, interval_s):
    rows = sorted(usage.demand_by_organisation.items(), key=lambda r: (-r[1], r[0]))
    return UsageReport(
        interval_seconds=interval_s,
        entries=usage.entries,
        usages=[
            OrganisationUsage(organisation=name, cost=demand)
            for name, demand in rows[:MAX_ORGANISATIONS_PER_REPORT]
        ],
    )


@entry_handlers.on(UsageReport)
async def on_usage_report(node, link, message):
    """Record the demand at a peer, or in its data centre."""
    usage = ReportedUsage(
        entries=message.entries,
        demand_by_organisation={u.organisation: u.cost for u in message.usages},
    )
    node.admission.rates.record_report(message.data_centre or link.peer_instance, usage)
