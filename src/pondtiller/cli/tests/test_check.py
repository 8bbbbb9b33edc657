import pytest
from cleo.testers.command_tester import CommandTester

from pondtiller.cli.application import build
from pondtiller.cli.check import check_file
from pondtiller.cli.simulate import read_seeds

GOOD = """
name = "d1"
zone = "a"
[platform]
host = "127.0.0.1"
port = 1000
scorer_host = "127.0.0.1"
scorer_port = 1000
"""


def write(folder, name, text):
    path = folder / name
    path.write_text(text)
    return str(path)


def test_good_files_have_no_problem(tmp_path):
    assert check_file(write(tmp_path, "settings.toml", GOOD)) == []


@pytest.mark.parametrize(
    ("text", "key", "word"),
    [
        (GOOD.replace("1000\nscorer", "70000\nscorer"), "platform.port", "65535"),
        (GOOD + "\n[[peers]]\nname='x'\n", "peers.0.zone", "required"),
        ("surprise = 1\n" + GOOD, "surprise", "not permitted"),
        (GOOD.replace('"127.0.0.1"\nport', '"localhost"\nport'), "platform.host", "IPv4"),
        (GOOD.replace("zone", "Zone"), "zone", "required"),
        ("register_replicas = 4\n" + GOOD, "settings", "even number"),
        ("x = [", "file", "Invalid value"),
    ],
)
def test_each_problem_names_file_key_and_reason(tmp_path, text, key, word):
    path = write(tmp_path, "settings.toml", text)
    problems = check_file(path)
    assert any(each.key == key and word in each.reason for each in problems), problems
    assert all(each.file == path for each in problems)


def test_deployment_that_misses_a_row_is_refused(tmp_path):
    text = 'name = "x"\nzones = ["a"]\n[latencies]\nbetween_zones_seconds = 0\n'
    text += 'clients_seconds = 0\n[[engines]]\nname = "e"\ncount = 1\nmodels = ["m"]\n'
    text += '[[trainers]]\nname = "t"\n'
    (problem,) = check_file(write(tmp_path, "deployment.toml", text))
    assert "trainer/t" in problem.reason


def test_command_exits_with_2_on_a_problem(tmp_path):
    tester = CommandTester(build().find("check"))
    assert tester.execute(write(tmp_path, "settings.toml", GOOD)) == 0
    assert tester.execute(write(tmp_path, "table.csv", "kind,name\n")) == 2
    assert "'weight' is missing" in tester.io.fetch_error()


def test_seed_ranges():
    assert list(read_seeds("4").unwrap()) == [4]
    assert list(read_seeds("4..6").unwrap()) == [4, 5, 6]
    assert read_seeds("6..4").is_err()
    assert read_seeds("x").is_err()


def test_simulate_prints_one_object_a_seed_and_refuses_unknown_scenarios():
    tester = CommandTester(build().find("simulate"))
    assert tester.execute("calm --seeds 1..2 --seconds 30 --json --deployment kyushu") == 0
    assert tester.io.fetch_output().count('"violations":[]') == 2
    assert tester.execute("nothing") == 2
