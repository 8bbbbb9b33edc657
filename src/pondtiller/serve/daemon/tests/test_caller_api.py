"""The unchanged `openai` client against real daemons."""

from concurrent.futures import ThreadPoolExecutor

import httpx2 as httpx
import openai
import pytest

from pondtiller.serve.emulator.text import expected_answer


def client(service, number=0, **options):
    options.setdefault("max_retries", 0)
    return openai.OpenAI(base_url=f"{service.url(number)}/v1", api_key="estimator", **options)


def test_plain_completion(service):
    answer = client(service).completions.create(model="quote", prompt="a flange", max_tokens=20)
    assert answer.choices[0].text == expected_answer("a flange", 20)
    assert answer.usage.completion_tokens > 0
    assert answer.model_extra["pondtiller"]["segments"][0]["first_token"] == 0


def test_streamed_completion(service):
    stream = client(service).completions.create(
        model="quote", prompt="a shaft", max_tokens=60, stream=True
    )
    pieces = [piece.choices[0] for piece in stream]
    assert "".join(piece.text for piece in pieces) == expected_answer("a shaft", 60)
    assert pieces[-1].finish_reason in ("stop", "length")


def test_chat_whole_and_streamed(service):
    messages = [{"role": "user", "content": "price of a gear"}]
    expected = expected_answer("user: price of a gear", 30)
    chat = client(service).chat.completions
    whole = chat.create(model="quote", messages=messages, max_tokens=30)
    assert whole.choices[0].message.content == expected
    stream = chat.create(model="quote", messages=messages, max_tokens=30, stream=True)
    assert "".join(piece.choices[0].delta.content or "" for piece in stream) == expected


def test_error_has_kind_and_says_that_it_did_not_run(service):
    with pytest.raises(openai.NotFoundError) as caught:
        client(service).completions.create(model="nothing", prompt="x")
    assert caught.value.code == "unknown_model"
    assert caught.value.response.headers["x-pondtiller-ran"] == "no"


def test_fifty_at_once_each_get_their_own_answer(service):
    def ask(number):
        made = client(service, number % 6).completions.create(
            model="quote", prompt=f"part {number}", max_tokens=40
        )
        return made.choices[0].text == expected_answer(f"part {number}", 40)

    with ThreadPoolExecutor(50) as pool:
        assert all(pool.map(ask, range(50)))


def test_timed_out_and_cancelled_requests_leave_nothing_behind(service):
    with pytest.raises(openai.APITimeoutError):
        client(service, timeout=0.05).completions.create(
            model="quote", prompt="long part", max_tokens=400
        )
    stream = client(service).completions.create(
        model="quote", prompt="other long part", max_tokens=400, stream=True
    )
    next(iter(stream))
    stream.close()

    def left():
        return sum(len(daemon.world.requests) for daemon in service.daemons)

    for _ in range(200):
        if not left():
            break
        client(service).models.list()
    assert [model.id for model in client(service).models.list()] == ["quote"]


def test_retry_of_a_once_request_gets_the_stored_answer_and_runs_nothing(service):
    headers = {"Idempotency-Key": "order-17", "X-Run-At-Most-Once": "true"}
    body = {"model": "quote", "prompt": "list book 17", "max_tokens": 16}

    def started():
        return sum(server.model.accepted for server in service.emulator.engines.values())

    before = started()
    for number in range(3):
        response = httpx.post(f"{service.url(number)}/v1/completions", json=body, headers=headers)
        assert response.status_code == 200
        assert response.json()["choices"][0]["text"] == expected_answer("list book 17", 16)
    assert started() == before + 1
    other = httpx.post(
        f"{service.url(1)}/v1/completions", json={**body, "prompt": "another"}, headers=headers
    )
    assert (other.status_code, other.json()["error"]["code"]) == (422, "key_reused")


@pytest.mark.parametrize(
    ("body", "word"),
    [
        (b"{", "Invalid JSON"),
        (b'{"model": "quote"}', "prompt"),
        (b'{"model": "quote", "prompt": 7}', "prompt"),
        (b'{"model": "quote", "prompt": "x", "max_tokens": -1}', "max_tokens"),
        (b'{"model": "quote", "prompt": "x", "n": 2}', "n"),
        (b'{"model": "quote", "prompt": "\\ud800"}', "escape"),
    ],
)
def test_bad_body_is_refused_with_its_reason(service, body, word):
    response = httpx.post(f"{service.url()}/v1/completions", content=body)
    assert response.status_code == 400
    error = response.json()["error"]
    assert (error["code"], error["ran"]) == ("bad_request", "no")
    assert word in error["message"]
