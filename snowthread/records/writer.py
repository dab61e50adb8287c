"""The child process that writes record files, so that a slow or full disk never blocks the node.

It reads batches from a socket and appends them to files in one folder. When the socket is closed, it writes
the batches that are still in it and exits. A node that is killed therefore loses no batch that it had sent.
"""

from __future__ import annotations

import os
import signal
import socket
import time
from pathlib import Path
from typing import NamedTuple, NoReturn

from snowthread.records.files import RecordFiles
from snowthread.records.retention import Retention

BATCH_MAX_BYTES = 64 * 1024  # most bytes of frames in one message to the writer
COUNT_BYTES = 4  # size of the number of records, little-endian, that begins each message
SOCKET_BUFFER_BATCHES = 4  # size of the send buffer of the socket, in batches of the largest size
FIRST_CLOSED_DESCRIPTOR = 3  # the child keeps descriptors 0 to 2, the standard streams
CLOSED_DESCRIPTORS_END = 4096  # the child closes descriptors below this number
MS_PER_S = 1000.0


class WriterProcess(NamedTuple):
    """The running child process: the node's end of its socket, and its process id."""

    socket: socket.socket
    pid: int


def start(folder: Path, node: str, boot: str, retention: Retention) -> WriterProcess:
    """Fork the child process; messages to its socket are made by ``encode_batch``."""
    files = RecordFiles(folder, node, boot, retention)
    node_end, writer_end = socket.socketpair(socket.AF_UNIX, socket.SOCK_SEQPACKET)
    node_end.setblocking(False)
    node_end.setsockopt(socket.SOL_SOCKET, socket.SO_SNDBUF, SOCKET_BUFFER_BATCHES * BATCH_MAX_BYTES)
    pid = os.fork()
    if pid == 0:
        _run_child(node_end, writer_end, files)
    writer_end.close()
    return WriterProcess(node_end, pid)


def encode_batch(records: int, frames: bytes | bytearray) -> bytes:
    """Encode a message to the writer process: the number of records, then their frames."""
    return records.to_bytes(COUNT_BYTES, "little") + bytes(frames)


def _run_child(node_end: socket.socket, writer_end: socket.socket, files: RecordFiles) -> NoReturn:
    """Write batches until the socket is closed, then exit without the clean-up code of the parent process."""
    status = 1
    try:
        node_end.close()
        fd = writer_end.fileno()
        os.closerange(FIRST_CLOSED_DESCRIPTOR, fd)
        os.closerange(fd + 1, CLOSED_DESCRIPTORS_END)  # the other descriptors belong to the node alone
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)  # the child exits after its node, not on a signal
        _write_batches(writer_end, files)
        status = 0
    finally:
        os._exit(status)


def _write_batches(source: socket.socket, files: RecordFiles) -> None:
    """Read batches from the socket and write them until it is closed."""
    while message := source.recv(COUNT_BYTES + BATCH_MAX_BYTES):
        records = int.from_bytes(message[:COUNT_BYTES], "little")
        files.append(message[COUNT_BYTES:], records, time.time() * MS_PER_S)
    files.close()
