"""The leader is the gateway that won last; one that was killed wrote no end."""

from pathlib import Path

from pondtiller.soak.leader_log import LeaderLog


def test_the_last_one_that_won_and_did_not_end_leads(tmp_path: Path) -> None:
    logs = {name: tmp_path / f"{name}.log" for name in ("g0", "g1")}
    followed = LeaderLog(logs)
    assert followed.leader() == ""
    logs["g0"].write_text("t=10.100 event=leader_won epoch=1\nt=12.0 event=started\nt=12.5 event=l")
    assert followed.leader() == "g0"
    logs["g1"].write_text("t=14.000 event=leader_won epoch=2\n")
    assert followed.leader() == "g1"
    with logs["g1"].open("a") as log:
        log.write('t=15.000 event=leader_ended reason="the lease ended"\n')
    with logs["g0"].open("a") as log:
        log.write("eader_ended epoch=1\n")
    assert followed.leader() == ""
