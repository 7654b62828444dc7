"""The entry process as a whole: its parts, its start and its end."""

import asyncio
import random
import secrets
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from cowsliprill import clock
from cowsliprill import environment as environment_lib
from cowsliprill import peer_auth
from cowsliprill import process
from cowsliprill.decisions import connection_limits
from cowsliprill.decisions import identity
from cowsliprill.decisions import mechanisms
from cowsliprill.decisions import messages
from cowsliprill.decisions import outlier_detection
from cowsliprill.decisions import retry_budget
from cowsliprill.decisions import tickets
from cowsliprill.engines import engine_client
from cowsliprill.engines import http_client
from cowsliprill.entry import authorization
from cowsliprill.entry import canceller
from cowsliprill.entry import coordinator_client
from cowsliprill.entry import dialect as dialect_lib
from cowsliprill.entry import forward
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import model_relay
from cowsliprill.entry import native
from cowsliprill.entry import placing as placing_lib
from cowsliprill.entry import plain_relay
from cowsliprill.entry import routes
from cowsliprill.entry import world as world_lib
from cowsliprill.entry.filters import admission
from cowsliprill.entry.filters import idempotency
from cowsliprill.entry.filters import identify
from cowsliprill.entry.filters import model_placement
from cowsliprill.entry.filters import plain_placement
from cowsliprill.entry.filters import quota
from cowsliprill.entry.filters import report
from cowsliprill.entry.filters import route
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

_NONCE_BYTES = 4
_SECRET_BYTES = 32
_CANCELS_SETTLE_S = 2.0
_SEED_BITS = 32
_MAX_HEADER_BYTES = 131_072
# Bodies are bounded by the gate, which answers in our own shape.
_MAX_BODY_BYTES = 2**40
_IDLE_CONNECTION_S = 75.0


