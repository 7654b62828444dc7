"""HTTP request handlers of the settings process."""

import json
from typing import Any

from tornado import web

from cowsliprill import codec
from cowsliprill import peer_auth
from cowsliprill import peers
from cowsliprill.settings import fetch
from cowsliprill.settings import gossip as gossip_lib
from cowsliprill.settings import parts
from cowsliprill.settings import service as service_lib
from cowsliprill.settings import tree as tree_lib

_MAX_LONG_POLL_S = 30.0
_STATUS_NO_CONTENT = 204
_MAX_PARTS_REPLY_BYTES = 1_000_000


class _Handler(web.RequestHandler):
    def initialize(self, service: service_lib.SettingsService) -> None:
        self.service = service

    def write_signed(self, body: bytes) -> None:
        """Writes a JSON body with a peer signature."""
        self.set_header("Content-Type", "application/json")
        for name, value in self.service.auth.headers(body).items():
            self.set_header(name, value)
        self.write(body)

    def write_error_body(self, status: int, code: str, message: str) -> None:
        """Writes an error response with a code for clients."""
        self.set_status(status)
        self.write({"error": {"code": code, "message": message}})

    def read_body(self, body_type: Any) -> Any:
        """Decodes a signed body; on failure writes an error, returns None."""
        signature = self.request.headers.get(peer_auth.HEADER)
        if not self.service.auth.verify(self.request.body, signature):
            self.write_error_body(
                403, "peer_unknown", "the body isn't signed by a peer"
            )
            return None
        try:
            return codec.decode(body_type, self.request.body)
        except codec.CodecError as error:
            self.write_error_body(400, error.code, str(error))
            return None

    def query_number(self, name: str) -> float:
        """Returns a numeric query argument, 0 if missing or not a number."""
        try:
            return float(self.get_query_argument(name, "0"))
        except ValueError:
            return 0.0

    def wait_s(self) -> float:
        """Returns the long-poll timeout of the request in seconds, capped."""
        return max(0.0, min(self.query_number("wait_s"), _MAX_LONG_POLL_S))


class _SettingsHandler(_Handler):
    async def get(self) -> None:
        known_version = (
            int(self.query_number("have")),
            self.get_query_argument("index", ""),
        )
        head = await self.service.wait_for_head(known_version, self.wait_s())
        if head is None:
            self.set_status(_STATUS_NO_CONTENT)
            return
        self.write_signed(codec.encode(head))


class _PartHandler(_Handler):
    def get(self, text_hash: str) -> None:
        text = self.service.store.text(text_hash)
        if text is None:
            self.write_error_body(404, "part_missing", f"no part {text_hash}")
            return
        self.write_signed(text.encode())


class _PartsHandler(_Handler):
    def post(self) -> None:
        # Needs no signature: only a client with the index knows the hashes.
        try:
            body = fetch.answer_parts_request(
                self.service.store, self.request.body, _MAX_PARTS_REPLY_BYTES
            )
        except codec.CodecError as error:
            self.write_error_body(400, error.code, str(error))
            return
        self.write_signed(body)


class _DocumentHandler(_Handler):
    def get(self) -> None:
        head = self.service.settings.head
        if head is None:
            self.write_error_body(
                503, "no_settings", "no revision is in force yet"
            )
            return
        self.write_signed(self._document(head).encode())

    def _document(self, head: parts.Head) -> str:
        store = self.service.store
        texts = {
            part: store.text(text_hash) or ""
            for part, text_hash in store.hashes_by_part.items()
        }
        tree = json.loads(tree_lib.assemble_document(texts))
        fields = {
            "revision": head.revision,
            "published_by": head.published_by,
            "published_at": head.published_at,
        }
        return json.dumps({**fields, **tree})


class _FleetHandler(_Handler):
    async def get(self) -> None:
        known_version = int(self.query_number("have"))
        fleet = await self.service.wait_for_fleet(known_version, self.wait_s())
        if fleet is None:
            self.set_status(_STATUS_NO_CONTENT)
            return
        self.write_signed(codec.encode(fleet))


class _LeavingHandler(_Handler):
    def post(self) -> None:
        report = self.read_body(service_lib.LeavingReport)
        if report is not None:
            self.service.fleet.report_leaving(report.endpoint_id, report.ttl_s)
            self.write({})


class _ExchangeHandler(_Handler):
    def post(self) -> None:
        message = self.read_body(gossip_lib.ExchangeMessage)
        if message is not None:
            self.service.exchange.receive(message)
            self.write_signed(codec.encode(self.service.exchange.message()))


class _AuditHandler(_Handler):
    def get(self) -> None:
        self.write_signed(json.dumps(self.service.audit.entries()).encode())

    def post(self) -> None:
        entry = self.read_body(dict[str, Any])
        if entry is not None:
            self.service.audit.record_fields(entry)
            self.write({})


def routes(service: service_lib.SettingsService) -> list[tuple]:
    """Returns the Tornado routes of a settings process."""
    options = {"service": service}
    return [
        (peers.SETTINGS_PATH, _SettingsHandler, options),
        (peers.PARTS_PATH, _PartsHandler, options),
        (peers.PARTS_PATH + "/([0-9a-f]+)", _PartHandler, options),
        (peers.DOCUMENT_PATH, _DocumentHandler, options),
        (peers.FLEET_PATH, _FleetHandler, options),
        (peers.LEAVING_PATH, _LeavingHandler, options),
        (peers.EXCHANGE_PATH, _ExchangeHandler, options),
        (peers.AUDIT_PATH, _AuditHandler, options),
    ]
