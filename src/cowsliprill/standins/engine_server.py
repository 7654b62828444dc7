"""Process of a fake engine: serves its HTTP interface until a signal."""

from cowsliprill.standins import engine as engine_lib
from cowsliprill.standins import engine_command
from cowsliprill.standins import engine_handlers
from cowsliprill.standins import http_server

Command = engine_command.EngineCommand


async def serve(command: engine_command.EngineCommand) -> None:
    """Serves a fake engine until SIGTERM or SIGINT.

    Args:
      command: The engine's configuration.
    """
    engine = engine_lib.Engine(command)
    engine.start()
    server = http_server.Server(
        engine_handlers.routes(engine), command.host, command.port
    )
    await http_server.run_until_signal(
        f"standin.{command.id}", server, role=command.role
    )
    await engine.stop()
