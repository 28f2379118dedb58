"""Send streamed chats and keep the responses that their callers got."""

from concurrent.futures import ThreadPoolExecutor

import httpx

from features.steps.path import chat_headers, streamed_text
from standins.engine import response_text

TIMEOUT_S = 40


class ChatResponse:
    """The response that a caller got, and the text of the complete one."""

    def __init__(self, prompt, tokens, status, text):
        self.expected_text = response_text(prompt, tokens)
        self.status = status
        self.text = text

    def is_complete(self):
        ended = self.text.rstrip().endswith("data: [DONE]")
        return self.status == 200 and ended and streamed_text(self.text) == self.expected_text


def send_chat(context, router, number, tokens, prompt=None, after_first=lambda: None):
    """Stream one chat, call `after_first` when it has begun to arrive, and keep its response."""
    prompt = prompt or f"question {number}"
    body = {
        "model": "till-model",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    url = context.deployment.processes[router].url + "/v1/chat/completions"
    try:
        with httpx.stream(
            "POST",
            url,
            json=body,
            headers=chat_headers(chat=f"chat-{number}"),
            timeout=TIMEOUT_S,
            trust_env=False,
        ) as response:
            parts = response.iter_text()
            text = next(parts, "")
            after_first()
            text += "".join(parts)
        result = ChatResponse(prompt, tokens, response.status_code, text)
    except httpx.HTTPError as exc:
        result = ChatResponse(prompt, tokens, 0, repr(exc))
    context.responses.append(result)
    return result


def send_chats(context, routers, count, tokens):
    """Start many streamed chats in threads; return the executor, to be shut down by the caller."""
    executor = ThreadPoolExecutor(count)
    for number in range(count):
        executor.submit(send_chat, context, routers[number % len(routers)], number, tokens)
    return executor
