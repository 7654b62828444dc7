"""Subcommands of `cowsliprill` and their arguments."""

import dataclasses
import pathlib
from typing import Annotated

import cappa

_File = Annotated[
    pathlib.Path, cappa.Arg(help="Settings document, a JSON file.")
]
_Url = Annotated[str, cappa.Arg(help="Base URL of a cowsliprill process.")]


@cappa.command(name="check")
@dataclasses.dataclass
class CheckCommand:
    """Check that settings are valid and summarize their contents."""

    file: _File


@cappa.command(name="show")
@dataclasses.dataclass
class ShowCommand:
    """Show the settings of a service or an endpoint and their origins."""

    file: _File
    name: Annotated[
        str,
        cappa.Arg(
            help="`USER/SERVICE`, `USER/CHILD/SERVICE` or an endpoint ID."
        ),
    ]


@cappa.command(name="diff")
@dataclasses.dataclass
class DiffCommand:
    """Show the services, endpoints and customers that a change affects."""

    old: _File
    new: _File


@cappa.command(name="pack")
@dataclasses.dataclass
class PackCommand:
    """Write the values to publish on the platform; the head goes last."""

    file: _File
    folder: Annotated[
        pathlib.Path, cappa.Arg(help="Output directory; created if missing.")
    ]
    previous: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="Settings of the last publication."),
    ] = None


@cappa.command(name="hash")
@dataclasses.dataclass
class HashCommand:
    """Read an API key from standard input and print its hash."""


@cappa.command(name="explain")
@dataclasses.dataclass
class ExplainCommand:
    """Trace a request through the logs of one or more VMs.

    For example: `cowsliprill explain 9c41d07be2a35f68 vm-*.log`.
    """

    request: Annotated[
        str,
        cappa.Arg(
            help="Request ID assigned by the router or sent by the caller."
        ),
    ]
    files: Annotated[
        list[pathlib.Path], cappa.Arg(help="Log files; `-` is standard input.")
    ]


@cappa.command(name="account")
@dataclasses.dataclass
class AccountCommand:
    """Summarize the outcomes of all requests in the logs of one or more VMs.

    For example: `cowsliprill account --step 2 vm-*.log`.
    """

    files: Annotated[
        list[pathlib.Path], cappa.Arg(help="Log files; `-` is standard input.")
    ]
    step: Annotated[
        float,
        cappa.Arg(
            long=True, help="Seconds per row of the table by arrival time."
        ),
    ] = 2.0


@cappa.command(name="status")
@dataclasses.dataclass
class StatusCommand:
    """Show the state of a running process."""

    url: _Url


@cappa.command(name="audit")
@dataclasses.dataclass
class AuditCommand:
    """Show the recent audit trail of a VM, read from its settings process."""

    url: _Url


@cappa.command(name="where")
@dataclasses.dataclass
class WhereCommand:
    """Tell where a model request would go now and why, without sending it.

    The process must be a router process of the pool's coordinator.
    """

    url: _Url
    pool: Annotated[str, cappa.Arg(help="Name of the pool.")]
    prompt_tokens: Annotated[
        int, cappa.Arg(long=True, help="Tokens of the prompt.")
    ] = 1_000
    output_tokens: Annotated[
        int, cappa.Arg(long=True, help="Maximum number of output tokens.")
    ] = 100
    priority: Annotated[
        int | None,
        cappa.Arg(long=True, help="Priority; by default the service's."),
    ] = None
    customer: Annotated[
        str, cappa.Arg(long=True, help="Id of the calling customer.")
    ] = ""
    zone: Annotated[
        str,
        cappa.Arg(
            long=True,
            help="Availability zone of the caller; by default the process's.",
        ),
    ] = ""
