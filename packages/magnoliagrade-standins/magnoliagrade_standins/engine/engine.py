"""A model engine: continuous batching, cold start, prefix cache, records."""

import asyncio
from collections import OrderedDict, deque
from dataclasses import dataclass, field

from magnoliagrade.algorithms import hash64

__all__ = ["Engine", "EngineFell", "EngineProfile", "EngineRequest", "expected_text"]


@dataclass(slots=True, kw_only=True)
class EngineProfile:
    """How fast an engine is and what it bears.

    Parameters
    ----------
    step_base_s : float
        Time of a step with an empty batch.
    decode_s : float
        Additional time per running request.
    prefill_s : float
        Additional time per prompt token that is not cached.
    cold_tokens : int
        Tokens in flight that the engine bears right after start.
    warm_tokens : int
        Tokens in flight that it bears when warm.
    warm_after_tokens : int
        Generated tokens after which it is warm; in between, what it bears grows
        in proportion.
    cached_prefixes : int
        Prefixes that the cache holds.
    report_lag_s : float
        Age of a load report.
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
    """One request inside the engine.

    Parameters
    ----------
    id : str
        Request id.
    attempt : str
        Attempt id.
    prompt_tokens : int
        Tokens of the prompt.
    output_tokens : int
        Tokens to generate.
    prefix : int
        Hash of the prompt's head.
    done_tokens : int
        Tokens generated so far; starts above 0 when resumed.
    priority : int
        Higher goes first.
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
    def weight(self):
        """Return the tokens that the request holds in flight."""
        return self.prompt_tokens + self.output_tokens


class EngineFell(Exception):
    """The engine fell over; every stream breaks."""


def expected_text(request_id, index):
    """Return the token at an index of the answer to a request.

    Parameters
    ----------
    request_id : str
        Request id.
    index : int
        Position from 0.
    """
    return f"{hash64(f'{request_id} {index}') & 0xFFFF:04x} "


class Engine:
    """A batch of requests that advances step by step.

    Parameters
    ----------
    profile : EngineProfile
        Speed and limits.
    clock : Clock
        Source of time.
    name : str
        Name, part of the boot id.
    """

    __slots__ = (
        "_boots",
        "_cache",
        "_clock",
        "_name",
        "_reports",
        "_wake",
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
        self._boots = 0
        self._wake = asyncio.Event()
        self._reports = deque()
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
        """Return an id that changes whenever the engine starts anew."""
        return f"{self._name}-{self._boots}"

    @property
    def bears_tokens(self):
        """Return the tokens in flight that the engine bears now."""
        p = self.profile
        warmth = min(1.0, self.generated_tokens / max(1, p.warm_after_tokens))
        return p.cold_tokens + warmth * (p.warm_tokens - p.cold_tokens)

    @property
    def tokens_in_flight(self):
        """Return the tokens that running requests hold."""
        return sum(r.weight for r in self.running)

    def submit(self, request):
        """Take a request into the batch; fall over if that is too much.

        Parameters
        ----------
        request : EngineRequest
            The request.
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
        self.peak_load = max(self.peak_load, self.tokens_in_flight / self.bears_tokens)
        if self.tokens_in_flight > self.bears_tokens and len(self.running) > 1:
            self.falls += 1
            self.restart()
            return
        self._wake.set()

    def cancel(self, request):
        """Take a request out of the batch."""
        if request in self.running:
            self.running.remove(request)

    def restart(self):
        """Start anew: cold, empty cache, every stream broken."""
        broken = self.running
        self._boot()
        for request in broken:
            request.tokens.put_nowait(EngineFell())

    async def run(self):
        """Advance the batch for as long as there is work."""
        while True:
            if not self.running:
                self._wake.clear()
                await self._wake.wait()
            await self._clock.sleep(self._begin_step() * self.step_scale)
            self._end_step()

    def load_report(self):
        """Return the newest report that is old enough to be out.

        Returns
        -------
        report : dict
            Fields as in docs/PLATFORM.md.
        """
        now = self._clock.monotonic()
        self._reports.append((now, self._current_report()))
        lag = self.profile.report_lag_s
        while len(self._reports) > 1 and self._reports[1][0] <= now - lag:
            self._reports.popleft()
        at, report = self._reports[0]
        return {**report, "age_s": now - at}

    def _boot(self):
        self._boots += 1
        self._cache = OrderedDict()
        self.running = []
        self.generated_tokens = 0
        self._reports.clear()

    def _current_report(self):
        return {
            "boot_id": self.boot_id,
            "running": len(self.running),
            "waiting": 0,
            "tokens_in_flight": self.tokens_in_flight,
            "cache_used": len(self._cache) / max(1, self.profile.cached_prefixes),
        }

    def _begin_step(self):
        p = self.profile
        prefill = sum(self._prefill_tokens(r) for r in self.running)
        for request in self.running:
            request.is_prefilled = True
        return p.step_base_s + p.decode_s * len(self.running) + p.prefill_s * prefill

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
