"""Runs a stand-in as a process."""

import asyncio
from collections.abc import Callable
import signal

from chervilrock.configuration.address import parse_address
from chervilrock.standin.server import StandIn
from chervilrock.ui.codes import ExitCode
from chervilrock.ui.output import print_error, print_result

STOP_SIGNALS = (signal.SIGTERM, signal.SIGINT)


async def run_until_stopped(
    make: Callable[[], StandIn], listen: str
) -> ExitCode:
    """Runs a stand-in until SIGTERM or SIGINT.

    Args:
      make: creates the stand-in, which may need a running event loop
      listen: IP:port to listen on
    """
    stopped = asyncio.Event()
    loop = asyncio.get_running_loop()
    for signal_number in STOP_SIGNALS:
        loop.add_signal_handler(signal_number, stopped.set)
    standin = make()
    listen_address = parse_address(listen)
    if listen_address is None:
        raise ValueError(f"{listen!r} is not IP:port")
    try:
        address = await standin.start(
            address=listen_address.ip, port=listen_address.port
        )
    except OSError as error:
        print_error(f"cannot listen on {listen}: {error}")
        return ExitCode.UNREACHABLE
    print_result(f"listens on {address}")
    await stopped.wait()
    await standin.stop()
    return ExitCode.DONE
