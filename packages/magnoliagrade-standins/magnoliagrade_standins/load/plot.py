"""Plot of the latencies of a load."""

__all__ = ["plot_report"]

PLOTTED_PERCENTILES = [*range(100), 99.5, 99.9]


def plot_report(report, path):
    """Plot latency against percentile and save the figure.

    Parameters
    ----------
    report : LoadReport
        Report of a load.
    path : str
        File to write; its extension (`.svg`, `.png`) gives the format.
    """
    # Imported here, because the import takes 1 s, which would delay other commands.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(7, 4))
    axes = figure.subplots()
    for name, histogram in report.histogram_by_name.items():
        if not histogram.get_total_count():
            continue
        values = [1000 * report.percentile_s(name, p) for p in PLOTTED_PERCENTILES]
        axes.plot(PLOTTED_PERCENTILES, values, label=name)
    axes.set_xlabel("percentile")
    axes.set_ylabel("latency (ms)")
    axes.set_yscale("log")
    axes.grid(alpha=0.3)
    axes.legend()
    axes.set_title(f"{report.goodput_per_s:.1f} good responses/s of {report.sent} sent")
    figure.tight_layout()
    figure.savefig(path)
