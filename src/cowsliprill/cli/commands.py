"""Sub-commands of `cowsliprill` and their arguments."""

import dataclasses
import pathlib
from typing import Annotated

import cappa

_File = Annotated[pathlib.Path, cappa.Arg(help="Settings, a JSON file.")]
_Url = Annotated[str, cappa.Arg(help="URL of a process of ours.")]


@cappa.command(name="check")
@dataclasses.dataclass
class CheckCommand:
    """Check settings and say what they hold."""

    file: _File


@cappa.command(name="show")
@dataclasses.dataclass
class ShowCommand:
    """Show a service's or an endpoint's values and where each comes from."""

    file: _File
    name: Annotated[
        str,
        cappa.Arg(help="`USER/SERVICE`, `USER/CHILD/SERVICE` or an endpoint."),
    ]


@cappa.command(name="diff")
@dataclasses.dataclass
class DiffCommand:
    """Show which services, endpoints and customers a change reaches."""

    old: _File
    new: _File


@cappa.command(name="pack")
@dataclasses.dataclass
class PackCommand:
    """Write the values to publish on the platform, the head last."""

    file: _File
    folder: Annotated[
        pathlib.Path, cappa.Arg(help="Where to write; made if missing.")
    ]
    previous: Annotated[
        pathlib.Path | None,
        cappa.Arg(long=True, help="The settings published before."),
    ] = None


@cappa.command(name="hash")
@dataclasses.dataclass
class HashCommand:
    """Read an API key from standard input and print its hash."""


@cappa.command(name="explain")
@dataclasses.dataclass
class ExplainCommand:
    """Tell the story of a request from the logs of one or more VMs.

    For example: `cowsliprill explain 9c41d07be2a35f68 vm-*.log`.
    """

    request: Annotated[
        str,
        cappa.Arg(help="Our id of the request, or the caller's own id of it."),
    ]
    files: Annotated[
        list[pathlib.Path], cappa.Arg(help="Logs; `-` is standard input.")
    ]


@cappa.command(name="account")
@dataclasses.dataclass
class AccountCommand:
    """Add up what became of all requests in the logs of one or more VMs.

    For example: `cowsliprill account --step 2 vm-*.log`.
    """

    files: Annotated[
        list[pathlib.Path], cappa.Arg(help="Logs; `-` is standard input.")
    ]
    step: Annotated[
        float, cappa.Arg(long=True, help="Seconds that a line of time covers.")
    ] = 2.0


@cappa.command(name="status")
@dataclasses.dataclass
class StatusCommand:
    """Show the state of a running process."""

    url: _Url


@cappa.command(name="audit")
@dataclasses.dataclass
class AuditCommand:
    """Show the recent audit trail of a VM, from its settings process."""

    url: _Url
