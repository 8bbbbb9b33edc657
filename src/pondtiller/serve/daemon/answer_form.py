"""Bodies of the answers to callers, in the form of the OpenAI protocol.

Beside the protocol's fields, each whole answer and each last piece of a stream has the field
`pondtiller`: which weight versions made which tokens, and the digest of the text.
"""

import json
from typing import NotRequired, TypedDict

from pondtiller.process import clock
from pondtiller.serve.core.instructions import FinishAnswer
from pondtiller.serve.core.sample_bodies import SegmentBody, segment_bodies


class Origin(TypedDict):
    """Which weight versions made the tokens, and the digest of the whole text."""

    segments: list[SegmentBody]
    digest: str


class ChatText(TypedDict, total=False):
    """Text of a chat; empty in the last piece of a stream."""

    role: str
    content: str


class Choice(TypedDict, total=False):
    """The answer or a piece of it, in the field that its kind of body has.

    Attributes
    ----------
    text
        Of a completion, whole or streamed.
    delta
        Of a streamed chat.
    message
        Of a whole chat.
    finish_reason
        None until the last piece.
    """

    index: int
    logprobs: None
    text: str
    delta: ChatText
    message: ChatText
    finish_reason: str | None


class Usage(TypedDict):
    """Tokens of a whole answer; those of the prompt are counted as words."""

    prompt_tokens: int
    completion_tokens: int
    total_tokens: int


class AnswerBody(TypedDict):
    """A whole body, or a piece of a stream."""

    id: str
    object: str
    created: int
    model: str
    choices: list[Choice]
    usage: NotRequired[Usage]
    pondtiller: NotRequired[Origin]


class AnswerForm:
    """Builds the bodies of one answer.

    Parameters
    ----------
    chat
        Whether the answer is a chat's; else it is a completion's.
    """

    def __init__(self, request_id: str, model: str, chat: bool) -> None:
        self._identifier = request_id
        self._model = model
        self._chat = chat
        self._created = clock.wall_seconds()

    def piece(self, text: str) -> bytes:
        """Return a streamed piece."""
        if self._chat:
            return stream_event(self._chat_piece({"role": "assistant", "content": text}, None))
        return stream_event(self._text(text, None))

    def last_piece(self, answer: FinishAnswer) -> bytes:
        """Return the last streamed piece and the end mark."""
        finish_reason = answer.finish_reason
        body = self._chat_piece({}, finish_reason) if self._chat else self._text("", finish_reason)
        body["pondtiller"] = _origin(answer)
        return stream_event(body) + b"data: [DONE]\n\n"

    def whole(self, prompt: str, answer: FinishAnswer) -> AnswerBody:
        """Return a whole body."""
        if self._chat:
            body = self._whole_chat(answer)
        else:
            body = self._text(answer.text, answer.finish_reason)
        prompt_tokens = len(prompt.split())
        body["usage"] = {
            "prompt_tokens": prompt_tokens,
            "completion_tokens": answer.token_count,
            "total_tokens": prompt_tokens + answer.token_count,
        }
        body["pondtiller"] = _origin(answer)
        return body

    def _chat_piece(self, delta: ChatText, finish_reason: str | None) -> AnswerBody:
        choice: Choice = {"delta": delta, "finish_reason": finish_reason}
        return self._body("chat.completion.chunk", choice)

    def _text(self, text: str, finish_reason: str | None) -> AnswerBody:
        return self._body("text_completion", {"text": text, "finish_reason": finish_reason})

    def _whole_chat(self, answer: FinishAnswer) -> AnswerBody:
        message: ChatText = {"role": "assistant", "content": answer.text}
        choice: Choice = {"message": message, "finish_reason": answer.finish_reason}
        return self._body("chat.completion", choice)

    def _body(self, kind: str, choice: Choice) -> AnswerBody:
        return {
            "id": self._identifier,
            "object": kind,
            "created": self._created,
            "model": self._model,
            "choices": [{"index": 0, "logprobs": None, **choice}],
        }


def stream_event(value: object) -> bytes:
    """Return a value as one server-sent event."""
    return b"data: " + json.dumps(value).encode() + b"\n\n"


def _origin(answer: FinishAnswer) -> Origin:
    return {"segments": segment_bodies(answer.segments), "digest": answer.digest}
