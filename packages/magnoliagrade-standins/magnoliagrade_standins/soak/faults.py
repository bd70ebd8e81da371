"""Kinds of faults of a soak, each injected from outside the entry processes."""

import signal

from magnoliagrade_standins.proxy import Flow, Rule
from magnoliagrade_standins.soak.plan import fault_kinds

__all__ = ["inject_fault"]

# The operators' platform withholds watch events for at most 1 s.
MAX_WATCH_SILENCE_S = 1.0


async def inject_fault(site, fault, sleep):
    """Inject a fault, wait for its duration and end it.

    Parameters
    ----------
    site : SoakSite
        Site whose entries, endpoints, store or connections are affected.
    fault : Fault
        Fault to inject.
    sleep : coroutine function
        Coroutine function that waits for a number of seconds.
    """
    await fault_kinds.get(fault.kind)(site, fault, sleep)


def _target_entry(site, fault):
    return site.entries[fault.target % len(site.entries)]


def _target_endpoint(site, fault):
    return site.endpoints[fault.target % len(site.endpoints)]


@fault_kinds.register("entry-killed")
async def _kill_entry(site, fault, sleep):
    entry = _target_entry(site, fault)
    await entry.end()
    await sleep(fault.duration_s / 4)
    await entry.start()


@fault_kinds.register("all-entries-killed")
async def _kill_all_entries(site, fault, sleep):
    for entry in site.entries:
        await entry.end()
    await sleep(fault.duration_s / 4)
    for entry in site.entries:
        await entry.start()


@fault_kinds.register("entry-stopped")
async def _restart_entry(site, fault, sleep):
    entry = _target_entry(site, fault)
    entry.send(signal.SIGCONT)
    await entry.end(signal.SIGTERM)
    await sleep(0.1)
    await entry.start()


@fault_kinds.register("entry-frozen")
async def _suspend_entry(site, fault, sleep):
    entry = _target_entry(site, fault)
    entry.send(signal.SIGSTOP)
    await sleep(fault.duration_s)
    entry.send(signal.SIGCONT)


@fault_kinds.register("entry-reloaded")
async def _reload_entry(site, fault, _sleep):
    _target_entry(site, fault).send(signal.SIGHUP)


def _register_store_outage(name):
    @fault_kinds.register(f"store-{name}")
    async def store_outage(site, fault, sleep):
        site.store.outage = name
        await sleep(fault.duration_s)
        site.store.outage = ""


for _name in ("busy", "silent"):
    _register_store_outage(_name)


@fault_kinds.register("store-deaf")
async def _withhold_watch_events(site, fault, sleep):
    # The platform withholds watch events for 1 s at most and then compacts its history,
    # so that watches from an older revision are rejected.
    site.store.outage = "deaf"
    await sleep(min(fault.duration_s, MAX_WATCH_SILENCE_S))
    site.store.outage = ""
    site.store.compact_history()


@fault_kinds.register("store-forgets")
async def _compact_store_history(site, _fault, _sleep):
    site.store.compact_history()


@fault_kinds.register("key-changed")
async def _rotate_key(site, _fault, _sleep):
    site.rotate_key()


def _register_network_fault(name, flow, **fields):
    @fault_kinds.register(f"endpoint-{name}")
    async def endpoint_connection_fault(site, fault, sleep):
        target = _target_endpoint(site, fault).target
        await _apply_rule(site, Rule(target=target, flow=flow, **fields), fault, sleep)

    @fault_kinds.register(f"store-link-{name}")
    async def store_connection_fault(site, fault, sleep):
        rule = Rule(
            source=_target_entry(site, fault).host, target="store", flow=flow, **fields
        )
        await _apply_rule(site, rule, fault, sleep)


for _name, _flow, _fields in (
    ("cut", Flow.CUT, {}),
    ("stalled", Flow.STALL, {}),
    ("deaf", Flow.STALL_TO_TARGET, {}),
    ("mute", Flow.STALL_FROM_TARGET, {}),
    ("slow", Flow.PASS, {"delay_s": 0.1}),
    ("cut-in-answers", Flow.PASS, {"cut_after_bytes": 150}),
):
    _register_network_fault(_name, _flow, **_fields)


async def _apply_rule(site, rule, fault, sleep):
    site.rules_by_fault_id[id(fault)] = [rule]
    site.apply_rules()
    await sleep(fault.duration_s)
    del site.rules_by_fault_id[id(fault)]
    site.apply_rules()


def _register_endpoint_fault(name):
    @fault_kinds.register(f"endpoint-{name}")
    async def endpoint_fault(site, fault, sleep):
        endpoint = _target_endpoint(site, fault)
        endpoint.behaviour.fault = name
        await sleep(fault.duration_s)
        endpoint.behaviour.fault = ""


for _name in (
    "busy",
    "broken-group",
    "error",
    "reset",
    "cut-body",
    "other-answer",
    "hang",
    "cut-stream",
):
    _register_endpoint_fault(_name)


@fault_kinds.register("endpoint-replaced")
async def _replace_endpoint(site, fault, sleep):
    endpoint = _target_endpoint(site, fault)
    previous_id = endpoint.id
    endpoint.id = f"{previous_id.rpartition('-')[0]}-{fault.target}"
    site.register(endpoint)
    await sleep(fault.duration_s)
    if previous_id != endpoint.id:
        site.deregister(previous_id)


@fault_kinds.register("endpoint-draining")
async def _drain_endpoint(site, fault, sleep):
    endpoint = _target_endpoint(site, fault)
    site.register(endpoint, state="draining")
    await sleep(fault.duration_s)
    site.register(endpoint)
