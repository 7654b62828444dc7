"""The stand-in of an engine as a process."""

from cowsliprill.standins import engine as engine_lib
from cowsliprill.standins import engine_command
from cowsliprill.standins import engine_handlers
from cowsliprill.standins import shell

Command = engine_command.EngineCommand


async def serve(command: engine_command.EngineCommand) -> None:
    """Serves until SIGTERM.

    Args:
      command: Its configuration.
    """
    engine = engine_lib.Engine(command)
    engine.start()
    server = shell.Server(
        engine_handlers.routes(engine), command.host, command.port
    )
    await shell.run_until_signal(
        f"standin.{command.id}", server, role=command.role
    )
    await engine.stop()
