"""Tables and keys of the rows of cells and jobs in the store."""

import hashlib

from wisteriawood import errors
from wisteriawood.links import stores

JOBS = "jobs"
CLAIMS = "cells"
HOSTS = "hosts"
WEIGHTS = "knowledge"
CANCELS = "cancels"
# End of the keys of rows of leases, which no name of a cell has.
LEASES_SUFFIX = "/leases"


class CellLostError(errors.WisteriawoodError):
    """The cell has another holder, or this host must release it."""


def bucket_of(job_id: str, zones: list[str]) -> str:
    """Return the bucket of a job: the partition that stores its rows.

    It depends on the arguments only, so that a repeated submission to
    another host finds the job.

    Args:
        job_id: Id of the job.
        zones: All availability zones, sorted.
    """
    digest = hashlib.blake2b(job_id.encode(), digest_size=4).digest()
    return zones[int.from_bytes(digest, "big") % len(zones)]


def cell_name(service: str, zone: str) -> str:
    """Return the name of the cell of a service in a zone.

    Args:
        service: The service.
        zone: The availability zone.
    """
    return f"{service}@{zone}"


def zone_of_cell(cell: str) -> str:
    """Return the availability zone of a cell."""
    return cell.rpartition("@")[2]


def service_of_cell(cell: str) -> str:
    """Return the service of a cell."""
    return cell.rpartition("@")[0]


def specs_table(zone: str) -> str:
    """Return the table of the jobs submitted to the cells of a zone.

    Args:
        zone: The availability zone.
    """
    return f"specs-{zone}"


def job_row(bucket: str, job_id: str) -> stores.RowKey:
    """Return the key of the row with a job's progress."""
    return stores.RowKey(table=JOBS, part=bucket, key=job_id)


def spec_row(cell: str, bucket: str, job_id: str) -> stores.RowKey:
    """Return the key of the row with a job's specification."""
    table = specs_table(zone_of_cell(cell))
    return stores.RowKey(table=table, part=bucket, key=job_id)


def cancel_row(bucket: str, job_id: str) -> stores.RowKey:
    """Return the key of the row that cancels a job in all cells.

    Args:
        bucket: Bucket of the job.
        job_id: Id under which a caller submitted it.
    """
    return stores.RowKey(table=CANCELS, part=bucket, key=job_id)


def claim_row(cell: str) -> stores.RowKey:
    """Return the key of the row with the claim of a cell."""
    return stores.RowKey(table=CLAIMS, part=zone_of_cell(cell), key=cell)


def leases_row(cell: str) -> stores.RowKey:
    """Return the key of the row with the leases of a cell.

    It shares its table with the claim, so that all hosts follow it, and its
    partition, so that both can change together.

    Args:
        cell: The cell.
    """
    return stores.RowKey(
        table=CLAIMS, part=zone_of_cell(cell), key=cell + LEASES_SUFFIX
    )


def host_row(host: str) -> stores.RowKey:
    """Return the key of the row with the heartbeat of a host."""
    return stores.RowKey(table=HOSTS, key=host)


def weights_row(cell: str) -> stores.RowKey:
    """Return the key of the row with the weights that a cell shares."""
    return stores.RowKey(table=WEIGHTS, part=service_of_cell(cell), key=cell)
