"""Bodies of callers' requests, in the form of the OpenAI protocol.

Checks forms and sizes only; whether the model is known is decided by `systems.admission`. Fields
that are not needed are ignored, so that usual clients work.
"""

from typing import Annotated, Literal

from pydantic import BaseModel, ConfigDict, Field

MAX_PROMPT_CHARACTERS = 4_000_000
"""A longer prompt is refused as malformed. Chosen, not measured: it bounds memory."""

MaximumTokens = Annotated[int, Field(ge=1, le=1_000_000)]


class CompletionBody(BaseModel):
    """Body of `POST /v1/completions`; fields that need not be known are ignored."""

    model_config = ConfigDict(extra="ignore", strict=True)

    model: str
    prompt: str = Field(max_length=MAX_PROMPT_CHARACTERS)
    max_tokens: MaximumTokens | None = None
    stream: bool | None = None
    n: Literal[1] | None = None


class TextPart(BaseModel):
    """A part of a message's content."""

    model_config = ConfigDict(extra="ignore", strict=True)

    type: Literal["text"]
    text: str


class Message(BaseModel):
    """One message of a chat."""

    model_config = ConfigDict(extra="ignore", strict=True)

    role: str
    content: str | list[TextPart]

    def text(self) -> str:
        """Return the content as one text."""
        if isinstance(self.content, str):
            return self.content
        return "".join(part.text for part in self.content)


class ChatBody(BaseModel):
    """Body of `POST /v1/chat/completions`."""

    model_config = ConfigDict(extra="ignore", strict=True)

    model: str
    messages: list[Message] = Field(min_length=1)
    max_tokens: MaximumTokens | None = None
    max_completion_tokens: MaximumTokens | None = None
    stream: bool | None = None
    n: Literal[1] | None = None

    def prompt(self) -> str:
        """Return the messages as the prompt that engines read."""
        return "\n".join(f"{message.role}: {message.text()}" for message in self.messages)
