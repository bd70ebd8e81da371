"""Plain service that records each execution of a request."""

import json

from aiohttp import web

from magnoliagrade_standins.faults import (
    ResponseFaults,
    abort,
    send_stale_copy,
    send_truncated,
)

__all__ = ["PlainService", "make_service_app"]


class PlainService:
    """Service that echoes requests and records their executions in order.

    Parameters
    ----------
    clock : Clock
        Source of time.
    service_s : float
        Duration of an execution, in seconds.
    journal : text file, optional
        Receives a line of JSON at the start of each execution, so that the record
        survives if the process is killed.
    """

    __slots__ = (
        "_clock",
        "_in_flight",
        "_journal",
        "executions",
        "peak_in_flight",
        "service_s",
        "slow_every",
        "slow_s",
    )

    def __init__(self, *, clock, service_s=0.005, journal=None):
        self._clock = clock
        self._journal = journal
        self.service_s = service_s
        self.slow_every = 0
        self.slow_s = 0.2
        self.executions = []
        self.peak_in_flight = 0
        self._in_flight = 0

    async def execute(self, request_id, attempt, method, path, body):
        """Execute a request and return the fields of its response.

        Parameters
        ----------
        request_id, attempt : str
            Ids of the request and of the attempt.
        method, path, body : str
            HTTP method, path with query, and body of the request.

        Returns
        -------
        response : dict
            The request id, path and body, and the number of the execution, from 1.
        """
        number = len(self.executions) + 1
        execution = {
            "id": request_id,
            "attempt": attempt,
            "method": method,
            "path": path,
            "body": body,
            "at": self._clock.monotonic(),
        }
        self.executions.append(execution)
        if self._journal is not None:
            print(json.dumps(execution), file=self._journal, flush=True)
        self._in_flight += 1
        self.peak_in_flight = max(self.peak_in_flight, self._in_flight)
        try:
            is_slow = self.slow_every and number % self.slow_every == 0
            await self._clock.sleep(self.slow_s if is_slow else self.service_s)
        finally:
            self._in_flight -= 1
        return {"id": request_id, "number": number, "path": path, "echo": body}


def make_service_app(service):
    """Return the HTTP application that serves a plain service.

    Parameters
    ----------
    service : PlainService
        Service that executes the requests.
    """
    faults = ResponseFaults()

    async def call(request):
        response = await service.execute(
            request.headers.get("X-Request-Id", ""),
            request.headers.get("X-Attempt-Id", ""),
            request.method,
            request.path_qs,
            (await request.read()).decode(errors="replace"),
        )
        if faults.take("drop"):
            return abort(request)
        owner = "other" if faults.take("cross") else response["id"]
        headers = {"X-Request-Id": owner}
        if faults.take("truncate"):
            return await send_truncated(request, response, headers)
        if faults.take("repeat"):
            send_stale_copy(request)
        return web.json_response(response, headers=headers)

    async def record(_request):
        return web.json_response(
            {
                "executions": service.executions,
                "peak": service.peak_in_flight,
                "faults": faults.given,
            }
        )

    async def control(request):
        fields = await request.json()
        service.service_s = float(fields.get("service_s", service.service_s))
        service.slow_every = int(fields.get("slow_every", service.slow_every))
        if "faults" in fields:
            faults.set(fields["faults"])
        return web.Response()

    app = web.Application(client_max_size=64 * 1024 * 1024)
    app.router.add_get("/record", record)
    app.router.add_post("/control", control)
    app.router.add_route("*", "/{tail:.*}", call)
    return app
