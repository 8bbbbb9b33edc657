"""A soak's event loop ends also where its tasks start others as they are cancelled."""

import curio
import pytest

from pondtiller.soak.kernel import MAX_ROUNDS, shut_down


async def start_another(rounds: int) -> None:
    """Start such a task again when cancelled, so many times."""
    try:
        await curio.sleep(60.0)
    finally:
        if rounds:
            await curio.spawn(start_another, rounds - 1, daemon=True)


async def start_first(rounds: int) -> str:
    await curio.spawn(start_another, rounds, daemon=True)
    await curio.sleep(0.01)
    return "done"


def test_tasks_that_are_started_during_the_shutdown_are_cancelled_too(
    capsys: pytest.CaptureFixture[str],
) -> None:
    with curio.Kernel() as kernel:
        assert kernel.run(start_first, 1) == "done"
        shut_down(kernel)
    assert "start_another" in capsys.readouterr().err


def test_tasks_that_are_started_again_and_again_are_named() -> None:
    with curio.Kernel() as kernel:
        kernel.run(start_first, MAX_ROUNDS)
        with pytest.raises(AssertionError, match="start_another"):
            shut_down(kernel)
