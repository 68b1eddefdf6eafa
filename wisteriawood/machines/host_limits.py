"""Time limits of a job host."""

import dataclasses
import math


@dataclasses.dataclass(slots=True, kw_only=True)
class HostLimits:
    """Time limits of a job host, which the deployment sets.

    Attributes:
        lease_s: Duration of the workers' leases.
        longest_lease_s: Duration of the longest lease that workers accept.
        retention_s: Time for which the state of an ended job can be queried.
        max_directory_age_s: Age of the directory of workers up to which
            tasks may be started.
        directory_silence_s: Time after which the directory removes the entry
            of a worker that is silent.
        max_configuration_age_s: Age of the newest confirmed read of the
            configuration up to which a host knows which queues there are.
        max_cancel_age_s: Age of the known cancellations of jobs up to which
            tasks may be started.
        max_zone_drain_age_s: The same for the known drains of zones; infinite
            where the deployment does not drain zones.
    """

    lease_s: float
    longest_lease_s: float
    retention_s: float
    max_directory_age_s: float
    directory_silence_s: float
    max_configuration_age_s: float
    max_cancel_age_s: float
    max_zone_drain_age_s: float = math.inf
