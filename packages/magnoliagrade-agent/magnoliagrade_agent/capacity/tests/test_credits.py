import asyncio

from magnoliagrade.clock import ManualClock
from magnoliagrade.errors import ErrorKind, MagnoliagradeError
from magnoliagrade.world import LoadReport, Request

from magnoliagrade_agent.capacity import CreditLedger, EvidenceLimit


def _request(cost=200):
    return Request(
        id="r",
        organisation="o",
        application="a",
        method="POST",
        path="/",
        prompt_tokens=cost // 2,
        output_tokens=cost - cost // 2,
    )


def _ledger(clock, *, is_load_known=True):
    policy = EvidenceLimit()
    policy.configure(cold_limit=600, full_limit=6000, options={})
    ledger = CreditLedger(limit_policy=policy, clock=clock, has_reports=True)
    if is_load_known:
        _report(ledger, clock)
    return ledger


def _report(ledger, clock, *, boot="boot-1", tokens=0, age_s=0.0):
    report = LoadReport(boot_id=boot, tokens_in_flight=tokens, age_s=age_s)
    ledger.on_report(report, requested_at=clock.monotonic())


async def _admit_confirmed(ledger, count):
    works = []
    for _ in range(count):
        works.append(await ledger.admit(_request(), entry="e"))
        ledger.confirm(works[-1])
    return works


async def _is_rejected(ledger, cost=200):
    try:
        await ledger.admit(_request(cost), entry="e")
    except MagnoliagradeError as exc:
        return exc.kind is ErrorKind.NOT_RUN
    return False


def test_nothing_is_admitted_before_a_report_made_after_the_agents_start():
    async def main():
        clock = ManualClock(start=100.0)
        ledger = _ledger(clock, is_load_known=False)
        assert await _is_rejected(ledger)
        _report(ledger, clock, tokens=500, age_s=0.3)
        assert await _is_rejected(ledger)
        await clock.advance(0.5)
        _report(ledger, clock, tokens=500, age_s=0.3)
        # 500 tokens of the previous agent still run; 200 more exceed the limit of 600.
        assert await _is_rejected(ledger)
        await clock.advance(0.5)
        _report(ledger, clock, tokens=400, age_s=0.3)
        await ledger.admit(_request(), entry="e")

    asyncio.run(main())


def test_cold_limit_holds_until_the_boot_is_proven():
    async def main():
        clock = ManualClock(start=100.0)
        ledger = _ledger(clock)
        ledger.limit_policy.limit = 6000.0
        assert ledger.limit == 600
        await _admit_confirmed(ledger, 3)
        assert await _is_rejected(ledger)
        await clock.advance(0.5)
        _report(ledger, clock, tokens=600, age_s=0.1)
        assert ledger.limit == 6000
        await _admit_confirmed(ledger, 5)

    asyncio.run(main())


def test_report_of_a_new_boot_resets_the_limit_and_revokes_credit():
    async def main():
        clock = ManualClock(start=100.0)
        ledger = _ledger(clock)
        ledger.limit_policy.limit = 6000.0
        await _admit_confirmed(ledger, 1)
        await clock.advance(0.5)
        _report(ledger, clock, tokens=200)
        ledger.grants.request_credit("e", 200)
        ledger.distribute()
        assert ledger.grants.reserved == 200
        _report(ledger, clock, boot="boot-2")
        assert ledger.limit == 600 and ledger.limit_policy.limit == 600
        assert ledger.grants.reserved == 0

    asyncio.run(main())


def test_broken_response_resets_the_limit_and_keeps_the_cost_held():
    async def main():
        clock = ManualClock(start=100.0)
        ledger = _ledger(clock)
        ledger.limit_policy.limit = 6000.0
        work, *_rest = await _admit_confirmed(ledger, 3)
        await clock.advance(0.5)
        _report(ledger, clock, tokens=600)
        assert ledger.limit == 6000
        try:
            with ledger.track(work):
                raise MagnoliagradeError(ErrorKind.ANSWER_BROKEN, "reset")
        except MagnoliagradeError:
            pass
        assert ledger.limit == 600
        # The engine may still run it, so its cost is held until a report clears it.
        assert ledger.held == 600 and await _is_rejected(ledger)

    asyncio.run(main())


def test_unconfirmed_work_stays_within_the_cold_limit():
    async def main():
        clock = ManualClock(start=100.0)
        ledger = _ledger(clock)
        ledger.limit_policy.limit = 6000.0
        await _admit_confirmed(ledger, 1)
        await clock.advance(0.5)
        _report(ledger, clock, tokens=200)
        for _ in range(3):
            await ledger.admit(_request(), entry="e")
        fourth = asyncio.create_task(ledger.admit(_request(), entry="e"))
        await clock.advance(0.05)
        assert not fourth.done()
        for work in list(ledger._tracked.values()):
            ledger.confirm(work)
        await clock.advance(0.05)
        assert fourth.done()

    asyncio.run(main())


def test_cost_of_abandoned_work_is_held_until_a_later_report_clears_it():
    async def main():
        clock = ManualClock(start=100.0)
        ledger = _ledger(clock)
        works = await _admit_confirmed(ledger, 3)
        await clock.advance(0.5)
        with ledger.track(works[0]):
            pass  # ends without a complete response, because the caller disconnected
        assert ledger.held == 600
        _report(ledger, clock, tokens=400, age_s=0.1)
        assert ledger.held == 600
        await clock.advance(0.5)
        _report(ledger, clock, tokens=400, age_s=0.1)
        assert ledger.held == 400

    asyncio.run(main())


def test_refused_connection_resets_the_limit_of_an_endpoint_without_reports():
    async def main():
        clock = ManualClock()
        policy = EvidenceLimit()
        policy.configure(cold_limit=2, full_limit=16, options={})
        ledger = CreditLedger(limit_policy=policy, clock=clock)
        policy.limit = 16.0
        work = await ledger.admit(_request(1), entry="e")
        try:
            with ledger.track(work):
                raise MagnoliagradeError(ErrorKind.NOT_RUN, "refused")
        except MagnoliagradeError:
            pass
        assert ledger.limit == 2 and ledger.held == 0

    asyncio.run(main())


def test_request_above_the_cold_limit_runs_alone_only_after_a_recent_report():
    async def main():
        clock = ManualClock(start=100.0)
        ledger = _ledger(clock)
        assert await _is_rejected(ledger, cost=700)
        ledger.limit_policy.limit = 6000.0
        await clock.advance(3.0)
        # The newest report is older than 2 s.
        assert await _is_rejected(ledger, cost=700)
        _report(ledger, clock)
        await ledger.admit(_request(700), entry="e")
        assert await _is_rejected(ledger, cost=100)

    asyncio.run(main())


def test_credit_request_above_the_limit_does_not_block_others():
    async def main():
        ledger = _ledger(ManualClock(start=100.0))
        ledger.grants.request_credit("a", 700)
        ledger.grants.request_credit("b", 200)
        assert [(g.entry, g.amount) for g in ledger.distribute()] == [("b", 200)]

    asyncio.run(main())
