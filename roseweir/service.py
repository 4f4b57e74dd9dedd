"""The `serve` command: run one controller process until it is terminated.

The deployment's build step imports this module, so that all of a controller's bytecode is compiled before its start.
"""

import asyncio

import uvloop

from roseweir.controller.process import ControllerProcess
from roseweir.operator_config import OperatorConfig
from roseweir.settings import Settings


def serve(settings: Settings, operator_config: OperatorConfig) -> None:
    """Serve until the process is terminated.

    Raises:
        OSError: A listening address cannot be bound.
    """
    with asyncio.Runner(loop_factory=uvloop.new_event_loop) as runner:
        runner.run(ControllerProcess(settings, operator_config).run())
