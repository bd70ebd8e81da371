"""
Open-loop arrivals of a load
============================

Requests arrive as a Poisson process, whether or not earlier ones have been responded
to. A few organisations send most of them.
"""

from collections import Counter

from magnoliagrade_standins.load import LoadPlan, make_arrivals
from matplotlib.figure import Figure

plan = LoadPlan(urls=["http://127.0.0.1:8080"], rate_per_s=40, duration_s=30, seed=7)
arrivals = make_arrivals(plan)
count_by_organisation = Counter(a.organisation for a in arrivals)
print(f"{len(arrivals)} arrivals, {count_by_organisation.most_common(2)}")

figure = Figure(figsize=(7, 3))
over_time, by_organisation = figure.subplots(1, 2)
over_time.hist([a.at_s for a in arrivals], bins=30)
over_time.set_xlabel("time (s)")
over_time.set_ylabel("arrivals in a second")
by_organisation.bar(range(10), sorted(count_by_organisation.values(), reverse=True))
by_organisation.set_xlabel("organisation")
figure.tight_layout()
