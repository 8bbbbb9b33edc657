"""Histories from logs: order, the deciding line, compressed and damaged files."""

import gzip
from pathlib import Path

from cleo.testers.command_tester import CommandTester

from pondtiller.cli.explain import ExplainCommand, parse_line

LINES = [
    "t=20.500 event=sample_run_ended sample=s1 step=a engine=e1 outcome=broken detail=reset",
    "t=10.000 event=sample_started sample=s1 step=a engine=e1 run=3",
    "noise without any form",
    '  12.0 front-1 t=30.000 event=sample_listed sample=s1 step=a succeeded=False versions=""',
    'event=broken line="',
    't=5.000 event=request_failed request=q1 tried="e1:silent;e2:broken(a b)" ran=unknown',
]


def run(identifier: str, *files: Path) -> CommandTester:
    tester = CommandTester(ExplainCommand())
    tester.execute(f"{identifier} {' '.join(map(str, files))}")
    return tester


def logs(folder: Path) -> tuple[Path, Path]:
    plain, packed = folder / "a.log", folder / "b.log.gz"
    plain.write_text("\n".join(LINES[:3]))
    packed.write_bytes(gzip.compress("\n".join(LINES[3:]).encode()))
    return plain, packed


def test_lines_of_a_sample_are_shown_in_order_with_the_deciding_one(tmp_path: Path) -> None:
    tester = run("s1", *logs(tmp_path))
    shown = tester.io.fetch_output().splitlines()
    assert [line.split()[0] for line in shown[:3]] == ["10.000", "20.500", "30.000"]
    assert shown[-1].startswith("decided by: event=sample_listed sample=s1")


def test_a_request_names_what_was_tried(tmp_path: Path) -> None:
    shown = run("q1", *logs(tmp_path)).io.fetch_output()
    assert "e2:broken(a b)" in shown.splitlines()[-1]


def test_an_unknown_identifier_and_a_missing_file_are_reported(tmp_path: Path) -> None:
    assert run("none", *logs(tmp_path)).status_code == 1
    assert run("s1", tmp_path / "missing").status_code == 2


def test_quoted_values_are_read() -> None:
    line = parse_line(r't=1.0 event=x reason="say \"no\"" left=0.1', "f")
    assert line is not None and line.fields["reason"] == 'say "no"'


def test_a_folder_selects_the_logs_in_it(tmp_path: Path) -> None:
    files = logs(tmp_path)
    (tmp_path / "report.json").write_text('{"sample": "t=1.0 event=sample_listed sample=s1 "}')
    (tmp_path / "disk0").mkdir()
    whole, by_folder = run("s1", *files), run("s1", tmp_path)
    assert by_folder.status_code == 0
    assert by_folder.io.fetch_output() == whole.io.fetch_output()


def test_a_folder_without_logs_reports_an_unknown_identifier(tmp_path: Path) -> None:
    assert run("s1", tmp_path).status_code == 1
