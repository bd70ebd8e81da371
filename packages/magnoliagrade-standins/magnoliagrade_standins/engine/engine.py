"""Model engine with continuous batching, cold start, prefix cache and records."""

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from magnoliagrade.algorithms import hash64

__all__ = ["Engine", "EngineCrashed", "EngineProfile", "EngineRequest", "expected_text"]


@dataclass(slots=True, kw_only=True)
class EngineProfile:
    """Speed and capacity of an engine.

    Parameters
    ----------
    step_base_s : float
        Duration of a step with an empty batch, in seconds.
    decode_s : float
        Additional seconds per running request.
    prefill_s : float
        Additional seconds per prompt token that is not cached.
    cold_tokens : int
        Capacity of a newly started engine, in tokens in flight.
    warm_tokens : int
        Capacity of a warm engine, in tokens in flight.
    warm_after_tokens : int
        Generated tokens after which the engine is warm. Until then its capacity grows
        linearly with the generated tokens.
    cached_prefixes : int
        Maximum number of prefixes in the cache.
    report_lag_s : float
        Age at which a load report is served, in seconds.
    """

    step_base_s: float = 0.004
    decode_s: float = 0.0002
    prefill_s: float = 0.00002
    cold_tokens: int = 600
    warm_tokens: int = 6000
    warm_after_tokens: int = 2000
    cached_prefixes: int = 64
    report_lag_s: float = 0.3


@dataclass(slots=True, kw_only=True)
class EngineRequest:
    """A request in the batch of an engine.

    Parameters
    ----------
    id : str
        Request id.
    attempt : str
        Attempt id.
    prompt_tokens : int
        Number of tokens of the prompt.
    output_tokens : int
        Number of tokens to generate.
    prefix : int
        Hash of the first characters of the prompt, the key in the prefix cache.
    done_tokens : int
        Number of tokens generated so far; above 0 from the start if resumed.
    priority : int
        Priority of the request; higher values are more urgent.
    """

    id: str
    attempt: str
    prompt_tokens: int
    output_tokens: int
    prefix: int = 0
    done_tokens: int = 0
    priority: int = 0
    is_prefilled: bool = False
    tokens: asyncio.Queue = field(default_factory=asyncio.Queue)

    @property
    def held_tokens(self):
        """Return the tokens that the request holds in flight."""
        return self.prompt_tokens + self.output_tokens


class EngineCrashed(Exception):
    """The engine has crashed or restarted; each stream is cut off."""


def expected_text(request_id, index):
    """Return the token at an index of the response to a request.

    Parameters
    ----------
    request_id : str
        Request id.
    index : int
        Position of the token, from 0.
    """
    return f"{hash64(f'{request_id} {index}') & 0xFFFF:04x} "


