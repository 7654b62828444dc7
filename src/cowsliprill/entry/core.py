"""The entry process: wiring of its components, startup and shutdown."""

import asyncio
import random
import secrets
from collections.abc import Awaitable
from collections.abc import Callable
from typing import Any

from cowsliprill import buffer_budget
from cowsliprill import clock
from cowsliprill import environment as environment_lib
from cowsliprill import peer_auth
from cowsliprill import process
from cowsliprill import record_exchange
from cowsliprill.decisions import connection_limits
from cowsliprill.decisions import identity
from cowsliprill.decisions import mechanisms
from cowsliprill.decisions import messages
from cowsliprill.decisions import model
from cowsliprill.decisions import outlier_detection
from cowsliprill.decisions import quarantine
from cowsliprill.decisions import request_fingerprint
from cowsliprill.decisions import retry_budget
from cowsliprill.decisions import route_changes
from cowsliprill.decisions import tickets
from cowsliprill.engines import engine_client
from cowsliprill.engines import http_client
from cowsliprill.entry import authorization
from cowsliprill.entry import availability_components
from cowsliprill.entry import caller_server
from cowsliprill.entry import canceller
from cowsliprill.entry import cluster_state as cluster_state_lib
from cowsliprill.entry import coordinator_client
from cowsliprill.entry import dialect as dialect_lib
from cowsliprill.entry import endpoint_permits
from cowsliprill.entry import engine_silence
from cowsliprill.entry import gate as gate_lib
from cowsliprill.entry import model_relay
from cowsliprill.entry import native
from cowsliprill.entry import path_monitor
from cowsliprill.entry import peer_paths as peer_paths_lib
from cowsliprill.entry import peer_relay
from cowsliprill.entry import placement_backend as backend_lib
from cowsliprill.entry import plain_admission_components
from cowsliprill.entry import plain_relay
from cowsliprill.entry import quarantine_components
from cowsliprill.entry import rate_limit_components
from cowsliprill.entry import relayed_call
from cowsliprill.entry import routes
from cowsliprill.entry import ticket_forwarding
from cowsliprill.entry.filters import admission
from cowsliprill.entry.filters import failover
from cowsliprill.entry.filters import fingerprint
from cowsliprill.entry.filters import idempotency
from cowsliprill.entry.filters import identify
from cowsliprill.entry.filters import model_placement
from cowsliprill.entry.filters import plain_placement
from cowsliprill.entry.filters import prompt_parts
from cowsliprill.entry.filters import quota
from cowsliprill.entry.filters import report
from cowsliprill.entry.filters import route
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib

_NONCE_BYTES = 4
_SECRET_BYTES = 32
_CANCEL_FLUSH_TIMEOUT_S = 2.0
_SEED_BITS = 32
_MAX_HEADER_BYTES = 131_072
# tornado's own limit is out of reach: the request gate limits bodies and
# responds with an error in the API's format.
_MAX_BODY_BYTES = 2**40
# Callers that don't read their error within this time are disconnected.
_INTERRUPT_TIMEOUT_S = 0.1


