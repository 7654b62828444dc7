"""Client for inference engines, with a typed method per protocol call."""

from typing import Any

from cowsliprill.decisions import model
from cowsliprill.engines import endpoint_feedback
from cowsliprill.engines import engine_caller
from cowsliprill.engines import errors
from cowsliprill.engines import http_client
from cowsliprill.engines import load_report
from cowsliprill.engines import model as engine_model
from cowsliprill.engines import protocol
from cowsliprill.engines import token_stream


class EngineClient:
    """Sends requests and orders to engines.

    Args:
      http: HTTP client for all calls.
      stall_timeout_s: Maximum time in seconds between bytes of a token stream.
      feedback: Receives what answers say about an engine, None if nobody wants
        to know.
    """

    def __init__(
        self,
        http: http_client.HttpClient,
        *,
        stall_timeout_s: float = 5.0,
        feedback: endpoint_feedback.EndpointFeedback | None = None,
    ) -> None:
        self._caller = engine_caller.EngineCaller(
            http, stall_timeout_s, feedback or endpoint_feedback.NoFeedback()
        )

    async def prefill(
        self,
        endpoint: model.Endpoint,
        request_id: str,
        body: dict[str, Any],
        *,
        path: str = protocol.COMPLETIONS_PATH,
        timeout_s: float = 60.0,
    ) -> engine_model.PrefillResult:
        """Runs a prefill; the engine keeps its KV cache for a decode engine.

        Args:
          endpoint: The prefill engine.
          request_id: Attempt id as text.
          body: JSON fields of the caller's request.
          path: Path for a completion or a chat completion.
          timeout_s: Timeout of the whole call in seconds.

        Returns:
          Address of the KV cache and the number of prompt tokens.

        Raises:
          errors.EngineRefused: The engine did not execute the request.
          errors.CallError: The engine returned no usable response.
        """
        payload = await self._caller.fetch_json(
            endpoint,
            ("POST", path, protocol.prefill_body(body)),
            request_id=request_id,
            timeout_s=timeout_s,
        )
        if payload.get("id") != request_id:
            raise errors.ResponseIdMismatch(
                "prefill response carries the id of another request"
            )
        return engine_caller.parse_as(
            engine_model.PrefillResult,
            {
                "params": payload.get("kv_transfer_params"),
                "prompt_tokens": _prompt_tokens(payload.get("usage")),
            },
        )

    async def decode(
        self,
        endpoint: model.Endpoint,
        request_id: str,
        body: dict[str, Any],
        prefill: engine_model.PrefillResult,
        *,
        path: str = protocol.COMPLETIONS_PATH,
        timeout_s: float = 120.0,
    ) -> token_stream.TokenStream:
        """Starts a decode: the engine fetches the KV cache and streams tokens.

        Args:
          endpoint: The decode engine.
          request_id: Attempt id as text.
          body: JSON fields of the caller's request.
          prefill: Result of `prefill`.
          path: Path for a completion or a chat completion.
          timeout_s: Timeout of the whole stream in seconds.

        Returns:
          The token stream. The engine has already fetched the KV cache.

        Raises:
          errors.EngineRefused: The engine did not execute the request.
          errors.CallError: The engine returned no usable response.
        """
        stream = token_stream.TokenStream(request_id)
        await self._caller.open_stream(
            endpoint,
            (path, protocol.decode_body(body, prefill.params)),
            stream,
            timeout_s,
        )
        return stream

    async def resume(
        self,
        endpoint: model.Endpoint,
        stream: token_stream.TokenStream,
        *,
        timeout_s: float = 120.0,
    ) -> token_stream.TokenStream:
        """Continues an interrupted stream after its last delivered token.

        Args:
          endpoint: The decode engine that runs the request.
          stream: The interrupted stream.
          timeout_s: Timeout of the rest of the stream in seconds.

        Returns:
          The same stream; iterate again for the remaining events.

        Raises:
          errors.EngineRefused: The engine no longer has the request.
          errors.CallError: The engine returned no usable response.
        """
        fields = {
            "request_id": stream.request_id,
            "after_token": stream.validator.last_token,
        }
        await self._caller.open_stream(
            endpoint, (protocol.RESUME_PATH, fields), stream, timeout_s
        )
        stream.validator.resume()
        return stream

    async def cancel(
        self,
        endpoint: model.Endpoint,
        request_id: str,
        *,
        timeout_s: float = engine_caller.CONTROL_TIMEOUT_S,
    ) -> bool:
        """Cancels an attempt, so that the engine frees the memory held for it.

        Args:
          endpoint: The engine.
          request_id: Attempt id as text.
          timeout_s: Timeout of the whole call in seconds.

        Returns:
          Whether the engine confirmed that it holds no memory for the
          attempt. Otherwise the cancellation must be sent again.
        """
        try:
            payload = await self._caller.fetch_json(
                endpoint,
                ("POST", protocol.CANCEL_PATH, {"request_id": request_id}),
                timeout_s=timeout_s,
            )
        except errors.CallError:
            return False
        id_matches = payload.get("request_id") == request_id
        return id_matches and payload.get("held") is False

    async def running(
        self, endpoint: model.Endpoint
    ) -> list[engine_model.RunningRequest]:
        """Lists the requests for which an engine holds memory.

        Raises:
          errors.CallError: The engine returned no usable response.
        """
        payload = await self._caller.fetch_json(
            endpoint, ("GET", protocol.RUNNING_PATH, None)
        )
        return engine_caller.parse_as(
            list[engine_model.RunningRequest], payload.get("requests")
        )

    async def load(self, endpoint: model.Endpoint) -> engine_model.LoadReport:
        """Fetches the load report of an engine.

        Raises:
          errors.CallError: The engine returned no usable response.
        """
        body = await self._caller.fetch_body(
            endpoint, ("GET", protocol.METRICS_PATH, None)
        )
        return load_report.parse(body)

    async def cache_events(
        self, endpoint: model.Endpoint, after: int
    ) -> engine_model.CacheEvents:
        """Fetches the changes to the prefix cache of an engine.

        Args:
          endpoint: The engine.
          after: `last_seq` of the previous result, 0 on the first call.

        Returns:
          The events that the engine still keeps, with a flag for gaps.

        Raises:
          errors.CallError: The engine returned no usable response.
        """
        path = f"{protocol.CACHE_EVENTS_PATH}?after={after}"
        payload = await self._caller.fetch_json(endpoint, ("GET", path, None))
        events = engine_caller.parse_as(
            tuple[engine_model.CacheEvent, ...], payload.get("events")
        )
        return _build_cache_events(events, after)

    async def order(
        self,
        endpoint: model.Endpoint,
        fencing_token: int,
        target: model.EngineTarget,
    ) -> None:
        """Orders an engine to take a role and a model.

        Args:
          endpoint: The engine.
          fencing_token: Fencing token of the order.
          target: Role and model that the engine should have.

        Raises:
          errors.StaleFencing: The engine has seen a higher fencing token.
          errors.CallError: The engine returned no usable response.
        """
        fields = protocol.order_body(fencing_token, target)
        await self._caller.fetch_json(
            endpoint, ("POST", protocol.ORDERS_PATH, fields)
        )

    async def read_order(
        self, endpoint: model.Endpoint
    ) -> engine_model.EngineOrder:
        """Fetches the order that is in force at an engine.

        Raises:
          errors.CallError: The engine returned no usable response.
        """
        payload = await self._caller.fetch_json(
            endpoint, ("GET", protocol.ORDERS_PATH, None)
        )
        fencing_token = payload.pop(protocol.FENCING_FIELD, None)
        return engine_caller.parse_as(
            engine_model.EngineOrder,
            {"fencing": fencing_token, "target": payload},
        )


def _build_cache_events(
    events: tuple[engine_model.CacheEvent, ...], after: int
) -> engine_model.CacheEvents:
    events_by_seq = {event.seq: event for event in events if event.seq > after}
    last_seq = max(events_by_seq, default=after)
    return engine_model.CacheEvents(
        events=tuple(events_by_seq[seq] for seq in sorted(events_by_seq)),
        last_seq=last_seq,
        gap=len(events_by_seq) != last_seq - after,
    )


def _prompt_tokens(usage: Any) -> Any:
    return usage.get("prompt_tokens") if isinstance(usage, dict) else None
