"""Keys of tenants on the command line: read from files, kept as digests."""

from pathlib import Path

import pytest
from cleo.testers.command_tester import CommandTester
from result import Err, Ok

from pondtiller.cli.application import build
from pondtiller.cli.table_key import ADD, REVOKE, changed_digests, read_key
from pondtiller.routes.tenants import digest_of

FIRST, SECOND = digest_of("first-key"), digest_of("second-key")


def test_digests_are_added_and_revoked_one_by_one() -> None:
    one = changed_digests("", FIRST, ADD)
    assert one == FIRST
    both = changed_digests(one, SECOND, ADD)
    assert set(both.split()) == {FIRST, SECOND}
    assert changed_digests(both, SECOND, ADD) == both
    assert changed_digests(both, FIRST, REVOKE) == SECOND
    assert changed_digests(SECOND, FIRST, REVOKE) == SECOND


@pytest.mark.parametrize("text", ["", "  \n", "two keys"])
def test_input_that_is_not_a_single_key_is_refused(tmp_path: Path, text: str) -> None:
    file = tmp_path / "key"
    file.write_text(text)
    assert isinstance(read_key(str(file)), Err)
    assert isinstance(read_key(str(tmp_path / "missing")), Err)


def test_a_key_is_read_from_a_file_without_its_line_end(tmp_path: Path) -> None:
    file = tmp_path / "key"
    file.write_text("first-key\n")
    assert read_key(str(file)) == Ok("first-key")


def test_the_command_takes_no_key_as_an_argument() -> None:
    tester = CommandTester(build().find("table key"))
    assert tester.execute("ann give --platform 127.0.0.1:1") == 2
    assert "give add or revoke" in tester.io.fetch_error()
