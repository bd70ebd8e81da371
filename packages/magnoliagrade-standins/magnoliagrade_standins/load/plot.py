"""Plot of a load's latencies."""

__all__ = ["plot_report"]

FRACTIONS = [*range(100), 99.5, 99.9]


def plot_report(report, path):
    """Draw the latency at each percentile and save it.

    Parameters
    ----------
    report : LoadReport
        Report of a load.
    path : str
        File to write; its ending (`.svg`, `.png`) gives the format.
    """
    # Imported here, because it takes a second that other commands would pay.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(7, 4))
    axes = figure.subplots()
    for name, histogram in report.histogram_by_name.items():
        if not histogram.get_total_count():
            continue
        values = [1000 * report.percentile_s(name, p) for p in FRACTIONS]
        axes.plot(FRACTIONS, values, label=name)
    axes.set_xlabel("percentile")
    axes.set_ylabel("latency (ms)")
    axes.set_yscale("log")
    axes.grid(alpha=0.3)
    axes.legend()
    axes.set_title(f"{report.goodput_per_s:.1f} good answers/s of {report.sent} sent")
    figure.tight_layout()
    figure.savefig(path)
