"""Unfinished texts: what is saved for a successor, and that each event is sent once."""

from pondtiller.rollouts.progress import ProgressSaver, pack_events, unpack_events
from pondtiller.rollouts.tests.scheduling import Bench
from pondtiller.steplog.kept_texts import extend
from pondtiller.wire.steplog import SampleProgress


def running(bench: Bench) -> int:
    bench.open(groups=1, size=1)
    bench.tick(0.0)
    (run,) = bench.scheduler.runs
    return run


def test_each_replica_gets_each_event_once_and_a_new_one_gets_all() -> None:
    bench, saver = Bench(), ProgressSaver()
    run = running(bench)
    works = bench.scheduler.work.values()
    for number, data in ((1, "a"), (2, "b")):
        bench.scheduler.run_event(run, number, data, 1, 0.5)
    (first,) = saver.update_for(7, works, 2.0)
    assert (unpack_events(first.parts), first.after_event) == (["a", "b"], 0)
    assert saver.update_for(7, works, 2.1) == []
    bench.scheduler.run_event(run, 3, "c", 1, 2.2)
    (second,) = saver.update_for(7, works, 2.3)
    assert (unpack_events(second.parts), second.after_event) == (["c"], 2)
    (other,) = saver.update_for(8, works, 2.3)
    assert (unpack_events(other.parts), other.after_event) == (["a", "b", "c"], 0)
    kept = extend(extend(None, first), second)
    assert kept is not None
    assert (unpack_events(kept.parts), kept.last_event) == (["a", "b", "c"], 3)


def test_short_runs_are_kept_only_before_a_handover() -> None:
    bench, saver = Bench(), ProgressSaver()
    run = running(bench)
    bench.scheduler.run_event(run, 1, "a", 1, 0.2)
    works = bench.scheduler.work.values()
    assert saver.update_for(7, works, 0.4) == []
    assert len(saver.update_for(7, works, 0.4, is_last=True)) == 1


def test_a_restarted_text_is_sent_completely_and_a_gap_is_never_stored() -> None:
    bench, saver = Bench(), ProgressSaver()
    run = running(bench)
    work = next(iter(bench.scheduler.work.values()))
    for number in (1, 2, 3):
        bench.scheduler.run_event(run, number, "old", 1, 0.1)
    saver.update_for(7, [work], 2.0)
    work.text = type(work.text)(["new"], [1], 1)
    (again,) = saver.update_for(7, [work], 3.0)
    assert (unpack_events(again.parts), again.after_event) == (["new"], 0)
    gap = SampleProgress(id="s", parts=[pack_events(["x"])], last_event=9, after_event=8)
    assert extend(SampleProgress(id="s", parts=[pack_events(["y"])], last_event=1), gap) is None
