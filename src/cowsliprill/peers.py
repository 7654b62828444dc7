"""Paths and addresses of the interfaces between our own processes.

All are HTTP with JSON. Bodies are the data classes of
`decisions.messages` and of the package that serves the path, as JSON objects
with the same field names.

Settings process (one a VM):
  `GET /v1/settings?have=REVISION&index=HASH&wait_s=S` ->
  `settings.parts.Head` as soon as another version is in force, else after
  `wait_s` with 204. `GET /v1/settings/parts/HASH` -> one part's text;
  `POST /v1/settings/parts` `{"hashes"}` -> `{"texts"}` by hash.
  `GET /v1/settings/document` -> the whole tree.
  `GET /v1/fleet?have=VERSION&wait_s=S` -> the `model.Fleet` as JSON, likewise.
  `POST /v1/fleet/leaving` `{"endpoint_id", "ttl_s"}`: an endpoint gave a
  draining answer; passed on to peers with its own expiry.
  `GET /v1/audit` -> the recent audit entries. `POST /v1/audit` takes entries
  of the local processes.
  `POST /v1/exchange` takes and answers `settings.exchange.Exchange`.
Dispatch process (one a VM):
  `POST /v1/slots` `{"entry", "asks": [SlotDemand], "wait_s"}` ->
  `{"grants": [SlotGrant], "not_home": [endpoint id]}` with `expires_in_s` in
  place of `expires_at`; the entry counts it from when it sent the ask. With
  `wait_s` the answer is held back while there is nothing new to grant.
  `POST /v1/cancels` `{"cancels": [{"endpoint_id", "request_id"}]}`: cancel
  orders taken over from an entry that leaves.
Entry process (several a VM; the peer port):
  `GET /v1/incarnation` -> `{"incarnation"}`.
  `POST /v1/forward`: a caller's request whose ticket names this incarnation.
Bodies of POST, and answers that peers act on, carry `X-Peer-Signature` where
the VMs share a secret (`peer_auth`).
Router process (one a VM, all of the above in one):
  `POST /v1/cells` `pool_scheduling.wire.SchedulingRequest` ->
  `pool_scheduling.wire.SchedulingResponse`: an entry's events for the home of a
  pool, and the home's decisions. `GET /v1/registry?prefix=P&since=R` ->
  `registry.peers.WireUpdate`: what the asker lacks of the registry, for VMs
  that the store turns away. `POST /v1/quotas` `quotas.wire.UsageReport` ->
  `quotas.wire.UsageResponse`: what customers use at a VM, for the owner of
  their quotas, and what may be admitted.
All processes: `GET /healthz`, `GET /readyz`, `GET /metrics`, `GET /v1/status`.
"""

SETTINGS_PATH = "/v1/settings"
PARTS_PATH = "/v1/settings/parts"
DOCUMENT_PATH = "/v1/settings/document"
EXCHANGE_PATH = "/v1/exchange"
FLEET_PATH = "/v1/fleet"
LEAVING_PATH = "/v1/fleet/leaving"
AUDIT_PATH = "/v1/audit"
SLOTS_PATH = "/v1/slots"
CANCELS_PATH = "/v1/cancels"
INCARNATION_PATH = "/v1/incarnation"
FORWARD_PATH = "/v1/forward"
CELLS_PATH = "/v1/cells"
QUOTAS_PATH = "/v1/quotas"
REGISTRY_PATH = "/v1/registry"
HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
METRICS_PATH = "/metrics"
STATUS_PATH = "/v1/status"
