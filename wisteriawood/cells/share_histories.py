"""Recent CPU shares of the fillers on a worker."""

import collections

from wisteriawood.cells import interference_models

# Time that a reported tail latency covers.
TAIL_WINDOW_S = 0.55


class ShareHistory:
    """History of the CPU shares of the fillers on one worker.

    Fillers start and end within the time that a tail latency covers, so it
    reflects their mean shares over that time.
    """

    __slots__ = ("_states",)

    def __init__(self):
        self._states: collections.deque[
            tuple[float, interference_models.Shares]
        ] = collections.deque([(0.0, {})])

    def record(self, shares: interference_models.Shares, now_s: float) -> None:
        """Record the shares after a change.

        Args:
            shares: The shares from now on, by image.
            now_s: Monotonic time.
        """
        self._states.append((now_s, shares))
        while (
            len(self._states) > 1
            and self._states[1][0] < now_s - TAIL_WINDOW_S
        ):
            self._states.popleft()

    def mean(self, now_s: float) -> interference_models.Shares:
        """Return the mean shares over the last window, by image.

        Args:
            now_s: Monotonic time.
        """
        means: dict[str, float] = {}
        until_s = now_s
        for since_s, shares in reversed(self._states):
            begin_s = max(since_s, now_s - TAIL_WINDOW_S)
            if begin_s >= until_s:
                if since_s <= now_s - TAIL_WINDOW_S:
                    break
                continue
            part = (until_s - begin_s) / TAIL_WINDOW_S
            for image, share in shares.items():
                means[image] = means.get(image, 0.0) + part * share
            until_s = begin_s
        return means
