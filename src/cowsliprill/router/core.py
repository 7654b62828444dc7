"""Composition of the router process: construction, startup and shutdown."""

import asyncio
import random
import signal
import sys
import time
from collections.abc import Awaitable
from collections.abc import Iterable
from typing import Any

from cowsliprill import clock
from cowsliprill import errors
from cowsliprill import peer_auth
from cowsliprill import peer_handler
from cowsliprill import peers
from cowsliprill.decisions import freshness
from cowsliprill.decisions import mechanisms
from cowsliprill.decisions import member_records
from cowsliprill.decisions import membership
from cowsliprill.decisions import model
from cowsliprill.decisions import stream_origins
from cowsliprill.decisions import version_history
from cowsliprill.engines import http_client
from cowsliprill.entry import coordinator_client
from cowsliprill.entry import core as entry_core
from cowsliprill.entry import placement_backend
from cowsliprill.membership import agent as agent_lib
from cowsliprill.membership import member_paths
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.observability import writer
from cowsliprill.platform import catalog
from cowsliprill.platform import dialect
from cowsliprill.platform import engine_contents
from cowsliprill.platform import orders
from cowsliprill.platform import store as store_lib
from cowsliprill.pool_scheduling import caller as coordinator_caller
from cowsliprill.pool_scheduling import client as scheduling_client
from cowsliprill.pool_scheduling import engine_survey
from cowsliprill.pool_scheduling import list_confirmation
from cowsliprill.pool_scheduling import origin_exchange
from cowsliprill.pool_scheduling import origin_wire
from cowsliprill.pool_scheduling import placement_handler
from cowsliprill.pool_scheduling import server as server_lib
from cowsliprill.pool_scheduling import version_recovery
from cowsliprill.pool_scheduling import wire as scheduling_wire
from cowsliprill.quotas import usage_handler as usage_handler_lib
from cowsliprill.quotas import usage_reporter as usage_reporter_lib
from cowsliprill.quotas import wire as quota_wire
from cowsliprill.registry import peer_exchange as peer_exchange_lib
from cowsliprill.registry import source as source_lib
from cowsliprill.router import config as config_lib
from cowsliprill.router import gauges
from cowsliprill.router import roles as roles_lib

# Maximum time in seconds that shutdown waits until the log's reader has taken
# the remaining lines.
_LOG_DRAIN_TIMEOUT_S = 0.2

# Interval at which the configuration file is checked; it may change without a
# SIGHUP.
_CONFIG_CHECK_INTERVAL_S = 1.0


