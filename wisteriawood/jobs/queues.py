"""Queues: where jobs are handed in, and what their tasks may do."""

import dataclasses

from wisteriawood import errors


@dataclasses.dataclass(slots=True, kw_only=True)
class Advice:
    """Which workers may run a step is asked of the advice service.

    Attributes:
        decide_ms: Time that a question takes.
        each_ms: Further time for each worker named.
        valid_ms: Time for which an answer's tickets are valid.
    """

    decide_ms: float = 0.0
    each_ms: float = 0.0
    valid_ms: float = 0.0


@dataclasses.dataclass(slots=True, kw_only=True)
class Queue:
    """A queue of the configuration.

    Attributes:
        name: Its name.
        host_name: Host name under which callers reach it.
        prefix: Prefix of the paths that belong to it.
        service: Service whose workers run its tasks.
        timeout_ms: Time after which a caller's request is given up.
        target_ms: Part of the objective on top of the stretched run time.
        priority: 0 comes first and may displace others.
        attempts: Failed runs after which a task is given up.
        stretch: Factor of the objective on the longest chain of steps.
        advice: How workers are approved; None if any may run the tasks.
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
    """

    __slots__ = ("_by_host", "queues", "version")

    def __init__(self, *, version: int, queues: list[Queue]):
        self.version = version
        self.queues = queues
        self._by_host: dict[str, list[Queue]] = {}
        for queue in queues:
            self._by_host.setdefault(queue.host_name, []).append(queue)
        for listed in self._by_host.values():
            listed.sort(key=lambda queue: -len(queue.prefix))

    def find(self, host_name: str, path: str) -> Queue:
        """Return the queue of a caller's request.

        Args:
            host_name: Host that the request names, without its port.
            path: Path of the request.

        Raises:
            NotFoundError: No queue has such a host and prefix.
        """
        for queue in self._by_host.get(host_name, []):
            if path.startswith(queue.prefix):
                return queue
        raise errors.NotFoundError("no queue serves this host and path")

    def services(self) -> set[str]:
        """Return the services to which queues lead."""
        return {queue.service for queue in self.queues if queue.service}
