"""Entry point of `python -m cowsliprill.replay`."""

import sys

import cappa

from cowsliprill.replay import command
from cowsliprill.replay import main

if __name__ == "__main__":
    sys.exit(main.run(cappa.parse(command.ReplayCommand)))
