"""Queues to which callers submit jobs, and the rules for their jobs."""

import dataclasses
import typing

from wisteriawood import errors


@dataclasses.dataclass(slots=True, kw_only=True)
class Advice:
    """Delays of the advice service, which approves the workers of a step.

    Attributes:
        decide_ms: Time that a decision takes.
        each_ms: Additional time for each worker in the request.
        valid_ms: Time for which the tickets of an answer are valid.
    """

    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Queue:
    """A queue of the configuration.

    Attributes:
        name: Name of the queue.
        host_name: Host name of the requests that the queue accepts.
        prefix: Path prefix of the requests that the queue accepts.
        service: Service whose workers run its tasks.
        timeout_ms: Time after which a caller's request is abandoned.
        target_ms: Constant part of the objective of a job.
        priority: Priority of its jobs; 0 is the highest.
        attempts: Number of failed runs after which a task fails its job.
        stretch: Factor of the critical path in the objective of a job.
        advice: Advice service that approves workers; None if any worker may
            run the tasks.
    """

    name: str
    host_name: str = ""
    prefix: str = "/"
    service: str = ""
    timeout_ms: int = 3000
    target_ms: int = 0
    priority: int = 0
    attempts: int = 1
    stretch: float = 1.0
    advice: Advice | None = None


class QueueTable:
    """The queues of one version of the configuration.

    Args:
        version: Version of the configuration.
        queues: The queues.
        services: Names of the services of the configuration, whether a queue
            names them or not.
    """

    __slots__ = ("_by_host", "_services", "queues", "version")

    def __init__(
        self,
        *,
        version: int,
        queues: list[Queue],
        services: typing.Collection[str] = (),
    ):
        self.version = version
        self.queues = queues
        self._services = frozenset(services) | {
            queue.service for queue in queues if queue.service
        }
        # Queues of a host name by length of their prefix, the longest first,
        # and by prefix; the first of equal ones counts.
        self._by_host: dict[str, dict[int, dict[str, Queue]]] = {}
        for queue in sorted(queues, key=lambda queue: -len(queue.prefix)):
            by_length = self._by_host.setdefault(queue.host_name, {})
            by_prefix = by_length.setdefault(len(queue.prefix), {})
            by_prefix.setdefault(queue.prefix, queue)

    def find(self, host_name: str, path: str) -> Queue:
        """Return the queue that accepts a caller's request.

        Args:
            host_name: Host name in the request, without port.
            path: Path of the request.

        Raises:
            NotFoundError: No queue accepts this host name and path.
        """
        for length, by_prefix in self._by_host.get(host_name, {}).items():
            queue = by_prefix.get(path[:length])
            if queue is not None:
                return queue
        raise errors.NotFoundError("no queue serves this host and path")

    def services(self) -> frozenset[str]:
        """Return the services whose workers may run tasks.

        A queue that is removed, or sent to another service, leaves accepted
        jobs behind, which go on at the service that it named before.
        """
        return self._services
