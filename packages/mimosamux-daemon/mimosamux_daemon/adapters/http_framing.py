"""Tells answers whose end proves nothing, on what httpx has read."""

import httpx

from mimosamux_daemon.domain.http_messages import (
    AnswerHead,
    BodyFraming,
    find_framing,
)


def is_unframed(response: httpx.Response) -> bool:
    """Whether an answer has no other end than that of its connection.

    The client takes any such end for a whole answer.
    """
    answer = AnswerHead(
        status=response.status_code, headers=tuple(response.headers.raw)
    )
    method = response.request.method.encode()
    return find_framing(method, answer) is BodyFraming.CONNECTION
