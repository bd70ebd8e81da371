"""Model servers that are ranks of one group, with orders, as PROTOCOL.md has them."""

import asyncio
import time

import site_2
from aiohttp import web

# Age of a report that is read from another machine: "some hundred ms".
REPORT_LAG_S = 0.2


class Rank:
    """One rank's server; it does not compare maps with other ranks."""

    def __init__(self, group, number, host):
        self.group = group
        self.number = number
        self.host = host
        self.address = ""
        self.born = int(time.time() * 1000)
        self.version = 0
        self.map = group.first_map
        self.prepared = None
        self.highest = 0
        self.armed = None
        self.held = None
        self.sequence = 0
        self.past = []

    async def start(self):
        """Listen and register."""
        runner = web.ServerRunner(web.Server(self._handle))
        self.address = await self.group.site.listen(runner, self.host)
        entry = site_2.registration("assistant", self.address, born=self.born)
        self.group.site.store.put(f"servers/i-{self.number}", entry)
        self.remember()

    def remember(self):
        """Keep the state for reports from other machines, which are older."""
        self.past.append((time.monotonic(), self._report()))
        del self.past[:-400]

    async def _handle(self, request):
        is_local = request.remote == self.host
        if request.path == "/report":
            await self.group.on_report(self, is_local)
            if is_local:
                return web.json_response(self._report())
            limit = time.monotonic() - REPORT_LAG_S
            older = [report for at, report in self.past if at <= limit]
            return web.json_response(older[-1] if older else self._report())
        if request.path == "/picked":
            return self._picked(request)
        if request.path == "/order":
            return self._order(await request.json(), request.remote)
        return web.Response(status=404)

    def _report(self):
        group = self.group
        running = group.slots if group.is_busy else 0
        document = {
            "born": self.born,
            "group": {"Name": "g", "epoch": 1, "rank": self.number, "State": "open"},
            "size": group.size,
            "step": group.step,
            "Map": self.version,
            "Running": running,
            "Waiting": 0,
            "Sequence": self.sequence,
            "pace": 1.0,
        }
        if self.prepared is not None:
            document["Prepared"] = self.prepared[0]
        if self.armed is not None:
            document["Armed"] = {"Version": self.armed[0], "step": self.armed[1]}
        if self.held is not None:
            document["held"] = self.held
        return document

    def _picked(self, request):
        document = {"step": self.group.step, "epoch": 1}
        if "Lists" in request.query:
            self.group.on_lists(self)
            own = [ranks[self.number] for ranks in self.map]
            document["Map"] = {"Version": self.version, "Experts": own}
        else:
            document["Counts"] = self.group.counts
        return web.json_response(document)

    def _order(self, order, sender):
        operation = order["Operation"]
        status = 409
        if order.get("epoch") == 1:
            carry_out = getattr(self, f"_{operation.lower()}", None)
            status = 400 if carry_out is None else carry_out(order)
        self.sequence += status in (200, 202)
        self.remember()
        fields = {k: order[k] for k in ("Version", "step") if k in order}
        text = f"order {operation} {fields} from {sender} to rank {self.number}"
        self.group.record.add(f"{text}: {status}")
        return web.Response(status=status)

    def _prepare(self, order):
        version = order["Version"]
        if self.prepared is not None and self.prepared[0] == version:
            return 200
        if version <= self.highest or self.armed is not None:
            return 409
        self.highest = version
        self.prepared = (version, order["Map"])
        return 200

    def _arm(self, order):
        version, step = order["Version"], order["step"]
        if self.armed == (version, step):
            return 200
        if self.armed is not None or step <= self.group.step:
            return 409
        if self.prepared is None or self.prepared[0] != version:
            return 409
        self.armed = (version, step)
        self.group.on_armed(self)
        return 200

    def _disarm(self, order):
        if order["Version"] == self.version:
            return 409
        if self.armed is not None and self.armed[0] == order["Version"]:
            self.armed = None
        return 200

    def _hold(self, order):
        step = order["step"]
        if step <= self.group.step or self.held not in (None, step):
            return 409
        self.held = step
        return 200

    def _go(self, order):
        if self.held == order["step"]:
            self.held = None
        return 200


class Ranks:
    """A group of ranks that execute each pass together."""

    def __init__(self, site, record, *, size, sets, experts, slots, pass_s):
        self.site = site
        self.record = record
        self.size = size
        self.sets = sets
        self.experts = experts
        self.slots = slots
        self.pass_s = pass_s
        self.is_busy = True
        self.step = 0
        self.counts = [0] * (sets * experts)
        self.hot = 0
        self.mixed = []
        one = [[e for e in range(experts) if e % size == r] for r in range(size)]
        self.first_map = [one] * sets
        self.ranks = []

    async def add(self, host):
        """Start the next rank's server on a machine."""
        rank = Rank(self, len(self.ranks), host)
        self.ranks.append(rank)
        await rank.start()
        return rank

    async def run(self):
        """Begin passes while there is work."""
        while True:
            await asyncio.sleep(self.pass_s)
            if self.is_busy:
                self._begin_pass()
            for rank in self.ranks:
                rank.remember()

    def _begin_pass(self):
        if any(rank.held == self.step + 1 for rank in self.ranks):
            return
        self.step += 1
        for rank in self.ranks:
            if rank.armed is not None and rank.armed[1] == self.step:
                rank.version, rank.map = rank.prepared
                rank.armed = None
        for index in range(self.sets):
            # A few experts, all on one rank of the first map, are much in demand.
            for expert in range(self.experts):
                is_hot = expert % self.size == self.hot and expert < 8 * self.size
                self.counts[index * self.experts + expert] += 400 if is_hot else 4
        versions = [rank.version for rank in self.ranks]
        maps = {str(rank.map) for rank in self.ranks}
        if len(set(versions)) > 1 or len(maps) > 1:
            self.mixed.append(self.step)
            if len(self.mixed) < 4:
                self.record.add(f"pass {self.step} begins with maps {versions}")

    async def on_report(self, rank, is_local):
        """Is called at each report; a case may set it."""

    def on_lists(self, rank):
        """Is called when a rank's part of the map is read; a case may set it."""

    def on_armed(self, rank):
        """Is called when a rank has been armed; a case may set it."""
