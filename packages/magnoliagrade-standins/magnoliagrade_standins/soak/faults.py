"""The kinds of faults of a soak, each struck from outside the processes."""

import signal

from magnoliagrade_standins.proxy import Flow, Rule
from magnoliagrade_standins.soak.plan import fault_kinds

__all__ = ["strike"]

# Longest time in which the store's watches hear nothing.
DEAF_MAX_S = 1.0


async def strike(site, fault, sleep):
    """Let a fault begin, last and end.

    Parameters
    ----------
    site : SoakSite
        What it strikes.
    fault : Fault
        The fault.
    sleep : coroutine function
        Waits for a number of seconds.
    """
    await fault_kinds.get(fault.kind)(site, fault, sleep)


def _entry(site, fault):
    return site.entries[fault.target % len(site.entries)]


def _endpoint(site, fault):
    return site.endpoints[fault.target % len(site.endpoints)]


@fault_kinds.register("entry-killed")
async def _kill(site, fault, sleep):
    entry = _entry(site, fault)
    await entry.end()
    await sleep(fault.for_s / 4)
    await entry.start()


@fault_kinds.register("all-entries-killed")
async def _kill_all(site, fault, sleep):
    for entry in site.entries:
        await entry.end()
    await sleep(fault.for_s / 4)
    for entry in site.entries:
        await entry.start()


@fault_kinds.register("entry-stopped")
async def _stop(site, fault, sleep):
    entry = _entry(site, fault)
    entry.send(signal.SIGCONT)
    await entry.end(signal.SIGTERM)
    await sleep(0.1)
    await entry.start()


@fault_kinds.register("entry-frozen")
async def _freeze(site, fault, sleep):
    entry = _entry(site, fault)
    entry.send(signal.SIGSTOP)
    await sleep(fault.for_s)
    entry.send(signal.SIGCONT)


@fault_kinds.register("entry-reloaded")
async def _reload(site, fault, _sleep):
    _entry(site, fault).send(signal.SIGHUP)


def _register_outage(name):
    @fault_kinds.register(f"store-{name}")
    async def store_outage(site, fault, sleep):
        site.store.outage = name
        await sleep(fault.for_s)
        site.store.outage = ""


for _name in ("busy", "silent"):
    _register_outage(_name)


@fault_kinds.register("store-deaf")
async def _deafen(site, fault, sleep):
    # Watches hear nothing for a second at most, then the history is gone (platform
    # pages).
    site.store.outage = "deaf"
    await sleep(min(fault.for_s, DEAF_MAX_S))
    site.store.outage = ""
    site.store.compact_history()


@fault_kinds.register("store-forgets")
async def _forget(site, _fault, _sleep):
    site.store.compact_history()


@fault_kinds.register("key-changed")
async def _change_key(site, _fault, _sleep):
    site.change_key()


def _register_flow(name, flow, **fields):
    @fault_kinds.register(f"endpoint-{name}")
    async def endpoint_flow(site, fault, sleep):
        target = _endpoint(site, fault).target
        await _with_rule(site, Rule(target=target, flow=flow, **fields), fault, sleep)

    @fault_kinds.register(f"store-link-{name}")
    async def store_flow(site, fault, sleep):
        rule = Rule(
            source=_entry(site, fault).host, target="store", flow=flow, **fields
        )
        await _with_rule(site, rule, fault, sleep)


for _name, _flow, _fields in (
    ("cut", Flow.CUT, {}),
    ("stalled", Flow.STALL, {}),
    ("deaf", Flow.STALL_TO_TARGET, {}),
    ("mute", Flow.STALL_FROM_TARGET, {}),
    ("slow", Flow.PASS, {"delay_s": 0.1}),
    ("cut-in-answers", Flow.PASS, {"cut_after_bytes": 150}),
):
    _register_flow(_name, _flow, **_fields)


async def _with_rule(site, rule, fault, sleep):
    site.rules[id(fault)] = [rule]
    site.apply_rules()
    await sleep(fault.for_s)
    del site.rules[id(fault)]
    site.apply_rules()


def _register_behaviour(name):
    @fault_kinds.register(f"endpoint-{name}")
    async def misbehave(site, fault, sleep):
        endpoint = _endpoint(site, fault)
        endpoint.behaviour.fault = name
        await sleep(fault.for_s)
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
    _register_behaviour(_name)


@fault_kinds.register("endpoint-replaced")
async def _replace(site, fault, sleep):
    endpoint = _endpoint(site, fault)
    former = endpoint.id
    endpoint.id = f"{former.rpartition('-')[0]}-{fault.target}"
    site.register(endpoint)
    await sleep(fault.for_s)
    if former != endpoint.id:
        site.store.delete(f"servers/{former}")


@fault_kinds.register("endpoint-draining")
async def _drain(site, fault, sleep):
    endpoint = _endpoint(site, fault)
    site.register(endpoint, state="draining")
    await sleep(fault.for_s)
    site.register(endpoint)
