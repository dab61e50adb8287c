"""An event loop on epoll, with generators as coroutines and a heap of timers.

A coroutine yields a :class:`Wait` and is resumed with the epoll mask of the events that occurred, or with 0
if its timeout passed or its task was woken. An exception ends only the coroutine that raised it.

One round of the loop resumes the tasks that were woken, then the tasks whose descriptors are ready, and then
runs the timers that are due. All times are Unix milliseconds by the loop's clock.
"""

from __future__ import annotations

import heapq
import itertools
import math
import select
import socket
from collections import deque
from collections.abc import Callable, Generator
from typing import NamedTuple

from loguru import logger

from snowthread.net.clock import MS_PER_S, Clock

CANCELLED_TIMERS_MAX = 256  # cancelled timers that may stay in the heap, however small it is
POLL_MAX_S = 3600.0  # longest wait for events in one round; epoll accepts no infinite timeout
NO_DESCRIPTOR = -1  # a task with this descriptor waits for no descriptor

READABLE = select.EPOLLIN
WRITABLE = select.EPOLLOUT
HANGUP = select.EPOLLHUP | select.EPOLLERR
PEER_CLOSED = select.EPOLLRDHUP  # the peer has closed its writing side, whether or not its data was read


class Wait(NamedTuple):
    """What a coroutine waits for: a ready descriptor (``fd``, ``mask``), a time (``until_ms``), or a wakeup.

    The coroutine is resumed by whichever comes first.
    """

    fd: int = NO_DESCRIPTOR
    mask: int = 0
    until_ms: float = math.inf


Coroutine = Generator[Wait, int, None]
"""A coroutine: yields what it waits for, and is sent the epoll mask of the events that occurred."""

Timer = list[Callable[[], None]]
"""The handle of a scheduled call: a list with the callback, empty once it was called or cancelled.

It is a list and not an instance of a class because each wait with a timeout creates one.
"""


class Task:
    """A coroutine that the event loop runs, and what it waits for."""

    __slots__ = ("coroutine", "fd", "mask", "started", "timer", "woken")

    def __init__(self, coroutine: Coroutine) -> None:
        self.coroutine: Coroutine | None = coroutine  # None once the task has ended
        self.fd = NO_DESCRIPTOR  # the descriptor that the task waits for
        self.mask = 0  # the epoll events that the task waits for
        self.timer: Timer | None = None  # resumes the task at the timeout of its wait
        self.started = False
        self.woken = False


