"""Reads what the platform's engines say about themselves in their answers."""

import http

from cowsliprill.decisions import endpoint_answers
from cowsliprill.decisions import model
from cowsliprill.engines import endpoint_feedback
from cowsliprill.engines import exchange
from cowsliprill.platform import headers as headers_lib


def of_request(
    endpoint: model.Endpoint, response: exchange.Response, sent_at: float
) -> endpoint_answers.Answer:
    """Returns what the answer to a client's request says about its engine.

    Args:
      endpoint: Engine that answered.
      response: Its answer, with the headers read.
      sent_at: When the request was sent, in seconds.
    """
    return _answer(
        endpoint,
        response,
        sent_at,
        limit_text=response.headers.get(headers_lib.RATE_LIMIT),
        conclusive=response.status < http.HTTPStatus.MULTIPLE_CHOICES,
        accepted=headers_lib.NOT_EXECUTED not in response.headers,
    )


def observe_control(
    feedback: endpoint_feedback.EndpointFeedback,
    endpoint: model.Endpoint,
    response: exchange.Response,
    sent_at: float,
) -> None:
    """Passes on what the answer to a call of our own says about its engine.

    Rate limits and pauses concern clients' requests, so their absence from such
    an answer means nothing.

    Args:
      feedback: Receives what the answer says.
      endpoint: Engine that the call was addressed to.
      response: Its answer, with the headers read.
      sent_at: When the call was sent, in seconds.
    """
    if response.status != http.HTTPStatus.MISDIRECTED_REQUEST:
        feedback.observe(_answer(endpoint, response, sent_at))


def _answer(
    endpoint: model.Endpoint,
    response: exchange.Response,
    sent_at: float,
    *,
    limit_text: str | None = None,
    conclusive: bool = False,
    accepted: bool = False,
) -> endpoint_answers.Answer:
    headers = response.headers
    turned_away = response.status == http.HTTPStatus.SERVICE_UNAVAILABLE
    return endpoint_answers.Answer(
        endpoint=endpoint,
        sent_at=sent_at,
        limit_text=limit_text,
        conclusive=conclusive,
        leaving=endpoint_answers.parse_leaving(
            headers.get(headers_lib.LEAVING)
        ),
        retry_after=(
            headers.get(headers_lib.RETRY_AFTER) if turned_away else None
        ),
        date=headers.get(headers_lib.DATE),
        accepted=accepted,
    )
