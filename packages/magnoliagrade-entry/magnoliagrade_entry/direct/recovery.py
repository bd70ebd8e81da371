"""Asking the endpoints of a service that is out whether their group is back."""

import logging

from magnoliagrade.errors import MagnoliagradeError
from magnoliagrade.observability import log_event
from magnoliagrade.platform import RankServer
from prometheus_client import Counter

__all__ = ["watch_recovery"]

# Reports are some 200 ms old (platform pages), so that the first ones after a rank is
# lost may still say that the group is whole.
FIRST_REPORT_S = 0.6
# A caller who waits loses half of this; each report is priced as a probe.
REPORT_INTERVAL_S = 0.4
# Within one interval also across data centres; a cut endpoint gives no answer.
REPORT_TIMEOUT_S = 0.35
# Entries do not ask in step.
REPORT_SPREAD = 0.2

REPORTS = Counter(
    "magnoliagrade_direct_recovery_reports_total",
    "Reports asked for while a service is out",
    ["result"],
)
_log = logging.getLogger(__name__)


async def watch_recovery(node, service):
    """Ask until a service is back, so that no request is spent on finding out.

    Parameters
    ----------
    node : DirectEntry
        The entry.
    service : str
        Service that is out.
    """
    pause_s = FIRST_REPORT_S
    while True:
        await node.clock.sleep(
            pause_s * node.rng.uniform(1 - REPORT_SPREAD, 1 + REPORT_SPREAD)
        )
        pause_s = REPORT_INTERVAL_S
        if not node.places.is_known_out(service):
            return
        place = _near_place(node, service)
        if place is None:
            continue
        status = await _report(node, place.endpoint)
        if status is None:
            continue
        now = node.clock.monotonic()
        if not status.is_open:
            node.places.note_report(service, now=now)
        elif node.places.note_answer(service):
            log_event(
                _log,
                "service.reported_back",
                service=service,
                endpoint=place.endpoint.id,
                group=status.group,
                epoch=status.epoch,
            )
            node.on_outage(service, is_out=False)
            return


def _near_place(node, service):
    places = node.places.places_of(service)
    own = node.settings.data_centre
    near = [place for place in places if place.endpoint.data_centre == own]
    return node.rng.choice(near or places) if places else None


async def _report(node, endpoint):
    """Return the endpoint's status, or None if it says nothing of a group."""
    server = RankServer(
        address=endpoint.address,
        session=node.upstream_session,
        timeout_s=REPORT_TIMEOUT_S,
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