class Entry:
    """One entry process.

    Args:
      environment: What it was told about itself.
      log: Its log.
      source: Where settings and VM list come from.
      make_dialect: Makes what callers and endpoints are spoken to with.
      make_placing: Makes what decides where model requests run.
      metrics: Its metrics, where other tasks of the process share them.
      quotas: Keeps customers' quotas, None where none are kept.

    Attributes:
      shell: Its servers, health and signals.
      peer_routes: Further tornado routes of the peer port, set before `run`.
      before_drain: Awaited when the process begins to leave.
    """

    def __init__(
        self,
        environment: environment_lib.Environment,
        log: log_lib.Log,
        source: world_lib.Source,
        make_dialect: Callable[[dialect_lib.Tools], dialect_lib.Dialect] = (
            native.make
        ),
        make_placing: placing_lib.MakePlacing = placing_lib.ByLeases,
        metrics: metrics_lib.Metrics | None = None,
        quotas: quota.Admission | None = None,
    ) -> None:
        self._environment = environment
        self._log = log
        self._metrics = metrics or metrics_lib.Metrics()
        seed = environment.seed
        self._random = random.Random(
            secrets.randbits(_SEED_BITS) if seed is None else seed
        )
        self._incarnation = identity.Incarnation(
            environment.vm,
            environment.process,
            secrets.token_hex(_NONCE_BYTES),
        )
        self._auth = peer_auth.PeerAuth(
            environment.peer_secret.get_secret_value()
        )
        self._world = world_lib.World()
        self._budgets = retry_budget.RetryBudgets()
        self._outlier_detector = self._make_outlier_detector()
        self._http = http_client.HttpClient()
        self._dialect = make_dialect(
            dialect_lib.Tools(
                incarnation=self._incarnation,
                http=self._http,
                budgets=self._budgets,
                metrics=self._metrics,
                log=log,
            )
        )
        self._gate = gate_lib.Gate(self._incarnation, self._world)
        homes = coordinator_client.CoordinatorClient(self._http, self._auth)
        self._canceller = self._make_canceller(homes)
        self._placing = make_placing(
            placing_lib.Tools(
                incarnation=self._incarnation,
                availability_zone=environment.availability_zone,
                homes=homes,
                world=self._world,
                canceller=self._canceller,
                metrics=self._metrics,
                log=log,
                random_source=self._random,
            )
        )
        self._scheduling = self._placing.scheduling
        self._source = source
        self._quotas = quotas or quota.Unlimited()
        self._authorization = authorization.Authorization(source, self._world)
        self.shell = process.Process(
            environment=environment,
            log=log,
            metrics=self._metrics,
            unready_reason=self._unready_reason,
            status=self._status,
            drain=self._drain,
        )
        self.peer_routes: list[tuple] = []
        self.before_drain: Callable[[], Awaitable[None]] = _do_nothing
        self._public_server = None
        self._reports: set[asyncio.Task] = set()

    def _make_canceller(
        self, homes: coordinator_client.CoordinatorClient
    ) -> canceller.Canceller | canceller.NoOrders:
        if self._dialect.engines.closing_ends_work:
            return canceller.NoOrders()
        return canceller.Canceller(
            engine_client.EngineClient(self._http),
            homes,
            self._world,
            self._metrics,
            self._log,
            self._random,
        )

    async def run(self) -> None:
        """Serves until a signal, then drains and returns."""
        self._listen()
        self._source.subscribe(self._take_world)
        self._take_world()
        tasks = [
            asyncio.create_task(work)
            for work in (self._source.run(), *self._placing.work())
        ]
        ended = asyncio.create_task(self.shell.run_until_stopped())
        await asyncio.wait([ended, *tasks], return_when=asyncio.FIRST_COMPLETED)
        # A task that ends by itself is a fault of ours. Going on without it
        # would look alive and serve nothing.
        for task in tasks:
            if task.done():
                task.result()
            task.cancel()
        await ended
        self._http.close()

    def _listen(self) -> None:
        # The peer port must be known before the first ticket names it, and
        # tornado takes no call before this method is left.
        ticket_store = tickets.TicketStore(
            self._incarnation,
            self._environment.port,
            secrets.token_bytes(_SECRET_BYTES),
        )
        parts = self._parts(ticket_store)
        self.shell.listen(
            [
                *routes.peer_routes(self._gate, parts, self._auth),
                *self.peer_routes,
            ]
        )
        ticket_store.port = self.shell.port
        self._public_server = self.shell.listen_public(
            self._dialect.application(self._gate, parts),
            max_header_size=_MAX_HEADER_BYTES,
            max_body_size=_MAX_BODY_BYTES,
            idle_connection_timeout=_IDLE_CONNECTION_S,
        )

    def _parts(self, ticket_store: tickets.TicketStore) -> routes.Parts:
        return routes.Parts(
            route=route.Route(self._random),
            identify_by_route=identify.IdentifyByRoute(self._authorization),
            quota=quota.Quota(self._quotas),
            report=report.Report(self._log, self._metrics, self._dialect),
            idempotency=idempotency.Idempotency(
                ticket_store,
                forward.Forwarder(
                    self._http,
                    self._world,
                    self._auth,
                    self._environment.vm,
                    self._random,
                ),
            ),
            admission=admission.Admission(),
            model_placement=model_placement.ModelPlacement(
                self._scheduling, self._budgets, self._log, self._authorization
            ),
            plain_placement=plain_placement.PlainPlacement(
                self._environment.availability_zone,
                self._world,
                self._budgets,
                self._log,
                self._random,
                self._authorization,
                self._outlier_detector,
            ),
            model_relay=model_relay.ModelRelay(
                self._dialect.engines,
                self._scheduling,
                self._placing.permissions,
                self._world,
                self._dialect.resumer,
                self._report_leaving,
                self._log,
            ),
            plain_relay=plain_relay.PlainRelay(self._dialect.services),
            ticket_store=ticket_store,
        )

    def _make_outlier_detector(self) -> outlier_detection.OutlierDetector:
        disabled = self._environment.mechanisms_off
        if mechanisms.Mechanism.OUTLIER_DETECTION in disabled:
            return outlier_detection.FixedEjectionDetector()
        return outlier_detection.OutlierDetector()

    def _take_world(self) -> None:
        snapshot = self._source.snapshot
        self._world.update(snapshot, self._source.fleet)
        self._http.limits_by_address = connection_limits.limits_for_endpoints(
            snapshot, self._source.fleet
        )
        self._placing.world_changed(snapshot)
        self._budgets.keep_only(snapshot.services_by_id.values())
        self._outlier_detector.retain(snapshot.endpoints_by_id.keys())
        self._metrics.revision.set({}, snapshot.revision)
        if self._public_server is not None:
            # tornado asks for it before each call that a connection brings.
            parameters = self._public_server.conn_params
            parameters.header_timeout = snapshot.limits.idle_timeout_s
        self._announce_world()

    def _announce_world(self) -> None:
        fleet = self._world.fleet_at(clock.now())
        self._scheduling.post(
            messages.ClusterStateChanged(self._world.snapshot, fleet)
        )

    def _report_leaving(self, endpoint_id: str, ttl_s: float) -> None:
        now = clock.now()
        if self._world.is_leaving(endpoint_id, now):
            return
        self._log.event("endpoint_leaving", endpoint=endpoint_id)
        self._world.note_leaving(endpoint_id, now + ttl_s)
        self._announce_world()
        # The scheduler has to hear too when the news expire.
        asyncio.get_running_loop().call_later(ttl_s, self._announce_world)
        # The request that met the draining answer doesn't wait for the report.
        report = asyncio.create_task(
            self._source.report_leaving(endpoint_id, ttl_s)
        )
        self._reports.add(report)
        report.add_done_callback(self._reports.discard)

    def _unready_reason(self) -> str:
        if self._gate.draining:
            return "draining"
        if not self._world.snapshot.revision:
            return "no settings yet"
        keys_required = self._world.snapshot.keys_required
        if keys_required and not self._source.accepts_api_keys():
            return "settings unconfirmed"
        return ""

    def _status(self) -> dict[str, Any]:
        return {
            "incarnation": str(self._incarnation),
            "revision": self._world.snapshot.revision,
            "requests": len(self._gate.tasks),
            "buffered_bytes": self._gate.buffered_bytes,
            "pending_cancels": self._canceller.pending,
            "draining": self._gate.draining,
        }

    async def _drain(self) -> None:
        """Leaves without cutting a request.

        The balancer goes on sending connections until it has seen that the
        process isn't ready; closing the port before would refuse them.
        """
        notice_s = self._environment.drain_notice_s
        self._gate.draining = True
        await self.before_drain()
        await asyncio.sleep(notice_s)
        self._gate.closed = True
        self._public_server.stop()
        cut = await self._gate.wait_until_empty(
            self._environment.drain_limit_s - notice_s
        )
        if cut:
            self._log.warning("requests_cut", requests=cut)
            self._gate.cut()
        await self._canceller.settle(_CANCELS_SETTLE_S)
        await self._placing.hand_back()


async def _do_nothing() -> None:
    pass
