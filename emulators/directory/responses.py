"""Encode the responses of one connection, and apply the faults that change or drop messages."""

from __future__ import annotations

from collections.abc import Callable, Iterable

from emulators.directory import ber, protocol
from emulators.directory.ber import Node
from emulators.directory.entries import Entry
from emulators.directory.protocol import EntryState
from emulators.directory.state import DirectoryState


class ResponseWriter:
    """Encodes responses and passes them to ``transmit``, or None if a fault closes the connection."""

    def __init__(self, directory: DirectoryState, transmit: Callable[[bytes | None], None]) -> None:
        self._directory = directory
        self._transmit = transmit
        self._message_count = 0

    def send(self, message_id: int, operation: Node, controls: Iterable[Node] = ()) -> None:
        """Encode and send one message; a fault may change it or close the connection instead."""
        self.send_encoded(message_id, ber.encode(operation), controls)

    def send_encoded(self, message_id: int, operation: bytes, controls: Iterable[Node] = ()) -> None:
        """Send one message with an encoded operation; a fault may change it or close the connection."""
        faults = self._directory.faults
        data: bytes | None = protocol.message(message_id, operation, controls)
        self._message_count += 1
        if faults.rewrite_message is not None and data is not None:
            data = faults.rewrite_message(self._message_count, data)
        is_cut = faults.close_after_messages is not None and self._message_count > faults.close_after_messages
        self._transmit(None if is_cut else data)

    def send_entry_state(
        self, message_id: int, entry: Entry, state: EntryState, cookie: bytes | None = None
    ) -> None:
        """Send an entry with its synchronisation state; without attributes if it is deleted or unchanged."""
        fields = [ber.enumerated(state), ber.octets(entry.uuid)]
        if cookie is not None:
            fields.append(ber.octets(cookie))
        only_name = state in (EntryState.PRESENT, EntryState.DELETE)
        operation = ber.encode(entry.name_node()) if only_name else entry.encode()
        control = protocol.control(protocol.SYNC_STATE, ber.sequence(*fields))
        self.send_encoded(message_id, operation, [control])
