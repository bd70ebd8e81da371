"""Polling the status of unavailable endpoints until they have recovered.

No request of a caller is used for it, unlike for the probes of `outages`.
"""

import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import RankServer
from prometheus_client import Counter

__all__ = ["watch_recovery"]

# Delay of the first status query. Status reports are about 200 ms old, so that the
# first ones after the loss of a rank may still show a complete group.
FIRST_STATUS_DELAY_S = 0.6
# Interval between status queries. A waiting caller loses half of it on average; the
# platform bills each status report as a probe.
STATUS_INTERVAL_S = 0.4
# Time limit of a status query, because an endpoint that is cut off does not respond:
# shorter than the interval between queries, and long enough for a response from another
# data centre.
STATUS_TIMEOUT_S = 0.35
# Random part of the interval, as a fraction, so that entries do not send their queries
# in step.
STATUS_JITTER = 0.2

REPORTS = Counter(
    "magnoliagrade_direct_recovery_reports_total",
    "Reports asked for while a service is out",
    ["result"],
)
_log = logging.getLogger(__name__)


async def watch_recovery(node, domain):
    """Poll a fault domain until it is available, so that no request is a probe.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    domain : FaultDomain
        Unavailable fault domain.
    """
    pause_s = FIRST_STATUS_DELAY_S
    while True:
        await node.clock.sleep(
            pause_s * node.rng.uniform(1 - STATUS_JITTER, 1 + STATUS_JITTER)
        )
        pause_s = STATUS_INTERVAL_S
        outages = node.endpoint_table.outages
        if not outages.is_domain_unavailable(domain):
            return
        if not outages.loads_in(domain) and outages.has_others(domain):
            # Its endpoints belong to other groups by now, or are gone for good.
            outages.end(domain)
            return
        load = _pick_load(node, domain)
        if load is None:
            continue
        status = await _request_status(node, load.endpoint)
        if status is None:
            continue
        now = node.clock.monotonic()
        if not status.is_open:
            outages.record_broken_report(domain, now=now)
        elif outages.end(domain):
            log_event(
                _log,
                "service.reported_back",
                service=domain.service,
                endpoint=load.endpoint.id,
                group=status.group,
                epoch=status.epoch,
            )
            node.on_outage(domain, is_unavailable=False)
            return


def _pick_load(node, domain):
    """Return a random endpoint's load, preferably of the local data centre, or None."""
    loads = node.endpoint_table.outages.loads_in(domain)
    local_data_centre = node.settings.data_centre
    local = [load for load in loads if load.endpoint.data_centre == local_data_centre]
    return node.rng.choice(local or loads) if loads else None


async def _request_status(node, endpoint):
    """Return the endpoint's status, or None if it reports no group."""
    server = RankServer(
        address=endpoint.address,
        session=node.upstream_session,
        timeout_s=STATUS_TIMEOUT_S,
        memory=node.response_memory,
    )
    try:
        status = await server.status()
    except MagnoliagradeError as exc:
        REPORTS.labels("none").inc()
        log_event(
            _log, "service.report.failed", endpoint=endpoint.id, detail=exc.detail
        )
        return None
    if not status.group:
        REPORTS.labels("none").inc()
        return None
    REPORTS.labels("open" if status.is_open else "broken").inc()
    return status
