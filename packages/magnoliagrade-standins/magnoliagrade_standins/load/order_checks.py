"""Verdicts on orders, from the services' own records."""

from collections import Counter
from dataclasses import dataclass, field

from magnoliagrade_standins.load.arrivals import Kind

__all__ = ["OrderCheckResult", "check_orders"]


@dataclass(slots=True, kw_only=True)
class OrderCheckResult:
    """Orders whose executions do not fit what their callers were told.

    Parameters
    ----------
    orders : int
        Orders that were sent.
    executed : int
        Orders that ran at least once.
    unknown : int
        Orders whose callers were left without knowing whether they ran.
    lost : list of str
        Ids answered as done that never ran.
    doubled : list of str
        Ids that ran more than once.
    ran_though_refused : list of str
        Ids refused as not run that did run.
    foreign : list of str
        Ids in the records that no caller of this load sent.
    """

    orders: int = 0
    executed: int = 0
    unknown: int = 0
    lost: list = field(default_factory=list)
    doubled: list = field(default_factory=list)
    ran_though_refused: list = field(default_factory=list)
    foreign: list = field(default_factory=list)

    @property
    def is_clean(self):
        """Whether no order was lost, doubled, run though refused, or foreign."""
        found = (self.lost, self.doubled, self.ran_though_refused, self.foreign)
        return not any(found)


def check_orders(outcomes, executions):
    """Compare what callers were told with what services recorded.

    Parameters
    ----------
    outcomes : list of Outcome
        Outcomes of a load.
    executions : list of dict
        Executions of all services, as their `/record` gives them.

    Returns
    -------
    verdicts : OrderCheckResult
        Ids are sorted.

    Notes
    -----
    An order answered with 200 ran once, one refused with `ran` = no never ran, and
    any other ran at most once.
    """
    runs_by_id = Counter(e["id"] for e in executions if e["method"] == "POST")
    by_id = {o.arrival.id: o for o in outcomes if o.arrival.kind is Kind.ORDER}
    verdicts = OrderCheckResult(orders=len(by_id))
    for request_id, outcome in sorted(by_id.items()):
        runs = runs_by_id[request_id]
        verdicts.executed += runs > 0
        verdicts.unknown += outcome.ran == "unknown"
        if runs > 1:
            verdicts.doubled.append(request_id)
        if runs == 0 and outcome.ran == "yes":
            verdicts.lost.append(request_id)
        if runs and outcome.ran == "no":
            verdicts.ran_though_refused.append(request_id)
    verdicts.foreign = sorted(set(runs_by_id) - set(by_id))
    return verdicts