class Engine:
    """Engine that generates tokens for a batch of requests step by step.

    Parameters
    ----------
    profile : EngineProfile
        Speed and capacity.
    clock : Clock
        Source of time.
    name : str
        Name of the engine, the first part of its boot id.
    """

    __slots__ = (
        "_boot_count",
        "_cache",
        "_clock",
        "_load_reports",
        "_name",
        "_work_available",
        "cache_hits",
        "cache_lookups",
        "falls",
        "generated_tokens",
        "peak_load",
        "profile",
        "records",
        "running",
        "step_scale",
        "total_tokens",
    )

    def __init__(self, *, profile, clock, name="engine"):
        self.profile = profile
        self._clock = clock
        self._name = name
        self._boot_count = 0
        self._work_available = asyncio.Event()
        self._load_reports = deque()
        self.records = []
        self.falls = 0
        self.peak_load = 0.0
        self.cache_hits = 0
        self.cache_lookups = 0
        self.total_tokens = 0
        self.step_scale = 1.0
        self._boot()

    @property
    def boot_id(self):
        """Return an id that changes with each start of the engine."""
        return f"{self._name}-{self._boot_count}"

    @property
    def capacity_tokens(self):
        """Return the current capacity of the engine, in tokens in flight."""
        profile = self.profile
        warm_fraction = min(
            1.0, self.generated_tokens / max(1, profile.warm_after_tokens)
        )
        return profile.cold_tokens + warm_fraction * (
            profile.warm_tokens - profile.cold_tokens
        )

    @property
    def tokens_in_flight(self):
        """Return the tokens that all running requests hold in flight."""
        return sum(r.held_tokens for r in self.running)

    def submit(self, request):
        """Add a request to the batch; crash and restart above the capacity.

        A single running request never crashes the engine.

        Parameters
        ----------
        request : EngineRequest
            Request whose `tokens` queue receives the generated tokens.
        """
        self.records.append(
            {
                "id": request.id,
                "attempt": request.attempt,
                "from": request.done_tokens,
                "boot": self.boot_id,
                "at": self._clock.monotonic(),
            }
        )
        self.running.append(request)
        self.peak_load = max(
            self.peak_load, self.tokens_in_flight / self.capacity_tokens
        )
        if self.tokens_in_flight > self.capacity_tokens and len(self.running) > 1:
            self.falls += 1
            self.restart()
            return
        self._work_available.set()

    def cancel(self, request):
        """Remove a request from the batch, if it is still running."""
        if request in self.running:
            self.running.remove(request)

    def restart(self):
        """Restart cold with an empty cache, and cut off each running stream."""
        interrupted = self.running
        self._boot()
        for request in interrupted:
            request.tokens.put_nowait(EngineCrashed())

    async def run(self):
        """Advance the batch step by step until cancelled; wait while it is empty."""
        while True:
            if not self.running:
                self._work_available.clear()
                await self._work_available.wait()
            await self._clock.sleep(self._begin_step() * self.step_scale)
            self._end_step()

    def load_report(self):
        """Return the newest load report that is at least `report_lag_s` old.

        The oldest report is returned while none is that old.

        Returns
        -------
        report : dict
            Fields as in docs/PLATFORM.md.
        """
        now = self._clock.monotonic()
        self._load_reports.append((now, self._current_report()))
        report_lag_s = self.profile.report_lag_s
        while (
            len(self._load_reports) > 1
            and self._load_reports[1][0] <= now - report_lag_s
        ):
            self._load_reports.popleft()
        taken_at, report = self._load_reports[0]
        return {**report, "age_s": now - taken_at}

    def _boot(self):
        self._boot_count += 1
        self._cache = OrderedDict()
        self.running = []
        self.generated_tokens = 0
        self._load_reports.clear()

    def _current_report(self):
        return {
            "boot_id": self.boot_id,
            "running": len(self.running),
            "waiting": 0,
            "tokens_in_flight": self.tokens_in_flight,
            "cache_used": len(self._cache) / max(1, self.profile.cached_prefixes),
        }

    def _begin_step(self):
        profile = self.profile
        prefill = sum(self._prefill_tokens(r) for r in self.running)
        for request in self.running:
            request.is_prefilled = True
        return (
            profile.step_base_s
            + profile.decode_s * len(self.running)
            + profile.prefill_s * prefill
        )

    def _prefill_tokens(self, request):
        if request.is_prefilled:
            return 0
        self.cache_lookups += 1
        is_hit = request.prefix in self._cache
        self._cache[request.prefix] = True
        self._cache.move_to_end(request.prefix)
        if len(self._cache) > self.profile.cached_prefixes:
            self._cache.popitem(last=False)
        if is_hit:
            self.cache_hits += 1
            return request.prompt_tokens // 10
        return request.prompt_tokens

    def _end_step(self):
        for request in [r for r in self.running if r.is_prefilled]:
            text = expected_text(request.id, request.done_tokens)
            request.done_tokens += 1
            self.generated_tokens += 1
            self.total_tokens += 1
            request.tokens.put_nowait(text)
            if request.done_tokens >= request.output_tokens:
                self.running.remove(request)
                request.tokens.put_nowait(None)
