"""Run an emulated directory of tenants, for tests and for manual experiments.

    python -m emulators.directory [ADDRESS [TENANTS NETWORKS_EACH]]

It has five tenants unless a number is given. Each line of standard input is a command; an unknown command
prints the list of commands.
"""

from __future__ import annotations

import sys
from ipaddress import ip_network
from typing import Any

from emulators.directory.server import Directory
from snowthread.address import Address
from snowthread.net.clock import Clock
from snowthread.net.loop import READABLE, Coroutine, EventLoop, Wait

DEFAULT_ADDRESS = "127.0.0.1:3389"
DEFAULT_TENANTS = ("Farbhof", "Kolory", "Tinte", "Malarz", "Pigment")
COMMANDS = "stall | go | suspend NAME | remove NAME | put NAME NETWORK QUOTA"


def main(arguments: list[str]) -> None:
    """Serve clients until the program is interrupted."""
    loop = EventLoop(Clock())
    directory = Directory(loop, Address.parse(arguments[0] if arguments else DEFAULT_ADDRESS))
    tenant_count, networks_each = (int(word) for word in [*arguments[1:], "0", "0"][:2])
    if tenant_count:
        add_many(directory, tenant_count, networks_each)
    else:
        add_default_tenants(directory)
    print(
        f"directory: ldap://{directory.address} with {len(directory.entries)} tenants; type help", flush=True
    )
    try:
        loop.spawn(read_commands(directory))
        loop.run()
    except (KeyboardInterrupt, PermissionError):  # epoll refuses a regular file as standard input.
        pass


def add_default_tenants(directory: Directory) -> None:
    """Add five tenants, each with a network of loopback addresses."""
    for index, name in enumerate(DEFAULT_TENANTS):
        directory.put(name, snowthreadNetwork=[f"127.0.{index}.0/24"], snowthreadQuota=20 + 10 * index)


def add_many(directory: Directory, tenant_count: int, networks_each: int) -> None:
    """Add ``tenant_count`` tenants, each with ``networks_each`` networks of 64 addresses in 10.0.0.0/8."""
    for index in range(tenant_count):
        first = index * networks_each
        networks = [
            str(ip_network((10 << 24 | number << 6, 26))) for number in range(first, first + networks_each)
        ]
        directory.put(f"tenant {index}", snowthreadNetwork=networks, snowthreadQuota=1 + index % 50)


def read_commands(directory: Directory) -> Coroutine:
    """Run each line of standard input as a command and print its result, until the input ends."""
    while True:
        yield Wait(sys.stdin.fileno(), READABLE)
        line = sys.stdin.readline()
        if not line:
            return
        print(run_command(directory, line.split()), flush=True)


def run_command(directory: Directory, words: list[str]) -> str:
    """Run one command and return its result, or the list of commands if it is unknown."""
    match words:
        case ["stall"]:
            directory.faults.stall = True
        case ["go"]:
            directory.faults.stall = False
        case ["suspend", name]:
            suspend(directory, name)
        case ["remove", name] if directory.dn(name) in directory.entries:
            directory.remove(name)
        case ["put", name, network, quota]:
            directory.put(name, snowthreadNetwork=[network], snowthreadQuota=quota)
        case _:
            return COMMANDS
    directory.wake_connections()
    return f"done: {' '.join(words)}"


def suspend(directory: Directory, name: str) -> None:
    """Set a tenant's status to suspended and keep its other attributes."""
    old = directory.entries[directory.dn(name)].attributes
    unchanged: dict[str, Any] = {key: values for key, values in old.items() if key.startswith("snowthread")}
    directory.put(name, **unchanged | {"snowthreadStatus": "suspended"})


if __name__ == "__main__":
    main(sys.argv[1:])
