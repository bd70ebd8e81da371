"""Plot of the skew of rebalancing policies over the day."""

__all__ = ["plot_days"]


def plot_days(reports, *, report_s, path):
    """Write a plot of each policy's skew over the day.

    Parameters
    ----------
    reports : sequence of DayReport
        One report for each policy.
    report_s : float
        Seconds between two values of skew in a report.
    path : str
        File to write; its suffix selects the format.
    """
    # Imported here, because the import takes about a second, which would delay every
    # other command.
    from matplotlib.figure import Figure

    figure = Figure(figsize=(8, 4))
    axes = figure.subplots()
    for report in reports:
        hours = [(i + 1) * report_s / 3600 for i in range(len(report.skews))]
        axes.plot(hours, report.skews, label=report.policy, linewidth=0.8)
    axes.set_xlabel("hour of the day")
    axes.set_ylabel("slowest over mean time of ranks")
    axes.legend()
    figure.savefig(path)