class Router:
    """One router process.

    Args:
      config: Startup configuration of the process.
      log: The process's log.
      output: Writer of the log, None in tests.
    """

    def __init__(
        self,
        config: config_lib.RouterConfig,
        log: log_lib.Log,
        output: writer.NonBlockingWriter | None = None,
    ) -> None:
        self._config = config
        self._log = log
        self._output = output
        self._metrics = metrics_lib.Metrics()
        rng = random.Random()
        host, port = config.public[0], config.peer_ports[0]
        own = member_records.Record(
            id=config.vm,
            host=host,
            port=port,
            availability_zone=config.availability_zone,
            incarnation=time.time_ns() // 1_000_000,
            cores=config.cores(),
        )
        self._members = membership.Membership(own, self._seeds(config), rng)
        history = version_history.VersionHistory(
            complete=config.knows_all_streams(), past_readable=True
        )
        knows_versions = (
            mechanisms.Mechanism.STREAM_VERSIONS not in config.mechanisms_off
        )
        self._source = source_lib.RegistrySource(
            store_lib.MetadataStore(
                http_client.HttpClient(), *config.store, log
            ),
            catalog.Catalog(
                config.retry_budget_ratio, config.retry_budget_slack
            ),
            self._members,
            log,
            rng,
            config.mechanisms_off,
            freshness.Freshness(config.key_revocation_s()),
            history if knows_versions else None,
        )
        self._agent = agent_lib.GossipAgent(
            self._members, self._source.newest, log
        )
        self._scheduling: scheduling_client.PoolSchedulingClient
        self._origins = (
            stream_origins.StreamOrigins(
                history, self._source.endpoints_confirmed_at
            )
            if knows_versions
            else stream_origins.StreamOrigins(history)
        )
        self._version_recovery = version_recovery.VersionRecovery(
            history, self._source.recent_versions.read, log
        )
        self._origin_exchange = origin_exchange.OriginExchange(
            config.vm,
            self._origins,
            coordinator_client.CoordinatorClient(
                http_client.HttpClient(), peer_auth.PeerAuth(config.peer_secret)
            ),
            log,
            engine_survey.EngineSurvey(
                engine_contents.EngineContentsReader(
                    http_client.HttpClient()
                ).read,
                self._endpoints,
                log,
            ),
            list_confirmation.ListConfirmation(
                self._source.confirm_endpoints,
                self._source.endpoints_confirmed_at,
                log,
            ),
        )
        self._pool_schedulers = server_lib.PoolSchedulerServer(
            config.vm,
            config.availability_zone,
            rng,
            log,
            self._origin_exchange,
            overload_control=config.controls_overload(),
        )
        self._usage_handler = usage_handler_lib.UsageReportHandler(
            config.quota_tolerance(),
            self._members.reachable_fraction,
            log,
            self._metrics,
        )
        self._quotas = usage_reporter_lib.UsageReporter(
            config.vm,
            f"{config.vm}.{own.incarnation}",
            self._usage_handler,
            coordinator_client.CoordinatorClient(
                http_client.HttpClient(), peer_auth.PeerAuth(config.peer_secret)
            ),
            log,
            rng,
        )
        self._entry = entry_core.Entry(
            config.environment(),
            log,
            self._source,
            dialect.PlatformDialect,
            self._create_placement,
            self._metrics,
            self._quotas,
            self._members.reachable_fraction,
            member_paths.MemberPaths(self._members, self._agent.publish),
        )
        self._entry.route_changes.enabled = knows_versions
        self._entry.peer_routes = self._peer_routes()
        if self._entry.rate_limits.enabled:
            ledger = self._entry.rate_limits.ledger
            ledger.subscribe(
                lambda _: self._pool_schedulers.set_rate_limits(ledger.table)
            )
        self._pool_schedulers.crash_records = lambda: (
            self._entry.crash_ledger.table
        )
        self._entry.crash_ledger.subscribe(
            self._pool_schedulers.add_crash_records
        )
        if self._entry.availability.enabled:
            self._entry.availability.ledger.subscribe(self._apply_leaving)
        self._entry.before_drain = self._agent.leave
        self._roles = roles_lib.RoleController(
            self._source,
            self._members,
            self._agent.publish,
            orders.Orders(
                http_client.HttpClient(), self._entry.availability.feedback
            ),
            self._scheduling,
            log,
        )

        self._gauges = gauges.GaugeSampler(
            self._metrics,
            self._members,
            self._source,
            self._pool_schedulers,
            log,
            output,
        )

    async def run(self) -> None:
        """Serves until a stop signal, then drains and returns."""
        self._agent.subscribe(self._on_members_changed)
        self._source.subscribe(self._on_cluster_state_changed)
        self._source.subscribe_revisions(self._agent.publish_newest)
        self._entry.shell.listen_ready(*self._config.ready)
        tasks = [
            asyncio.create_task(coroutine) for coroutine in self._coroutines()
        ]
        entry_task = asyncio.create_task(self._entry.run())
        await asyncio.wait(
            [entry_task, *tasks], return_when=asyncio.FIRST_COMPLETED
        )
        # No background task ends by itself without a fault. Its exception is
        # raised here, because without the task the process would look alive but
        # not serve; see `Entry.run`.
        for task in tasks:
            if task.done():
                task.result()
        await entry_task

    def _coroutines(self) -> list[Awaitable[None]]:
        coroutines = [
            self._agent.run(),
            self._pool_schedulers.run(),
            self._origin_exchange.run(),
            self._version_recovery.run(),
            self._gauges.run(),
            self._quotas.run(),
            self._watch_config_file(),
        ]
        disabled = self._config.mechanisms_off
        if mechanisms.Mechanism.ROLE_ORDERS not in disabled:
            coroutines.append(self._roles.run())
        return coroutines

    async def _watch_config_file(self) -> None:
        """Reloads the configuration file on SIGHUP or when it changes."""
        path = self._config.path
        if path is None:
            return await asyncio.Event().wait()
        hangup = asyncio.Event()
        loop = asyncio.get_running_loop()
        loop.add_signal_handler(signal.SIGHUP, hangup.set)
        text = path.read_bytes()
        while True:
            try:
                async with asyncio.timeout(_CONFIG_CHECK_INTERVAL_S):
                    await hangup.wait()
            except TimeoutError:
                pass
            hangup.clear()
            try:
                latest = path.read_bytes()
            except OSError as error:
                self._log.warning("file_unreadable", reason=str(error))
                continue
            if latest != text:
                text = latest
                self._reload()

    def _reload(self) -> None:
        # Listening addresses can't change while the process runs. Seeds let a
        # VM that lost contact with all others find them again, and operators
        # release quarantined requests.
        try:
            config = config_lib.load(self._config.path)
        except errors.CowsliprillError as error:
            self._log.warning("file_unreadable", reason=error.message)
            return
        self._config = config
        self._members.seeds = tuple(self._seeds(config))
        self._entry.set_quarantine_limits(
            config.environment().quarantine_limits()
        )
        self._log.event("file_reloaded", seeds=len(config.seeds))

    @staticmethod
    def _seeds(config: config_lib.RouterConfig) -> list[member_records.Address]:
        return [(host, config.peer_ports[0]) for host, _ in config.seeds]

    @property
    def public_port(self) -> int:
        """Port for callers, known once the process serves."""
        return self._entry.shell.public_port

    def accepts_api_keys(self) -> bool:
        """Returns whether API keys are currently accepted."""
        return self._source.accepts_api_keys()

    def status(self) -> dict[str, Any]:
        """Returns the body of `GET /v1/status`."""
        return {
            "alive": len(self._members.alive()) + 1,
            "homed_pools": self._pool_schedulers.hosted_pools(),
            "log_lines_dropped": self._output.dropped if self._output else 0,
            "registry_newest": self._source.newest(),
            **self._entry.shell.status(),
        }

    def stop(self) -> None:
        """Starts to drain, as the first SIGTERM does."""
        self._entry.shell.stop()

    def _peer_routes(self) -> list[tuple]:
        auth = peer_auth.PeerAuth(self._config.peer_secret)
        scheduling_args = {
            "auth": auth,
            "kind": scheduling_wire.SchedulingRequest,
            "respond": self._pool_schedulers.handle,
        }
        quota_args = {
            "auth": auth,
            "kind": quota_wire.UsageReport,
            "respond": self._usage_handler.handle,
        }
        registry_args = {
            "views_by_prefix": self._source.views_by_prefix,
            "trouble_left_s": self._source.removal_grace_left_s,
        }
        origin_args = {
            "auth": auth,
            "kind": origin_wire.OriginMessage,
            "respond": self._origin_exchange.handle,
        }
        return [
            (
                peers.STREAM_ORIGINS_PATH,
                peer_handler.MessageHandler,
                origin_args,
            ),
            (peers.CELLS_PATH, peer_handler.MessageHandler, scheduling_args),
            (
                peers.PLACEMENT_PATH,
                placement_handler.PlacementHandler,
                {"preview": self._pool_schedulers.preview},
            ),
            (peers.QUOTAS_PATH, peer_handler.MessageHandler, quota_args),
            (
                peers.REGISTRY_PATH,
                peer_exchange_lib.RegistryHandler,
                registry_args,
            ),
        ]

    def _apply_leaving(self) -> None:
        leaving = self._entry.availability.ledger.leaving
        self._source.apply_leaving(frozenset(record.key for record in leaving))

    def _on_members_changed(self) -> None:
        self._source.apply_members()
        self._agent.publish(
            store_unreachable=self._source.is_store_unreachable()
        )

    def _endpoints(self) -> Iterable[model.Endpoint]:
        return self._source.snapshot.endpoints_by_id.values()

    def _on_cluster_state_changed(self) -> None:
        self._origins.history.update(
            self._source.snapshot.endpoints_by_id.values(), clock.now()
        )
        self._pool_schedulers.update(self._source.snapshot, self._source.fleet)
        self._quotas.update(self._source.snapshot, self._source.fleet)
        if self._source.is_ready():
            self._agent.publish(ready=True)
        self._agent.publish_newest()

    def _create_placement(
        self, dependencies: placement_backend.Dependencies
    ) -> placement_backend.CoordinatorPlacement:
        caller = coordinator_caller.CoordinatorCaller(
            self._config.vm, self._pool_schedulers, dependencies.homes
        )
        placement = placement_backend.CoordinatorPlacement(
            dependencies, caller.post, self._origins
        )
        self._scheduling = placement.scheduling
        return placement


async def serve(config: config_lib.RouterConfig) -> None:
    """Runs the router until it is stopped by a signal.

    Args:
      config: Startup configuration of the process.
    """
    log, output = log_lib.open_nonblocking_log(
        f"router.{config.vm}", sys.stdout
    )
    router = Router(config, log, output)
    await router.run()
    output.drain(_LOG_DRAIN_TIMEOUT_S)
