"""Exit codes and output of the configuration commands against a running site."""

import asyncio
import json
import os
import sys

from magnoliagrade_standins.harness import CONFIGURATION, Site, SitePlan

PLAN = SitePlan(
    entries_by_data_centre={"kamloops": 2}, services_by_data_centre={"kamloops": 1}
)
ACCEPTED, INVALID, CONFLICT, UNREACHABLE, BEHIND = 0, 2, 3, 5, 6


def test_commands_exit_with_the_code_of_each_outcome():
    asyncio.run(_run_commands())


async def _run_commands():
    async with Site(plan=PLAN) as site:
        await _apply_and_wait(site)
        await _reject_invalid(site)
        await _drain_and_admit(site)
        await _label_concurrently(site)
        await _report_instance_behind(site)


async def _apply_and_wait(site):
    path = os.path.join(site.folder, "new.ini")
    with open(path, "w", encoding="utf-8") as file:
        file.write(CONFIGURATION + "\n[data_centre kamloops]\nregion = bc\n")
    code, out = await _run(site, "diff", path)
    assert code == ACCEPTED and "data_centre kamloops" in out, out
    code, out = await _run(site, "apply", path, "--wait", "--author=ann")
    assert code == ACCEPTED and "in force on all instances" in out, out
    code, out = await _run(site, "apply", path, "--operation=again", "--json")
    assert code == ACCEPTED, out
    code, repeated = await _run(site, "apply", path, "--operation=again", "--json")
    assert code == ACCEPTED and json.loads(repeated) == json.loads(out)


async def _reject_invalid(site):
    path = os.path.join(site.folder, "bad.ini")
    with open(path, "wb") as file:
        file.write(b"[pool p]\nfull_limit = \xff\n")
    assert (await _run(site, "apply", path))[0] == INVALID
    assert (await _run(site, "check", path, "--kind=configuration"))[0] == INVALID
    assert (await _run(site, "label", "pool", "p", "a=1"))[0] == INVALID
    assert (await _run(site, "label", "endpoint", "e", "a"))[0] == INVALID


async def _drain_and_admit(site):
    name = "kamloops-service-0"
    assert (await _run(site, "drain", name, "--wait"))[0] == ACCEPTED
    assert (await _state(site, name))["reasons"] == "the endpoint is draining"
    assert (await _run(site, "admit", name, "--wait"))[0] == ACCEPTED
    assert (await _state(site, name))["ready"]


async def _label_concurrently(site):
    await site.control_platform(
        "faults", {"latency_s": 0.1, "lose_write_answers": 4, "calls_per_s": 0}
    )
    code_by_operation = {}

    async def operator(author):
        for i in range(4):
            operation = f"{author}-{i}"
            label = f"x={operation}"
            code, _ = await _run(
                site, "label", "endpoint", "e", label, f"--operation={operation}"
            )
            code_by_operation[operation] = code

    await asyncio.gather(operator("ann"), operator("bob"))
    await site.control_platform("faults", {})
    assert set(code_by_operation.values()) <= {ACCEPTED, CONFLICT}, code_by_operation
    accepted = {o for o, code in code_by_operation.items() if code == ACCEPTED}
    _, out = await _run(site, "history", "--json")
    rows = json.loads(out)["rows"]
    assert {r["operation"] for r in rows} & set(code_by_operation) == accepted
    last = next(r["operation"] for r in rows)
    _, text = await _run(site, "show")
    assert f"labels = x={last}" in text


async def _report_instance_behind(site):
    site.entry_by_name["kamloops-entry-1"].freeze()
    code, out = await _run(
        site, "label", "endpoint", "e", "x=0", "--wait", "--timeout_s=1", "--json"
    )
    assert code == BEHIND, out
    assert json.loads(out)["rows"] == [{"behind": "kamloops-entry-1"}]
    assert (await _run(site, "status"))[0] == BEHIND
    site.entry_by_name["kamloops-entry-1"].thaw()
    await site.control_platform("faults", {"is_down": True})
    assert (await _run(site, "label", "endpoint", "e", "x=1"))[0] == UNREACHABLE


async def _state(site, name):
    _, out = await _run(site, "status", "--json")
    return next(r for r in json.loads(out)["rows"] if r["instance"] == name)


async def _run(site, *arguments):
    binary = os.path.join(os.path.dirname(sys.executable), "magnoliagrade")
    url = site.platform_url
    process = await asyncio.create_subprocess_exec(
        binary,
        *arguments,
        f"--store={url}",
        f"--instances={url}/v1/instances",
        stdout=asyncio.subprocess.PIPE,
    )
    out, _ = await process.communicate()
    return process.returncode, out.decode()
