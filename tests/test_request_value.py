"""Tests of request values."""

from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import request_value


def _submit(prompt_tokens: int, worth_by_size: float = 0.7) -> messages.Submit:
    service = model.Service(
        id="s",
        customer="",
        name="s",
        kind=model.ServiceKind.MODEL,
        pool="p",
        worth_by_size=worth_by_size,
    )
    return messages.Submit(
        request_id=1,
        service=service,
        customer="",
        prompt_tokens=prompt_tokens,
        output_tokens=1_000,
    )


class TestRequestValues:
    """Value relative to the mean request of a service."""

    def test_value_of_a_mean_request_is_one(self):
        request_values = request_value.RequestValues()
        request_values.record(_submit(3_000), 300)
        assert request_values.of(_submit(3_000), 300) == 1.0

    def test_value_grows_with_size_by_the_configured_fraction(self):
        request_values = request_value.RequestValues()
        request_values.record(_submit(3_000), 300)
        assert abs(request_values.of(_submit(6_000), 600) - 1.7) < 1e-9

    def test_value_is_bounded_and_one_without_a_fraction(self):
        request_values = request_value.RequestValues()
        request_values.record(_submit(100), 10)
        assert request_values.of(_submit(100_000), 1_000) == 4.0
        assert request_values.of(_submit(100_000, 0.0), 1_000) == 1.0
