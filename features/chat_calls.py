"""Send streamed chats and keep what their callers got."""

from concurrent.futures import ThreadPoolExecutor

import httpx

from features.steps.path import chat_headers, streamed_text
from standins.engine import response_text

TIMEOUT_S = 40


class Answer:
    """What a caller got: the status, the text, and what would have been whole."""

    def __init__(self, prompt, tokens, status, text):
        self.wanted = response_text(prompt, tokens)
        self.status = status
        self.text = text

    def is_whole(self):
        ended = self.text.rstrip().endswith("data: [DONE]")
        return self.status == 200 and ended and streamed_text(self.text) == self.wanted


def send_chat(context, router, number, tokens, prompt=None):
    """Stream one chat and keep its answer."""
    prompt = prompt or f"question {number}"
    body = {
        "model": "till-model",
        "stream": True,
        "max_tokens": tokens,
        "messages": [{"role": "user", "content": prompt}],
    }
    url = context.deployment.processes[router].url + "/v1/chat/completions"
    try:
        answer = httpx.post(
            url,
            json=body,
            headers=chat_headers(chat=f"chat-{number}"),
            timeout=TIMEOUT_S,
            trust_env=False,
        )
        kept = Answer(prompt, tokens, answer.status_code, answer.text)
    except httpx.HTTPError as exc:
        kept = Answer(prompt, tokens, 0, repr(exc))
    context.answers.append(kept)
    return kept


def send_chats(context, routers, count, tokens):
    """Stream many chats at once; return the pool to wait for."""
    pool = ThreadPoolExecutor(count)
    for number in range(count):
        pool.submit(send_chat, context, routers[number % len(routers)], number, tokens)
    return pool
