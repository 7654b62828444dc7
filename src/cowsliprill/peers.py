"""URL paths of the HTTP interfaces between the processes.

Bodies are JSON objects with the field names of the data classes in
`decisions.messages` and in the package that serves the path.

Settings process (one per VM):
  `GET /v1/settings?have=REVISION&index=HASH&wait_s=S` -> long poll; returns
  `settings.parts.Head` as soon as another version is in force, else 204 after
  `wait_s`. `GET /v1/settings/parts/HASH` -> the text of one part;
  `POST /v1/settings/parts` `{"hashes"}` -> `{"texts"}` by hash.
  `GET /v1/settings/document` -> all settings as one document.
  `GET /v1/fleet?have=VERSION&wait_s=S` -> long poll for `model.Fleet`.
  `POST /v1/fleet/leaving` `{"endpoint_id", "ttl_s"}`: reports that an endpoint
  has responded that it is draining; forwarded to peers with this TTL.
  `GET /v1/audit` -> the recent audit entries. `POST /v1/audit` adds entries of
  processes on the same VM.
  `POST /v1/exchange`: request and response are
  `settings.gossip.ExchangeMessage`.
Dispatch process (one per VM):
  `POST /v1/slots` `{"entry", "asks": [SlotDemand], "wait_s"}` ->
  `{"grants": [SlotGrant], "not_home": [endpoint id]}` with `expires_in_s` in
  place of `expires_at`, in seconds since the entry process sent the request.
  `wait_s` makes the call a long poll that waits for a new grant.
  `POST /v1/cancels` `{"cancels": [{"endpoint_id", "request_id"}]}`: hands over
  the cancellations of an entry process that shuts down.
Entry process (several per VM; on the port for peers):
  `GET /v1/incarnation` -> `{"incarnation"}`.
  `POST /v1/forward`: a caller's request whose ticket names this incarnation.
  `POST /v1/relay`: a caller's request that the sender can't serve, since it
  can't reach the endpoints; `entry.relayed_call` describes its headers.
  `POST /v1/relay_stream`: the same for a stream that has begun, which only
  engines of the same software version may continue. VMs of a release that
  doesn't know this have no such path.
Bodies of POST requests, and responses that peers act on, have the header
`X-Peer-Signature` if the VMs share a secret (`peer_auth`).
Router process (one per VM, serves all of the above in one process):
  `POST /v1/cells` `pool_scheduling.wire.SchedulingRequest` ->
  `pool_scheduling.wire.SchedulingResponse`: events of an entry process for a
  pool's coordinator, and the coordinator's decisions.
  `GET /v1/registry?prefix=P&since=R` -> `registry.peer_exchange.WireUpdate`:
  registry changes after R, for VMs that the store rejects as overloaded.
  `POST /v1/quotas` `quotas.wire.UsageReport` ->
  `quotas.wire.UsageResponse`: customers' usage at a VM, for the VM that manages
  their quotas, and the admissible usage.
  `POST /v1/stream_origins` `pool_scheduling.origin_wire.OriginMessage` ->
  `pool_scheduling.origin_wire.OriginAnswer`: software versions that have begun
  streams, for the VMs that may be a pool's coordinator next.
  `GET /v1/placement?pool=P` -> `decisions.placement_preview.Preview`: what
  would become of a request now; further arguments are the fields of
  `pool_scheduling.placement_query.PlacementQuery`. For operators.
Entry and router processes:
  `POST /v1/crashes` `quarantine.wire.CrashExchange` -> the same: ends of
  engines and the requests that may have caused them.
  `POST /v1/rate_limits` `rate_limiting.wire.LimitExchange` -> the same: rate
  limits that endpoints name.
  `POST /v1/leaving_endpoints` `availability.wire.LeavingExchange` -> the same:
  endpoints that have said that they leave.
  `POST /v1/rate_permits` `rate_limiting.wire.PermitCall` ->
  `rate_limiting.wire.PermitAnswer`: asks a pool's coordinator for a permit to
  send a request to one of some limited endpoints; answered when one is due.
  `POST /v1/plain_reports` `plain_admission.wire.CallReport` ->
  `plain_admission.wire.CallVerdict`: calls to an overloaded plain pool, for the
  pool's coordinator, and which of them to admit.
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
RELAY_PATH = "/v1/relay"
RELAY_STREAM_PATH = "/v1/relay_stream"
CELLS_PATH = "/v1/cells"
PLACEMENT_PATH = "/v1/placement"
STREAM_ORIGINS_PATH = "/v1/stream_origins"
QUOTAS_PATH = "/v1/quotas"
REGISTRY_PATH = "/v1/registry"
CRASHES_PATH = "/v1/crashes"
RATE_LIMITS_PATH = "/v1/rate_limits"
LEAVING_ENDPOINTS_PATH = "/v1/leaving_endpoints"
RATE_PERMITS_PATH = "/v1/rate_permits"
PLAIN_REPORTS_PATH = "/v1/plain_reports"
HEALTH_PATH = "/healthz"
READY_PATH = "/readyz"
METRICS_PATH = "/metrics"
STATUS_PATH = "/v1/status"
