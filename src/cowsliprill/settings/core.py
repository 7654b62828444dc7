"""Entry point of the settings process.

Each VM runs one; no other process on the VM reads settings from the platform.
"""

from cowsliprill import environment as environment_lib
from cowsliprill import process
from cowsliprill.observability import audit as audit_lib
from cowsliprill.observability import log as log_lib
from cowsliprill.observability import metrics as metrics_lib
from cowsliprill.settings import handlers
from cowsliprill.settings import service as service_lib


async def serve(environment: environment_lib.Environment) -> None:
    """Runs the settings process until it is asked to stop.

    Args:
      environment: Configuration from the environment variables.
    """
    log = log_lib.open_log(f"settings.{environment.vm}")
    metrics = metrics_lib.Metrics()
    audit = audit_lib.AuditTrail(environment.vm)
    service = service_lib.SettingsService(environment, log, metrics, audit)
    http_process = process.Process(
        environment,
        log,
        metrics,
        unready_reason=service.unready_reason,
        status=service.status,
        drain=service.stop,
    )
    http_process.listen(handlers.routes(service))
    service.url = f"http://{environment.host}:{http_process.port}"
    service.start()
    await http_process.run_until_stopped()
