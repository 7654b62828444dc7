"""Paths and addresses of the interfaces between our own processes.

All are HTTP with JSON. Bodies are the data classes of
`decisions.messages` and of the package that serves the path, as JSON objects
with the same field names.

Settings process (one a VM):
  `GET /v1/settings?have=REVISION&wait_s=S` -> `{"revision", "document"}` as
  soon as a revision above `have` is in force, else after `wait_s` with 204.
  `GET /v1/fleet?have=VERSION&wait_s=S` -> the `model.Fleet` as JSON, likewise.
  `POST /v1/fleet/leaving` `{"endpoint_id", "ttl_s"}`: an endpoint gave a
  draining answer; passed on to peers with its own expiry.
  `GET /v1/audit` -> the recent audit entries. `POST /v1/audit` takes entries
  of the local processes.
Dispatch process (one a VM):
  `POST /v1/slots` `{"entry", "asks": [SlotAsk], "wait_s"}` ->
  `{"grants": [SlotGrant], "not_home": [endpoint id]}` with `expires_in_s` in
  place of `expires_at`; the entry counts it from when it sent the ask. With
  `wait_s` the answer is held back while there is nothing new to grant.
  `POST /v1/cancels` `{"cancels": [{"endpoint_id", "request_id"}]}`: cancel
  orders taken over from an entry that leaves.
Entry process (several a VM; the peer port):
  `GET /v1/incarnation` -> `{"incarnation"}`.
  `POST /v1/forward`: a caller's request whose ticket names this incarnation.
All processes: `GET /healthz`, `GET /readyz`, `GET /metrics`, `GET /v1/status`.
"""

SETTINGS_PATH = "/v1/settings"
FLEET_PATH = "/v1/fleet"
LEAVING_PATH = "/v1/fleet/leaving"
AUDIT_PATH = "/v1/audit"
SLOTS_PATH = "/v1/slots"
CANCELS_PATH = "/v1/cancels"
INCARNATION_PATH = "/v1/incarnation"
FORWARD_PATH = "/v1/forward"
HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
METRICS_PATH = "/metrics"
STATUS_PATH = "/v1/status"
