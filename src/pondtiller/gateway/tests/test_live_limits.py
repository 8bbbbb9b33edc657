"""Requests that are woken together do not exceed an engine's limit.

Failure: callers of a slow engine were served by half of its slots, 8 to 11 of 50 instead of 12 in
the second half of `test_slow_engines_are_not_filled_with_what_they_cannot_answer_in_time`. A
request was counted at its engine when its attempt's task first ran, not when the engine was chosen,
so two requests that an answer woke both saw the same free slot. Three were sent to an engine
limited to two, the third was answered late, and the limit fell to one; answers that take more than
half of the objective do not raise it again.
"""

import curio

from pondtiller.gateway.tests.test_live_load import FakeEngine, Gateway


def test_requests_that_are_woken_together_do_not_exceed_a_limit() -> None:
    fake = FakeEngine(0.2)
    gateway = Gateway(fake)
    (engine,) = gateway.engines.engines.values()
    engine.limit.value = 2.0

    async def play() -> None:
        tasks = [await curio.spawn(gateway.ask, f"q{number}", 5.0) for number in range(12)]
        for task in tasks:
            await task.join()

    curio.run(play)
    assert fake.most_present == 2
    assert engine.running == 0


def test_a_request_whose_caller_leaves_before_its_attempt_started_reserves_no_slot() -> None:
    gateway = Gateway(FakeEngine(0.05))
    (engine,) = gateway.engines.engines.values()

    async def play() -> None:
        for turns in range(6):
            task = await curio.spawn(gateway.ask, f"q{turns}", 5.0)
            for _ in range(turns):
                await curio.sleep(0)
            await task.cancel()
        await curio.sleep(0.1)

    curio.run(play)
    assert engine.running == 0
