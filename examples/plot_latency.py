"""
Latency by percentile
=====================

A histogram shows the tail that a mean hides. In this sample, one response in fifty
takes ten times as long as the others.
"""

import random

from magnoliagrade_standins.load.histograms import make_histogram, percentile_s
from matplotlib.figure import Figure

rng = random.Random(3)
times_s = [rng.gauss(0.020, 0.002) * (10 if i % 50 == 0 else 1) for i in range(5000)]
histogram = make_histogram(times_s)
for percentile in (50, 95, 99):
    print(f"{percentile} %: {1000 * percentile_s(histogram, percentile):.0f} ms")

figure = Figure(figsize=(6, 3))
axes = figure.subplots()
percentiles = [i / 2 for i in range(200)]
axes.plot(percentiles, [1000 * percentile_s(histogram, p) for p in percentiles])
axes.set_xlabel("percentile")
axes.set_ylabel("latency (ms)")
figure.tight_layout()
