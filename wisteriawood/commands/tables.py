"""Text tables that fit the width of a terminal."""

WIDTH_CHARS = 80
COLUMN_GAP = "  "
MIN_COLUMN_CHARS = 4
TRUNCATION_MARK = "~"


def _truncate(text: str, width: int) -> str:
    return text if len(text) <= width else text[: width - 1] + TRUNCATION_MARK


def lay_out(headers: list[str], lines: list[list[str]]) -> list[str]:
    """Return the lines of a table; wide columns are truncated to fit.

    Args:
        headers: Headers of the columns.
        lines: Cells of each line.
    """
    columns = list(zip(headers, *lines, strict=True))
    widths = [max(len(cell) for cell in column) for column in columns]
    available_chars = WIDTH_CHARS - len(COLUMN_GAP) * (len(widths) - 1)
    while sum(widths) > available_chars and max(widths) > MIN_COLUMN_CHARS:
        widths[widths.index(max(widths))] -= 1
    return [
        COLUMN_GAP.join(
            _truncate(cell, width).ljust(width)
            for cell, width in zip(cells, widths, strict=True)
        ).rstrip()
        for cells in [headers, *lines]
    ]
