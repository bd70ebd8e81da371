"""Readings of a process from the operating system and from its own metrics."""

from dataclasses import dataclass

__all__ = ["ProcessReading", "read_process", "usage_between"]


@dataclass(slots=True, kw_only=True)
class ProcessReading:
    """Readings of one process at one moment.

    Parameters
    ----------
    cpu_s : float
        User and system processor time in seconds since the start of the process.
    rss_mb : float
        Resident set size in MB.
    pss_mb : float
        Proportional set size in MB: each shared page is divided by the number of
        processes that map it.
    value_by_metric : dict of str to float
        Values of metrics by name, summed over their labels.
    """

    cpu_s: float
    rss_mb: float
    pss_mb: float
    value_by_metric: dict


async def read_process(process_id, session, admin_address):
    """Return the readings of a process.

    Parameters
    ----------
    process_id : int
        Process id.
    session : aiohttp.ClientSession
        Session to read the metrics with; not used without an address.
    admin_address : str
        `host:port` of the admin listener of the process; empty reads no metrics.

    Returns
    -------
    reading : ProcessReading
        Without metrics, its processor time is 0.
    """
    value_by_metric = {}
    if admin_address:
        async with session.get(f"http://{admin_address}/metrics") as response:
            value_by_metric = _sum_metrics(await response.text())
    rss_mb, pss_mb = _memory(process_id)
    return ProcessReading(
        cpu_s=value_by_metric.get("magnoliagrade_process_cpu_seconds", 0.0),
        rss_mb=rss_mb,
        pss_mb=pss_mb,
        value_by_metric=value_by_metric,
    )


def usage_between(first, last, seconds):
    """Return the rates of usage of a process between two readings.

    Parameters
    ----------
    first, last : ProcessReading
        Readings of the same process.
    seconds : float
        Time between the readings.

    Returns
    -------
    value_by_name : dict of str to float
        Rates per second by name, and the links and memory of the last reading.
    """

    def rate(metric):
        before = first.value_by_metric.get(metric, 0.0)
        return (last.value_by_metric.get(metric, 0.0) - before) / seconds

    return {
        "cpu_percent": 100 * (last.cpu_s - first.cpu_s) / seconds,
        "messages_in_per_s": rate("magnoliagrade_link_messages_in"),
        "messages_out_per_s": rate("magnoliagrade_link_messages_out"),
        "bytes_in_per_s": rate("magnoliagrade_link_bytes_in"),
        "bytes_out_per_s": rate("magnoliagrade_link_bytes_out"),
        "store_calls_per_s": rate("magnoliagrade_store_calls_total"),
        "links": last.value_by_metric.get("magnoliagrade_links", 0.0),
        "rss_mb": last.rss_mb,
        "pss_mb": last.pss_mb,
    }


def _memory(process_id):
    with open(f"/proc/{process_id}/smaps_rollup", encoding="ascii") as file:
        rows = [line.split() for line in file]
    kilobytes = {r[0]: int(r[1]) for r in rows if r[0] in ("Rss:", "Pss:")}
    return kilobytes["Rss:"] / 1024, kilobytes["Pss:"] / 1024


def _sum_metrics(text):
    value_by_metric = {}
    for line in text.splitlines():
        if line.startswith("#"):
            continue
        name, _, value = line.rpartition(" ")
        name = name.partition("{")[0]
        value_by_metric[name] = value_by_metric.get(name, 0.0) + float(value)
    return value_by_metric
