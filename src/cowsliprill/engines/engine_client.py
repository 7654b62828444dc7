"""Adapter for engines: the calls of `protocol` as typed methods."""

from typing import Any

from cowsliprill.decisions import model
from cowsliprill.engines import engine_caller
from cowsliprill.engines import errors
from cowsliprill.engines import http_client
from cowsliprill.engines import load_report
from cowsliprill.engines import model as engine_model
from cowsliprill.engines import protocol
from cowsliprill.engines import token_stream


class EngineClient:
    """Calls engines.

    Args:
      http: The HTTP client.
      stall_s: Time without a byte after which a token stream is broken.
    """

    def __init__(
        self, http: http_client.HttpClient, *, stall_s: float = 5.0
    ) -> None:
        self._caller = engine_caller.EngineCaller(http, stall_s)

    async def prefill(
        self,
        endpoint: model.Endpoint,
        request_id: str,
        body: dict[str, Any],
        *,
        path: str = protocol.COMPLETIONS_PATH,
        timeout_s: float = 60.0,
    ) -> engine_model.PrefillResult:
        """Runs a prefill and leaves its KV cache to be fetched.

        Args:
          endpoint: The prefill engine.
          request_id: Text of the attempt id.
          body: The caller's body.
          path: Whether it is a completion or a chat completion.
          timeout_s: Time for the whole call.

        Returns:
          Where the KV cache waits.

        Raises:
          errors.EngineRefused: The engine says that it didn't run it.
          errors.CallError: The engine gave no usable answer.
        """
        answer = await self._caller.json(
            endpoint,
            ("POST", path, protocol.prefill_body(body)),
            request_id=request_id,
            timeout_s=timeout_s,
        )
        if answer.get("id") != request_id:
            raise errors.ForeignAnswer("prefill answers another request")
        return engine_caller.checked(
            engine_model.PrefillResult,
            {
                "params": answer.get("kv_transfer_params"),
                "prompt_tokens": answer.get("usage", {}).get("prompt_tokens"),
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
        """Has a decode engine fetch the KV cache and stream the tokens.

        Args:
          endpoint: The decode engine.
          request_id: Text of the attempt id.
          body: The caller's body.
          prefill: What `prefill` returned.
          path: Whether it is a completion or a chat completion.
          timeout_s: Time for the whole stream.

        Returns:
          The stream; the engine has the KV cache by now.

        Raises:
          errors.EngineRefused: The engine says that it didn't run it.
          errors.CallError: The engine gave no usable answer.
        """
        stream = token_stream.TokenStream(request_id)
        await self._caller.stream(
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
        """Goes on with a broken stream after its last delivered token.

        Args:
          endpoint: The decode engine that holds the request.
          stream: The broken stream.
          timeout_s: Time for the rest of the stream.

        Returns:
          The same stream; iterate it again for the rest.

        Raises:
          errors.EngineRefused: The engine no longer holds the request.
          errors.CallError: The engine gave no usable answer.
        """
        fields = {
            "request_id": stream.request_id,
            "after_token": stream.validator.last_token,
        }
        await self._caller.stream(
            endpoint, (protocol.RESUME_PATH, fields), stream, timeout_s
        )
        stream.validator.resume()
        return stream

    async def cancel(
        self,
        endpoint: model.Endpoint,
        request_id: str,
        *,
        timeout_s: float = engine_caller.ORDER_TIMEOUT_S,
    ) -> bool:
        """Has an engine drop whatever it holds for an attempt.

        Args:
          endpoint: The engine.
          request_id: Text of the attempt id.
          timeout_s: Time for the whole call.

        Returns:
          Whether the engine said that it holds nothing now. Otherwise the
          cancel must be sent again.
        """
        try:
            answer = await self._caller.json(
                endpoint,
                ("POST", protocol.CANCEL_PATH, {"request_id": request_id}),
                timeout_s=timeout_s,
            )
        except errors.CallError:
            return False
        own = answer.get("request_id") == request_id
        return own and answer.get("held") is False

    async def running(
        self, endpoint: model.Endpoint
    ) -> list[engine_model.RunningRequest]:
        """Lists the requests that an engine holds memory for.

        Raises:
          errors.CallError: The engine gave no usable answer.
        """
        answer = await self._caller.json(
            endpoint, ("GET", protocol.RUNNING_PATH, None)
        )
        return engine_caller.checked(
            list[engine_model.RunningRequest], answer.get("requests")
        )

    async def load(self, endpoint: model.Endpoint) -> engine_model.LoadReport:
        """Reads an engine's load report.

        Raises:
          errors.CallError: The engine gave no usable answer.
        """
        text = await self._caller.whole(
            endpoint, ("GET", protocol.METRICS_PATH, None)
        )
        return load_report.parse(text)

    async def cache_events(
        self, endpoint: model.Endpoint, after: int
    ) -> engine_model.CacheEvents:
        """Reads the changes of an engine's prefix cache.

        Args:
          endpoint: The engine.
          after: `last_seq` of the events before, 0 at first.

        Returns:
          The events that the engine still has, with any gap flagged.

        Raises:
          errors.CallError: The engine gave no usable answer.
        """
        path = f"{protocol.CACHE_EVENTS_PATH}?after={after}"
        answer = await self._caller.json(endpoint, ("GET", path, None))
        events = engine_caller.checked(
            tuple[engine_model.CacheEvent, ...], answer.get("events")
        )
        return _ordered(events, after)

    async def order(
        self,
        endpoint: model.Endpoint,
        fencing: int,
        target: model.EngineTarget,
    ) -> None:
        """Orders what an engine should be.

        Args:
          endpoint: The engine.
          fencing: The order's fencing number.
          target: What it should be.

        Raises:
          errors.StaleFencing: The engine has seen a higher number.
          errors.CallError: The engine gave no usable answer.
        """
        fields = protocol.order_body(fencing, target)
        await self._caller.json(
            endpoint, ("POST", protocol.ORDERS_PATH, fields)
        )

    async def read_order(
        self, endpoint: model.Endpoint
    ) -> engine_model.EngineOrder:
        """Reads back what is in force at an engine.

        Raises:
          errors.CallError: The engine gave no usable answer.
        """
        answer = await self._caller.json(
            endpoint, ("GET", protocol.ORDERS_PATH, None)
        )
        fencing = answer.pop(protocol.FENCING_FIELD, None)
        return engine_caller.checked(
            engine_model.EngineOrder, {"fencing": fencing, "target": answer}
        )


def _ordered(
    events: tuple[engine_model.CacheEvent, ...], after: int
) -> engine_model.CacheEvents:
    known = {event.seq: event for event in events if event.seq > after}
    last_seq = max(known, default=after)
    return engine_model.CacheEvents(
        events=tuple(known[seq] for seq in sorted(known)),
        last_seq=last_seq,
        gap=len(known) != last_seq - after,
    )
