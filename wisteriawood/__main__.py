"""Command line of wisteriawood."""

import sys

from cleo import application

import wisteriawood
from wisteriawood import commands
from wisteriawood.commands import base
from wisteriawood.policies import registry


def make_application() -> application.Application:
    """Return the command-line application with all commands."""
    registry.load_modules(commands)
    app = application.Application(
        name="wisteriawood", version=wisteriawood.__version__
    )
    for name in base.COMMANDS.names():
        app.add(base.COMMANDS.get(name)())
    return app


def main() -> int:
    """Run the command given by the process's arguments.

    Returns:
        The exit status.
    """
    return make_application().run()


if __name__ == "__main__":
    sys.exit(main())