class EventLoop:
    """Runs tasks and timers until stopped."""

    def __init__(self, clock: Clock) -> None:
        self.clock = clock
        self._epoll = select.epoll()
        self._task_by_fd: dict[int, Task] = {}
        self._tasks: dict[Task, None] = {}  # the tasks that have not ended, in order of spawning
        self._woken_tasks: deque[Task] = deque()
        self._timers: list[tuple[float, int, Timer]] = []  # a heap of (time, sequence number, timer)
        self._cancelled_timers = 0  # the number of cancelled timers that are still in the heap
        # Sequence numbers, by which timers that are due at the same time run in order of creation.
        self._timer_numbers = itertools.count()
        self._stopped = False

    def spawn(self, coroutine: Coroutine) -> Task:
        """Start a coroutine as a task; its first step runs in the next round of the loop."""
        task = Task(coroutine)
        self._tasks[task] = None
        self.wake(task)
        return task

    def wake(self, task: Task) -> None:
        """Resume a task with the mask 0 in the next round, whatever it waits for."""
        if not task.woken and task.coroutine is not None:
            task.woken = True
            self._woken_tasks.append(task)

    def call_at(self, at_ms: float, callback: Callable[[], None]) -> Timer:
        """Schedule a call at a time in Unix milliseconds; return its timer, for :meth:`cancel`."""
        timer: Timer = [callback]
        heapq.heappush(self._timers, (at_ms, next(self._timer_numbers), timer))
        return timer

    def cancel(self, timer: Timer | None) -> None:
        """Cancel a timer; None, or a timer that was called or cancelled already, is ignored.

        The heap is rebuilt when most of its timers are cancelled. Calls that end before their timeouts would
        otherwise leave thousands of cancelled timers in it.
        """
        if timer:
            timer.clear()
            self._cancelled_timers += 1
            if self._cancelled_timers > max(CANCELLED_TIMERS_MAX, len(self._timers) // 2):
                self._timers = [entry for entry in self._timers if entry[2]]
                heapq.heapify(self._timers)
                self._cancelled_timers = 0

    def close(self, sock: socket.socket) -> None:
        """Stop watching a socket and close it; the kernel may reuse its descriptor number immediately."""
        self.unwatch(sock.fileno())
        sock.close()

    def unwatch(self, fd: int) -> None:
        """Stop watching a descriptor; call this before closing it."""
        task = self._task_by_fd.pop(fd, None)
        if task is not None:
            task.fd = NO_DESCRIPTOR
            self._epoll.unregister(fd)

    def stop(self) -> None:
        """Make :meth:`run` return at the end of the current round."""
        self._stopped = True

    def run(self) -> None:
        """Run rounds until :meth:`stop` is called, then end all tasks."""
        while not self._stopped:
            self.run_once(POLL_MAX_S)
        self.end_all_tasks()

    def end_all_tasks(self) -> None:
        """End all tasks and close the epoll descriptor.

        Coroutines that are still suspended at the interpreter's exit would fail one by one, because the loop
        is gone by then and cannot unwatch their descriptors.
        """
        for task in list(self._tasks):
            self.end_task(task)
        self._epoll.close()

    def run_once(self, max_sleep_s: float) -> None:
        """Run one round; it waits at most ``max_sleep_s`` seconds if nothing is ready."""
        # A round is one long function, without helpers, because it runs thousands of times per second.
        for _ in range(len(self._woken_tasks)):
            task = self._woken_tasks.popleft()
            task.woken = False
            self._resume(task, 0)
        while self._timers and not self._timers[0][2]:
            heapq.heappop(self._timers)
            self._cancelled_timers -= 1
        sleep_s = max_sleep_s
        if self._woken_tasks:
            sleep_s = 0.0
        elif self._timers:
            sleep_s = min(max_sleep_s, max(0.0, (self._timers[0][0] - self.clock.now()) / MS_PER_S))
        for fd, mask in self._epoll.poll(sleep_s):
            watcher = self._task_by_fd.get(fd)
            if watcher is not None:
                self._resume(watcher, mask)
        now = self.clock.now()
        while self._timers and self._timers[0][0] <= now:
            timer = heapq.heappop(self._timers)[2]
            if not timer:
                self._cancelled_timers -= 1
                continue
            try:
                timer.pop()()
            except Exception:  # noqa: BLE001  # an error in one timer must not affect others
                logger.exception("error in a timer callback, the event loop goes on")

    def _resume(self, task: Task, mask: int) -> None:
        if task.coroutine is None:
            return
        self.cancel(task.timer)
        task.timer = None
        try:
            wait = task.coroutine.send(mask) if task.started else next(task.coroutine)
            task.started = True
        except StopIteration:
            self._end(task)
        except Exception:  # noqa: BLE001  # an error in one task must not affect others
            logger.exception("error in a coroutine, its task ends")
            self._end(task)
        else:
            self._suspend(task, wait)

    def _suspend(self, task: Task, wait: Wait) -> None:
        """Register what a task waits for; the descriptor is usually the same as before."""
        if wait.fd != task.fd:
            self._unwatch_task(task)
            if wait.fd >= 0:
                self._epoll.register(wait.fd, wait.mask)
                self._task_by_fd[wait.fd] = task
            task.fd = wait.fd
            task.mask = wait.mask
        elif wait.fd >= 0 and wait.mask != task.mask:
            self._epoll.modify(wait.fd, wait.mask)
            task.mask = wait.mask
        if wait.until_ms < math.inf:
            task.timer = self.call_at(wait.until_ms, lambda: self.wake(task))

    def _unwatch_task(self, task: Task) -> None:
        if task.fd >= 0 and self._task_by_fd.get(task.fd) is task:
            del self._task_by_fd[task.fd]
            self._epoll.unregister(task.fd)
        task.fd = NO_DESCRIPTOR

    def end_task(self, task: Task) -> None:
        """End a task now; its ``finally`` blocks run."""
        if task.coroutine is not None:
            task.coroutine.close()
        self._end(task)

    def _end(self, task: Task) -> None:
        self._unwatch_task(task)
        self._tasks.pop(task, None)
        task.coroutine = None
