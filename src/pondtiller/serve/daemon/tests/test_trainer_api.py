import httpx2 as httpx
import pytest

from pondtiller.serve.emulator.scorer import score_sample
from pondtiller.serve.emulator.text import expected_answer


def base(service, number=0, trainer="drawing-policy"):
    return f"{service.url(number)}/v1/trainers/{trainer}"


def post(url, body):
    return httpx.post(url, json=body, follow_redirects=True, timeout=30)


def read_all(service, step, count):
    samples = []
    while len(samples) < count:
        response = httpx.get(
            f"{base(service)}/steps/{step}/samples",
            params={"cursor": len(samples), "wait_seconds": 10},
            follow_redirects=True,
            timeout=30,
        )
        assert response.status_code == 200, response.text
        assert response.json()["slots"] == count
        samples += response.json()["samples"]
    return samples


def test_step_is_opened_read_by_cursor_acknowledged_and_forgotten(service):
    prompts = [f"drawing {number}" for number in range(6)]
    body = {"step": 900, "version": 0, "prompts": prompts, "max_tokens": 40}
    for number in (0, 3):
        assert post(f"{base(service, number)}/steps", body).status_code == 200
    samples = read_all(service, 900, 6)
    assert [sample["slot"] for sample in samples] == list(range(6))
    assert len({sample["sample_id"] for sample in samples}) == 6
    for prompt, sample in zip(prompts, samples, strict=True):
        assert sample["text"] == expected_answer(prompt, 40)
        assert sample["score"] == score_sample(prompt, sample["text"])
        assert sample["segments"][-1]["last_token"] == sample["tokens"] - 1
    again = read_all(service, 900, 6)
    assert again == samples
    url = f"{base(service)}/steps/900/acknowledgements"
    assert post(url, {"cursor": 3}).json()["cursor"] == 3
    lower = httpx.get(f"{base(service)}/steps/900/samples?cursor=1", follow_redirects=True)
    assert (lower.status_code, lower.json()["error"]["code"]) == (409, "conflict")
    assert post(url, {"cursor": 6}).status_code == 200
    gone = httpx.get(f"{base(service)}/steps/900/samples", follow_redirects=True)
    assert (gone.status_code, gone.json()["error"]["code"]) == (404, "unknown_step")


def test_same_step_with_other_prompts_is_a_conflict(service):
    body = {"step": 901, "version": 0, "prompts": ["one"], "max_tokens": 8}
    assert post(f"{base(service)}/steps", body).status_code == 200
    other = post(f"{base(service)}/steps", {**body, "prompts": ["two"]})
    assert other.status_code == 409
    read_all(service, 901, 1)
    post(f"{base(service)}/steps/901/acknowledgements", {"cursor": 1})


def test_published_version_reaches_the_engines_and_names_the_samples(service):
    assert post(f"{base(service)}/versions", {"version": 5}).json()["version"] == 5
    body = {"step": 902, "version": 6, "prompts": ["after"], "max_tokens": 8}
    assert post(f"{base(service)}/steps", body).status_code == 200
    (sample,) = read_all(service, 902, 1)
    assert {segment["version"] for segment in sample["segments"]} == {5}
    post(f"{base(service)}/steps/902/acknowledgements", {"cursor": 1})
    assert post(f"{base(service)}/versions", {"version": 4}).json()["version"] == 5


@pytest.mark.parametrize(
    ("path", "body"),
    [
        ("/steps", {"step": 1, "prompts": []}),
        ("/steps", {"step": "one", "prompts": ["x"]}),
        ("/steps", {"step": 1, "prompts": ["x"], "surprise": 1}),
        ("/versions", {"version": -1}),
        ("/steps/1/acknowledgements", {"cursor": 1.5}),
    ],
)
def test_bad_body_is_refused_with_its_reason(service, path, body):
    response = post(base(service) + path, body)
    assert response.status_code == 400
    assert response.json()["error"]["code"] == "bad_request"


def test_unknown_trainer_is_refused(service):
    response = post(f"{base(service, trainer='nobody')}/versions", {"version": 1})
    assert (response.status_code, response.json()["error"]["code"]) == (404, "unknown_row")
