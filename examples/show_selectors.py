"""
Selecting endpoints by labels
=============================

Draining an endpoint is a change of a label: the selector of its pool does not
change, the endpoint merely stops to match.
"""

from magnoliagrade.algorithms import parse_selector

selector = parse_selector("work=model, state notin (draining)")
print(selector.matches({"work": "model"}))
print(selector.matches({"work": "model", "state": "draining"}))
