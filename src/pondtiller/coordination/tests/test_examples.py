import runpy
from pathlib import Path

import pytest

EXAMPLES = Path(__file__).resolve().parents[4] / "examples"
EXPECTED = {
    "membership.py": "['one', 'three', 'two']",
    "registers.py": "b'hello'",
    "limit_shares.py": "{'one': 6, 'two': 4}",
    "documents.py": "b'newer'",
    "step_log.py": (
        "first [()]\n[Committed(key='sample/1')]\n"
        "second [(Entry(key='sample/1', epoch=4294967298, value=b'kept'),)]"
    ),
    "retry_budget.py": "3 open True",
}


@pytest.mark.parametrize("name", sorted(EXPECTED))
def test_example_prints_its_documented_output(name, capsys):
    runpy.run_path(str(EXAMPLES / name))
    assert capsys.readouterr().out.strip() == EXPECTED[name]
