"""How far nodes' clocks are apart, from what their records share. Free of I/O.

Nodes do not talk to each other, but the same balancers' requests reach several of them. A request's age at
a node is the node's clock less the balancer's, plus the way; the least age within a stretch is nearly the
clocks' difference alone. With offset o and drift d of each node and offset c of each balancer, each least
age is a sample

    age(node, balancer, t) = o(node) + d(node) * t - c(balancer) + way,    way >= 0

and all samples together are fitted by least squares (numpy), over again without the samples whose way was
long. A clock that steps begins a new piece with an offset of its own. Pieces that no balancer links,
directly or through others, are not ordered against each other: they are in different groups.
"""

from __future__ import annotations

from dataclasses import dataclass

import numpy as np

from snowthread.records.model import Record

BUCKET_MS = 10_000.0  # one sample a node, balancer and stretch of this length
STEP_MS = 500.0  # a clock that goes back by more was set
JUMP_MS = 30_000.0  # and one that goes forward so far between two seconds
DRIFT_LEAST = 3  # stretches over which a drift shows
ROUNDS, FAR = 4, 2.5  # of the fit; times the middle residual beyond which a sample is left out
BOUND_LEAST_MS = 1.0
ALONE_MS = float("inf")


@dataclass(frozen=True, slots=True)
class Piece:
    """A stretch of a node's life on one setting of its clock."""

    node: str
    boot: str
    part: int


@dataclass(frozen=True, slots=True)
class Offset:
    """A piece's clock less the common one, at ``at``: offset in ms, drift in parts per million, and how far
    off that may be. ``group``: pieces that are linked; only within one are times comparable."""

    group: int
    offset_ms: float
    drift_ppm: float
    at: float
    bound_ms: float
    samples: int


@dataclass(slots=True)
class _Watch:
    part: int = 0
    last: float = 0.0


class Clocks:
    """Take every record in its node's order, then ``fit``; ``true`` gives a record's time on the common
    line."""

    def __init__(self) -> None:
        self._watch: dict[tuple[str, str], _Watch] = {}
        self._least: dict[tuple[Piece, int, int], tuple[float, float]] = {}
        self._seen: dict[Piece, list[float]] = {}  # first and last time
        self._parts: dict[tuple[str, str], list[tuple[int, int]]] = {}  # from which number a part counts
        self.offsets: dict[Piece, Offset] = {}

    def take(self, record: Record) -> None:
        """Look at one record."""
        boot = record.node, record.boot
        watch = self._watch.get(boot)
        if watch is None:
            watch = self._watch[boot] = _Watch(last=record.at)
            self._parts[boot] = [(-(2**62), 0)]
        if record.at < watch.last - STEP_MS or record.at > watch.last + JUMP_MS:
            watch.part += 1
            self._parts[boot].append((record.number, watch.part))
        watch.last = record.at
        piece = Piece(*boot, watch.part)
        span = self._seen.setdefault(piece, [record.at, record.at])
        span[0], span[1] = min(span[0], record.at), max(span[1], record.at)
        for caller, age in record.fields.get("floors", {}).items() if record.kind == "second" else ():
            key = piece, int(caller), int(record.at // BUCKET_MS)
            self._least[key] = min((age, record.at), self._least.get(key, (age, record.at)))

    def piece(self, record: Record) -> Piece:
        """The piece that a record belongs to."""
        boot = record.node, record.boot
        part = 0
        for number, p in self._parts.get(boot, ()):
            if record.number >= number:
                part = p
        return Piece(*boot, part)

    def fit(self) -> dict[Piece, Offset]:
        """Find all offsets."""
        groups = self._groups()
        for number, pieces in enumerate(groups):
            self._fit(number, pieces)
        return self.offsets

    def true(self, record: Record) -> float:
        """A record's time on its group's common line."""
        offset = self.offsets.get(self.piece(record))
        if offset is None:
            return record.at
        return record.at - offset.offset_ms - offset.drift_ppm * 1e-6 * (record.at - offset.at)

    def bound(self, record: Record) -> float:
        """How far off that may be."""
        offset = self.offsets.get(self.piece(record))
        return ALONE_MS if offset is None else offset.bound_ms

    def group(self, record: Record) -> int:
        """Within which group it can be ordered."""
        offset = self.offsets.get(self.piece(record))
        return -1 if offset is None else offset.group

    def _groups(self) -> list[list[Piece]]:
        """Pieces that balancers link. A balancer counts as one clock throughout."""
        parent: dict[object, object] = {}

        def root(x: object) -> object:
            while parent.setdefault(x, x) != x:
                parent[x] = parent[parent[x]]
                x = parent[x]
            return x

        for piece in self._seen:
            root(piece)
        for piece, caller, _ in self._least:
            parent[root(piece)] = root(caller)
        groups: dict[object, list[Piece]] = {}
        for piece in sorted(self._seen, key=lambda p: (self._seen[p][0], p.node, p.boot, p.part)):
            groups.setdefault(root(piece), []).append(piece)
        return sorted(groups.values(), key=lambda g: (-len(g), g[0].node, g[0].boot, g[0].part))

    def _fit(self, group: int, pieces: list[Piece]) -> None:
        index = {piece: n for n, piece in enumerate(pieces)}
        samples = [(index[p], c, at, age) for (p, c, _), (age, at) in self._least.items() if p in index]
        if len(pieces) == 1 or not samples:
            alone = 0.0 if len(pieces) == 1 else ALONE_MS
            for piece in pieces:
                self.offsets[piece] = Offset(group, 0.0, 0.0, self._seen[piece][0], alone, 0)
            return
        t0 = min(at for _, _, at, _ in samples)
        hours = np.array([(at - t0) / 3_600_000.0 for _, _, at, _ in samples])
        who = np.array([i for i, _, _, _ in samples])
        ages = np.array([age for _, _, _, age in samples])
        # Columns: each piece's offset, drifts of those seen for long, balancers but the first, whose clock is
        # the common one. Balancers' clocks are taken to run true; a drift that all share would not show.
        callers = {c: n for n, c in enumerate(sorted({c for _, c, _, _ in samples}))}
        by = np.array([callers[c] for _, c, _, _ in samples])
        size = len(pieces)
        drifts = [i for i in range(size) if np.ptp(hours[who == i]) * 3_600_000.0 >= DRIFT_LEAST * BUCKET_MS]
        column = {i: size + n for n, i in enumerate(drifts)}
        base = size + len(drifts)
        a = np.zeros((len(samples), base + len(callers)))
        for row, i in enumerate(who):
            a[row, i] = 1.0
            if i in column:
                a[row, column[i]] = hours[row]
            a[row, base + by[row]] = -1.0
        a = np.delete(a, base, axis=1)
        keep = np.ones(len(samples), dtype=bool)
        for _ in range(ROUNDS):
            found = np.linalg.lstsq(a[keep], ages[keep], rcond=None)[0]
            left = ages - a @ found
            middle = float(np.median(np.abs(left[keep])))
            again = left < FAR * max(middle, 0.2)
            if (again == keep).all() or not all((again & (who == i)).any() for i in range(size)):
                break
            keep = again
        for piece, i in index.items():
            mine = keep & (who == i)
            spread = float(np.quantile(np.abs(left[mine]), 0.95)) if mine.any() else ALONE_MS
            drift = float(found[column[i]]) / 3.6 if i in column else 0.0  # ms an hour -> ppm
            self.offsets[piece] = Offset(
                group, float(found[i]), drift, t0, max(BOUND_LEAST_MS, 2.0 * spread), int((who == i).sum())
            )
