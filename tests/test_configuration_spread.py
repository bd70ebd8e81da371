"""Propagation of configuration changes while the store is slow, cut off or down."""

import asyncio
import json
import os
import sys

import aiohttp
from magnoliagrade.configuration import SetLabels
from magnoliagrade_standins.harness import Site, SitePlan

IN_FORCE_S = 5.0
PLAN = SitePlan(
    entries_by_data_centre={"kamloops": 2, "kelowna": 2},
    services_by_data_centre={"kamloops": 1, "kelowna": 1},
    has_proxy=True,
)
HEADERS = {"Authorization": "Bearer key-0"}


def test_changes_come_into_force_on_all_instances_despite_store_and_network_faults():
    asyncio.run(_change_under_faults())


async def _change_under_faults():
    async with Site(plan=PLAN) as site:
        await _with_slow_store(site)
        await _with_store_cut_from_one_data_centre(site)
        await _with_data_centres_cut_from_each_other(site)
        await _with_store_down_after_acceptance_by_one_entry(site)
        await _start_entry_while_store_is_down(site)
        await _start_entry_without_store_and_peers(site)


async def _with_slow_store(site):
    await site.control_platform("faults", {"latency_s": 1.0})
    revision = await _label(site, "0")
    await _wait_in_force(site, revision)
    await site.control_platform("faults", {})


async def _with_store_cut_from_one_data_centre(site):
    await site.set_rules(
        {
            "source": site.source_of("kamloops"),
            "target": "platform",
            "flow": "cut",
        }
    )
    revision = await _label(site, "1")
    await _wait_in_force(site, revision)


async def _with_data_centres_cut_from_each_other(site):
    await site.set_rules(
        {"source": site.source_of("kamloops"), "target": "platform", "flow": "cut"},
        {"source": site.source_of("kamloops"), "target": "kelowna", "flow": "cut"},
        {"source": site.source_of("kelowna"), "target": "kamloops", "flow": "cut"},
    )
    revision_before = await _revision(site, "kamloops-entry-0")
    revision = await _label(site, "2")
    await _wait_in_force(site, revision, only="kelowna")
    assert await _revision(site, "kamloops-entry-0") == revision_before
    await _order(site, "kamloops-entry-0")
    await site.set_rules()
    await _wait_in_force(site, revision)


async def _with_store_down_after_acceptance_by_one_entry(site):
    admin = site.entry_by_name["kelowna-entry-1"].addresses["admin"]
    code, out = await _run_command(
        "drain",
        "kamloops-service-0",
        "--json",
        f"--entry=http://{admin}",
    )
    await site.control_platform("faults", {"is_down": True})
    assert code == 0, out
    revision = json.loads(out)["revision"]
    await _wait_in_force(site, revision)
    await _order(site, "kelowna-entry-0")
    code, out = await _run_command(
        "label", "endpoint", "e", "a=1", f"--store={site.platform_url}", "--unchecked"
    )
    assert code == 5, out


async def _start_entry_while_store_is_down(site):
    entry = site.entry_by_name["kamloops-entry-1"]
    newest_revision = await _revision(site, "kamloops-entry-0")
    await entry.kill()
    await site.start_listed(entry, "entry")
    await _wait_in_force(site, newest_revision)
    reasons = await _not_ready_reasons(site, "kamloops-entry-1")
    assert reasons == [], reasons


async def _start_entry_without_store_and_peers(site):
    entry = site.entry_by_name["kelowna-entry-1"]
    await site.set_rules(
        {"target": "kelowna-entry-1", "flow": "cut"},
        {"source": site.source_of("kelowna-entry-1"), "flow": "cut"},
    )
    await entry.kill()
    await site.start_listed(entry, "entry")
    reasons = []
    while not any("the store does not respond" in r for r in reasons):
        reasons = await _not_ready_reasons(site, "kelowna-entry-1")
        await asyncio.sleep(0.05)
    assert "0 peers are linked" in reasons[0]
    await site.set_rules()
    await site.control_platform("faults", {"is_down": False})
    newest_revision = await _revision(site, "kamloops-entry-0")
    await _wait_in_force(site, newest_revision)


async def _label(site, value):
    change = SetLabels(kind="endpoint", name="other", value_by_label={"x": value})
    stored = await site.repository.change(change, author="test")
    return stored.revision


async def _wait_in_force(site, revision, only=""):
    loop = asyncio.get_running_loop()
    start = loop.time()
    names = [n for n in site.entry_by_name if n.startswith(only)]
    names += [n for n in site.agent_by_name if n.startswith(only)]
    while not all([await _revision(site, n) >= revision for n in names]):
        assert loop.time() - start < 4 * IN_FORCE_S, (
            f"revision {revision} is not in force on {names}"
        )
        await asyncio.sleep(0.05)
    print(f"revision {revision} in force after {loop.time() - start:.2f} s")


async def _revision(site, name):
    process = {**site.entry_by_name, **site.agent_by_name}[name]
    url = f"http://{process.addresses['admin']}/metrics"
    async with site.session.get(url) as response:
        text = await response.text()
    for line in text.splitlines():
        if line.startswith("magnoliagrade_configuration_revision "):
            return int(float(line.split()[1]))
    return 0


async def _not_ready_reasons(site, name):
    url = f"http://{site.entry_by_name[name].addresses['admin']}/readyz"
    async with site.session.get(url) as response:
        return (await response.json())["reasons"]


async def _order(site, entry):
    url = f"{site.caller_url(entry)}/orders/reorder"
    timeout = aiohttp.ClientTimeout(total=20)
    async with site.session.post(url, headers=HEADERS, timeout=timeout) as response:
        assert response.status == 200, await response.text()


async def _run_command(*arguments):
    binary = os.path.join(os.path.dirname(sys.executable), "magnoliagrade")
    process = await asyncio.create_subprocess_exec(
        binary, *arguments, stdout=asyncio.subprocess.PIPE
    )
    out, _ = await process.communicate()
    return process.returncode, out.decode()
