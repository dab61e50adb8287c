"""The child process that writes files of records, so that a slow or full disk never stops the node.

It reads batches from a socket and appends them to files in one folder. It ends when the socket is closed,
after it has written what came before, so a node that is killed loses nothing that it had handed over.
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

BATCH_MAX_BYTES = 64 * 1024  # of one message between node and writer
COUNT_BYTES = 4  # each message begins with its number of records, little-endian
SOCKET_BUFFER_BATCHES = 4
FIRST_CLOSED_DESCRIPTOR = 3  # after the standard streams
CLOSED_DESCRIPTORS_END = 4096
MS_PER_S = 1000.0


class WriterProcess(NamedTuple):
    """The running child: the socket on which it takes batches, and its process id."""

    socket: socket.socket
    pid: int


def start(folder: Path, node: str, boot: str, retention: Retention) -> WriterProcess:
    """Fork the child and return the socket on which it takes batches, see ``encode_batch``."""
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
    """Encode a message to the writer: the number of records, then their frames."""
    return records.to_bytes(COUNT_BYTES, "little") + bytes(frames)


def _run_child(node_end: socket.socket, writer_end: socket.socket, files: RecordFiles) -> NoReturn:
    """Serve in the child until the socket is closed, then exit without any of the parent's clean-up."""
    status = 1
    try:
        node_end.close()
        fd = writer_end.fileno()
        os.closerange(FIRST_CLOSED_DESCRIPTOR, fd)
        os.closerange(fd + 1, CLOSED_DESCRIPTORS_END)  # what else the node has open stays the node's alone
        for number in (signal.SIGTERM, signal.SIGINT, signal.SIGHUP):
            signal.signal(number, signal.SIG_IGN)  # the child ends with its node, not before
        _serve(writer_end, files)
        status = 0
    finally:
        os._exit(status)


def _serve(source: socket.socket, files: RecordFiles) -> None:
    """Write batches until the socket is closed."""
    while message := source.recv(COUNT_BYTES + BATCH_MAX_BYTES):
        records = int.from_bytes(message[:COUNT_BYTES], "little")
        files.append(message[COUNT_BYTES:], records, time.time() * MS_PER_S)
    files.close()
