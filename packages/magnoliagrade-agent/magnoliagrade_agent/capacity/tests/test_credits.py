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


def _book(clock, *, is_known=True):
    policy = EvidenceLimit()
    policy.configure(cold_limit=600, full_limit=6000, options={})
    book = CreditLedger(limit_policy=policy, clock=clock, has_reports=True)
    if is_known:
        _report(book, clock)
    return book


def _report(book, clock, *, boot="boot-1", tokens=0, age_s=0.0):
    report = LoadReport(boot_id=boot, tokens_in_flight=tokens, age_s=age_s)
    book.on_report(report, requested_at=clock.monotonic())


async def _admit_confirmed(book, count):
    works = []
    for _ in range(count):
        works.append(await book.admit(_request(), entry="e"))
        book.confirm(works[-1])
    return works


async def _is_refused(book, cost=200):
    try:
        await book.admit(_request(cost), entry="e")
    except MagnoliagradeError as exc:
        return exc.kind is ErrorKind.NOT_RUN
    return False


def test_nothing_is_admitted_before_a_report_of_this_agents_time():
    async def main():
        clock = ManualClock(start=100.0)
        book = _book(clock, is_known=False)
        assert await _is_refused(book)
        _report(book, clock, tokens=500, age_s=0.3)
        assert await _is_refused(book)
        await clock.advance(0.5)
        _report(book, clock, tokens=500, age_s=0.3)
        # 500 tokens of the agent before still run; 200 more exceed the 600.
        assert await _is_refused(book)
        await clock.advance(0.5)
        _report(book, clock, tokens=400, age_s=0.3)
        await book.admit(_request(), entry="e")

    asyncio.run(main())


def test_warm_limit_is_not_used_before_the_boot_is_proven():
    async def main():
        clock = ManualClock(start=100.0)
        book = _book(clock)
        book.limit_policy.limit = 6000.0
        assert book.limit == 600
        await _admit_confirmed(book, 3)
        assert await _is_refused(book)
        await clock.advance(0.5)
        _report(book, clock, tokens=600, age_s=0.1)
        assert book.limit == 6000
        await _admit_confirmed(book, 5)

    asyncio.run(main())


def test_report_of_another_boot_drops_the_limit_and_voids_credit():
    async def main():
        clock = ManualClock(start=100.0)
        book = _book(clock)
        book.limit_policy.limit = 6000.0
        await _admit_confirmed(book, 1)
        await clock.advance(0.5)
        _report(book, clock, tokens=200)
        book.grants.request_credit("e", 200)
        book.distribute()
        assert book.grants.reserved == 200
        _report(book, clock, boot="boot-2")
        assert book.limit == 600 and book.limit_policy.limit == 600
        assert book.grants.reserved == 0

    asyncio.run(main())


def test_broken_answer_drops_the_limit_before_the_next_is_admitted():
    async def main():
        clock = ManualClock(start=100.0)
        book = _book(clock)
        book.limit_policy.limit = 6000.0
        work, *_rest = await _admit_confirmed(book, 3)
        await clock.advance(0.5)
        _report(book, clock, tokens=600)
        assert book.limit == 6000
        try:
            with book.track(work):
                raise MagnoliagradeError(ErrorKind.ANSWER_BROKEN, "reset")
        except MagnoliagradeError:
            pass
        assert book.limit == 600
        # What the engine may still run is held until a report clears it.
        assert book.held == 600 and await _is_refused(book)

    asyncio.run(main())


def test_unanswered_work_stays_within_the_cold_limit():
    async def main():
        clock = ManualClock(start=100.0)
        book = _book(clock)
        book.limit_policy.limit = 6000.0
        await _admit_confirmed(book, 1)
        await clock.advance(0.5)
        _report(book, clock, tokens=200)
        for _ in range(3):
            await book.admit(_request(), entry="e")
        fourth = asyncio.create_task(book.admit(_request(), entry="e"))
        await clock.advance(0.05)
        assert not fourth.done()
        for work in list(book._followed.values()):
            book.confirm(work)
        await clock.advance(0.05)
        assert fourth.done()

    asyncio.run(main())


def test_abandoned_work_is_held_until_a_later_report_clears_it():
    async def main():
        clock = ManualClock(start=100.0)
        book = _book(clock)
        works = await _admit_confirmed(book, 3)
        await clock.advance(0.5)
        with book.track(works[0]):
            pass  # ends without a whole answer: the caller went
        assert book.held == 600
        _report(book, clock, tokens=400, age_s=0.1)
        assert book.held == 600
        await clock.advance(0.5)
        _report(book, clock, tokens=400, age_s=0.1)
        assert book.held == 400

    asyncio.run(main())


def test_restart_without_reports_shows_by_a_refused_connection():
    async def main():
        clock = ManualClock()
        policy = EvidenceLimit()
        policy.configure(cold_limit=2, full_limit=16, options={})
        book = CreditLedger(limit_policy=policy, clock=clock)
        policy.limit = 16.0
        work = await book.admit(_request(1), entry="e")
        try:
            with book.track(work):
                raise MagnoliagradeError(ErrorKind.NOT_RUN, "refused")
        except MagnoliagradeError:
            pass
        assert book.limit == 2 and book.held == 0

    asyncio.run(main())


def test_request_beyond_the_cold_limit_runs_alone_on_a_warm_endpoint_only():
    async def main():
        clock = ManualClock(start=100.0)
        book = _book(clock)
        assert await _is_refused(book, cost=700)
        book.limit_policy.limit = 6000.0
        await clock.advance(3.0)
        # The newest report is too old to rely on.
        assert await _is_refused(book, cost=700)
        _report(book, clock)
        await book.admit(_request(700), entry="e")
        assert await _is_refused(book, cost=100)

    asyncio.run(main())


def test_ask_beyond_the_limit_does_not_hold_others_back():
    async def main():
        book = _book(ManualClock(start=100.0))
        book.grants.request_credit("a", 700)
        book.grants.request_credit("b", 200)
        assert [(g.entry, g.amount) for g in book.distribute()] == [("b", 200)]

    asyncio.run(main())
