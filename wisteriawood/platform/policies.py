"""Settings that choose the policies of a host."""

import dataclasses

from wisteriawood import errors
from wisteriawood.policies import backfill as backfill_policies
from wisteriawood.policies.backfill import base as backfill_base
from wisteriawood.policies import ordering as ordering_policies
from wisteriawood.policies.ordering import base as ordering_base
from wisteriawood.policies import registry


@dataclasses.dataclass(slots=True, kw_only=True)
class Policies:
    """Names of the policies that a deployment chooses.

    Attributes:
        backfill: Policy that reserves room for tasks that fit nowhere now.
        ordering: Policy that decides which job gets workers first.
    """

    backfill: str = backfill_base.DEFAULT
    ordering: str = ordering_base.DEFAULT

    def check(self, path: str) -> None:
        """Check that the policies exist.

        Args:
            path: Name of the settings file.

        Raises:
            SettingsError: There is no policy of a name.
        """
        registry.load_modules(backfill_policies)
        registry.load_modules(ordering_policies)
        for name, known in (
            ("backfill", backfill_base.BACKFILL),
            ("ordering", ordering_base.ORDERING),
        ):
            value = getattr(self, name)
            if value in known.names():
                continue
            raise errors.SettingsError(
                file=path,
                path=f"$.policies.{name}",
                found=value,
                remedy=f"choose one of {', '.join(known.names())}",
            )