class Entry:
    """One entry process.

    Args:
      environment: Configuration of the process.
      log: Log of the process.
      source: Provides settings and VM list.
      make_dialect: Creates the dialect spoken with callers and endpoints.
      make_backend: Creates the component that places model requests on engines.
      metrics: Metrics of the process, None to create new ones.
      quotas: Enforces the customers' quotas, None for no quotas.
      reachable_fraction: Returns the fraction of the known VMs that this VM
        receives heartbeats from.
      peer_paths: Exchange of lost paths with the peers, None for no exchange.

    Attributes:
      rate_limits: Rate limits that endpoints name.
      availability: Endpoints that say that they leave or want a pause.
      crash_ledger: Ends of engines, with the requests that may be the cause.
      shell: HTTP servers, health checks and signal handling of the process.
      peer_routes: Additional tornado routes of the peer port, to be set before
        `run`.
      before_drain: Awaited when shutdown begins.
    """

    def __init__(
        self,
        environment: environment_lib.Environment,
        log: log_lib.Log,
        source: cluster_state_lib.ClusterStateSource,
        make_dialect: Callable[
            [dialect_lib.Dependencies], dialect_lib.Dialect
        ] = (native.make),
        make_backend: backend_lib.MakeBackend = backend_lib.LeasePlacement,
        metrics: metrics_lib.Metrics | None = None,
        quotas: quota.Admission | None = None,
        reachable_fraction: Callable[[], float] = lambda: 1.0,
        peer_paths: peer_paths_lib.PeerPaths | None = None,
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
        self._cluster_state = cluster_state_lib.ClusterState()
        self.route_changes = route_changes.RouteChanges()
        self._budgets = retry_budget.RetryBudgets()
        self._outlier_detector = self._make_outlier_detector()
        self._buffer_budget = buffer_budget.BufferBudget(
            buffer_budget.response_bytes(environment.memory_mb)
        )
        self._http = http_client.HttpClient(self._buffer_budget)
        self._peer_paths = peer_paths or peer_paths_lib.NoPeerPaths()
        self._paths = path_monitor.PathMonitor(
            self._http, log, self._metrics, self._random, self._peer_paths
        )
        homes = coordinator_client.CoordinatorClient(self._http, self._auth)
        self._peer_network = record_exchange.Network(
            vm_id=environment.vm,
            own_port=lambda: self.shell.port,
            cluster_state=self._cluster_state,
            client=homes,
            rng=self._random,
        )
        self.rate_limits = rate_limit_components.RateLimitComponents(
            str(self._incarnation),
            self._auth,
            self._peer_network,
            reachable_fraction,
            log,
            self._metrics,
            self._random,
            enabled=mechanisms.Mechanism.RATE_LIMITS
            not in environment.mechanisms_off,
        )
        self.availability = availability_components.AvailabilityComponents(
            self.rate_limits.ledger,
            self._auth,
            self._peer_network,
            log,
            self._metrics,
            enabled=mechanisms.Mechanism.AVAILABILITY
            not in environment.mechanisms_off,
        )
        self._plain_admission = (
            plain_admission_components.PlainAdmissionComponents(
                str(self._incarnation),
                self._auth,
                self._peer_network,
                log,
                self._metrics,
                self._random,
                enabled=environment.overload_control,
            )
        )
        self._dialect = make_dialect(
            dialect_lib.Dependencies(
                incarnation=self._incarnation,
                http=self._http,
                budgets=self._budgets,
                metrics=self._metrics,
                log=log,
                feedback=self.availability.feedback,
                overload_control=environment.overload_control,
            )
        )
        self._gate = gate_lib.Gate(
            self._incarnation,
            self._cluster_state,
            max_buffered_bytes=buffer_budget.body_bytes(environment.memory_mb),
        )
        self._canceller = self._make_canceller(homes)
        self._placement_backend = make_backend(
            backend_lib.Dependencies(
                incarnation=self._incarnation,
                availability_zone=environment.availability_zone,
                homes=homes,
                cluster_state=self._cluster_state,
                canceller=self._canceller,
                metrics=self._metrics,
                log=log,
                random_source=self._random,
            )
        )
        self._scheduling = self._placement_backend.scheduling
        if self.rate_limits.enabled:
            self.rate_limits.ledger.subscribe(
                lambda _: self._placement_backend.set_rate_limits(
                    self.rate_limits.ledger.table
                )
            )
        if self.availability.enabled:
            self.availability.ledger.subscribe(self._apply_availability)
        self._quarantine = quarantine_components.QuarantineComponents(
            environment,
            self._cluster_state,
            self._http,
            self._auth,
            self._peer_network,
            log,
            self._metrics,
            lists_ends=source.lists_ends,
        )
        self.crash_ledger = self._quarantine.ledger
        self.crash_ledger.subscribe(self._placement_backend.add_crash_records)
        self._source = source
        self._quotas = quotas or quota.Unlimited()
        self._authorization = authorization.Authorization(
            source, self._cluster_state
        )
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
        self._leaving_reports: set[asyncio.Task] = set()

    def _make_canceller(
        self, homes: coordinator_client.CoordinatorClient
    ) -> canceller.Canceller | canceller.NoOpCanceller:
        if self._dialect.engines.disconnect_cancels:
            return canceller.NoOpCanceller()
        return canceller.Canceller(
            engine_client.EngineClient(self._http),
            homes,
            self._cluster_state,
            self._metrics,
            self._log,
            self._random,
        )

    async def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then drains and returns.

        Raises:
          Exception: A background task has failed.
        """
        self._listen()
        self._source.subscribe(self._apply_cluster_state)
        self._apply_cluster_state()
        tasks = [
            asyncio.create_task(background_work)
            for background_work in (
                self._source.run(),
                *self._placement_backend.background_work(),
                *self._quarantine.background_work(),
                *self.rate_limits.background_work(),
                *self.availability.background_work(),
                *self._plain_admission.background_work(),
                self._paths.run(),
            )
        ]
        ended = asyncio.create_task(self.shell.run_until_stopped())
        await asyncio.wait([ended, *tasks], return_when=asyncio.FIRST_COMPLETED)
        # A background task that ends by itself is a bug. Without the task the
        # process would pass health checks but serve nothing.
        for task in tasks:
            if task.done():
                task.result()
            task.cancel()
        await ended
        self._http.close()

    def _listen(self) -> None:
        # The store gets the peer port only after it is bound. No ticket can
        # name a wrong port: tornado accepts no request before this method
        # returns.
        ticket_store = tickets.TicketStore(
            self._incarnation,
            self._environment.port,
            secrets.token_bytes(_SECRET_BYTES),
        )
        components = self._make_components(ticket_store)
        self.shell.listen(
            [
                *routes.peer_routes(self._gate, components, self._auth),
                *routes.relay_routes(
                    self._gate,
                    self._dialect.relayed_chain(components),
                    self._auth,
                ),
                *self._quarantine.peer_routes(),
                *self.rate_limits.peer_routes(),
                *self.availability.peer_routes(),
                *self._plain_admission.peer_routes(),
                *self.peer_routes,
            ]
        )
        ticket_store.port = self.shell.port
        self._public_server = caller_server.CallerServer(
            self._dialect.application(self._gate, components),
            limits=self._source.snapshot.limits,
            metrics=self._metrics,
            budget=self._buffer_budget,
            max_header_size=_MAX_HEADER_BYTES,
            max_body_size=_MAX_BODY_BYTES,
        )
        self.shell.listen_public(self._public_server)

    def _make_components(
        self, ticket_store: tickets.TicketStore
    ) -> routes.Components:
        fingerprinter = request_fingerprint.Fingerprinter(
            self._environment.peer_secret.get_secret_value()
        )
        return routes.Components(
            route=route.Route(self._random),
            identify_by_route=identify.IdentifyByRoute(self._authorization),
            fingerprint=fingerprint.Fingerprint(fingerprinter),
            prompt_parts=prompt_parts.PromptParts(fingerprinter),
            quota=quota.Quota(self._quotas),
            report=report.Report(self._log, self._metrics, self._dialect),
            relayed_report=report.Report(
                self._log, self._metrics, relayed_call.ErrorFormatter()
            ),
            idempotency=idempotency.Idempotency(
                ticket_store,
                ticket_forwarding.TicketForwarder(
                    self._http,
                    self._cluster_state,
                    self._auth,
                    self._environment.vm,
                    self._random,
                ),
            ),
            admission=admission.Admission(),
            failover=failover.Failover(self._paths, self._make_peer_relay()),
            model_placement=model_placement.ModelPlacement(
                self._scheduling,
                self._budgets,
                self._log,
                self._authorization,
                self._quarantine.check,
                self._paths,
                route_changes=self.route_changes,
            ),
            plain_placement=plain_placement.PlainPlacement(
                self._environment.availability_zone,
                self._cluster_state,
                self._budgets,
                self._log,
                self._random,
                self._authorization,
                self._quarantine.check,
                self._paths,
                self._outlier_detector,
                self.rate_limits.permits,
                self.availability.endpoints,
                self._plain_admission.calls,
            ),
            model_relay=model_relay.ModelRelay(
                self._dialect.engines,
                self._scheduling,
                self._placement_backend.permissions,
                self._cluster_state,
                self._dialect.resumer,
                self._report_leaving,
                self._log,
                self._quarantine.check,
                engine_silence.SilenceMonitor(
                    self._dialect.engines.probe, self._log, self._metrics
                ),
                self._engine_permits(),
            ),
            plain_relay=plain_relay.PlainRelay(self._dialect.services),
            ticket_store=ticket_store,
        )

    def _engine_permits(self) -> endpoint_permits.EndpointPermits:
        if self._placement_backend.keeps_rate_limits:
            return endpoint_permits.Unlimited()
        return self.rate_limits.permits

    def _make_peer_relay(self) -> peer_relay.PeerRelay | None:
        if mechanisms.Mechanism.PEER_RELAY in self._environment.mechanisms_off:
            return None
        return peer_relay.PeerRelay(
            self._environment.vm,
            self._environment.availability_zone,
            self._http,
            self._auth,
            self._cluster_state,
            self._log,
            self._metrics,
            self._random,
            self._peer_paths,
        )

    def _make_outlier_detector(self) -> outlier_detection.OutlierDetector:
        disabled = self._environment.mechanisms_off
        if mechanisms.Mechanism.OUTLIER_DETECTION in disabled:
            return outlier_detection.FixedEjectionDetector()
        return outlier_detection.OutlierDetector()

    def _apply_cluster_state(self) -> None:
        snapshot = self._source.snapshot
        self._forget_restarted(snapshot)
        self.route_changes.update(snapshot, clock.now())
        self._cluster_state.update(snapshot, self._source.fleet)
        self._quarantine.cluster_state_changed()
        self.rate_limits.cluster_state_changed()
        self._plain_admission.cluster_state_changed()
        if self.availability.enabled and len(self.availability.ledger.pauses):
            self._apply_availability()
        self._http.limits_by_address = connection_limits.limits_for_endpoints(
            snapshot, self._source.fleet
        )
        self._paths.update(snapshot)
        self._placement_backend.cluster_state_changed(snapshot)
        self._budgets.keep_only(snapshot.services_by_id.values())
        self._outlier_detector.retain(snapshot.endpoints_by_id.keys())
        self._metrics.revision.set({}, snapshot.revision)
        if self._public_server is not None:
            self._public_server.limits = snapshot.limits
        self._notify_scheduler()

    def _forget_restarted(self, snapshot: model.Snapshot) -> None:
        """Drops what is known of endpoints that have restarted."""
        restarted = {
            endpoint_id
            for endpoint_id, former in (
                self._cluster_state.snapshot.endpoints_by_id.items()
            )
            if (current := snapshot.endpoints_by_id.get(endpoint_id))
            and current.life != former.life
        }
        if not restarted:
            return
        ids = snapshot.endpoints_by_id.keys() - restarted
        self._outlier_detector.retain(ids)
        for endpoint_id in restarted:
            endpoint = snapshot.endpoints_by_id[endpoint_id]
            # A connection of the former process fails only when it is used.
            self._http.close_idle(endpoint.host, endpoint.port)

    def _apply_availability(self) -> None:
        # An engine that is back under its id hasn't asked for a pause.
        endpoints_by_id = self._cluster_state.snapshot.endpoints_by_id
        self._placement_backend.set_unavailable(
            self.availability.ledger.paused_until_by_id(endpoints_by_id)
        )

    def _notify_scheduler(self) -> None:
        fleet = self._cluster_state.fleet_at(clock.now())
        self._scheduling.post(
            messages.ClusterStateChanged(self._cluster_state.snapshot, fleet)
        )

    def _report_leaving(self, endpoint_id: str, ttl_s: float) -> None:
        now = clock.now()
        if self._cluster_state.is_leaving(endpoint_id, now):
            return
        self._log.event("endpoint_leaving", endpoint=endpoint_id)
        self._cluster_state.mark_leaving(endpoint_id, now + ttl_s)
        self._notify_scheduler()
        # The scheduler must also be notified when the leaving mark expires.
        asyncio.get_running_loop().call_later(ttl_s, self._notify_scheduler)
        # Published in a task of its own, so that the request whose response
        # revealed the draining endpoint doesn't wait.
        report_task = asyncio.create_task(
            self._source.report_leaving(endpoint_id, ttl_s)
        )
        self._leaving_reports.add(report_task)
        report_task.add_done_callback(self._leaving_reports.discard)

    def set_quarantine_limits(self, limits: quarantine.Limits) -> None:
        """Applies new limits of the quarantine of requests."""
        self._quarantine.set_limits(limits)

    def _unready_reason(self) -> str:
        if self._gate.draining:
            return "draining"
        if not self._cluster_state.snapshot.revision:
            return "no settings yet"
        keys_required = self._cluster_state.snapshot.keys_required
        if keys_required and not self._source.accepts_api_keys():
            return "settings unconfirmed"
        return ""

    def _status(self) -> dict[str, Any]:
        return {
            "incarnation": str(self._incarnation),
            "revision": self._cluster_state.snapshot.revision,
            "requests": len(self._gate.tasks),
            "buffered_bytes": self._gate.buffered_bytes,
            "pending_cancels": self._canceller.pending,
            "draining": self._gate.draining,
        }

    async def _drain(self) -> None:
        """Shuts down gracefully.

        The port stays open for the drain notice, because the load balancer
        sends connections until its readiness check fails; closing the port
        earlier would refuse these. Requests still in flight at the drain limit
        are ended with an error.
        """
        notice_s = self._environment.drain_notice_s
        self._gate.draining = True
        await self.before_drain()
        await asyncio.sleep(notice_s)
        self._gate.closed = True
        self._public_server.stop()
        remaining = await self._gate.wait_until_idle(
            self._environment.drain_limit_s - notice_s
        )
        if remaining:
            self._log.warning("requests_cut", requests=remaining)
            self._gate.interrupt_all()
            await self._gate.wait_until_idle(_INTERRUPT_TIMEOUT_S)
            self._gate.abort_all()
        await self._canceller.drain(_CANCEL_FLUSH_TIMEOUT_S)
        await self._placement_backend.release_leases()
        # Requests that were refused meanwhile.
        await self._gate.wait_until_idle(_INTERRUPT_TIMEOUT_S)


async def _do_nothing() -> None:
    pass
