"""Tables of text that fit the width of a terminal."""

WIDTH_CHARS = 80
GAP = "  "
MIN_COLUMN_CHARS = 4
CUT = "~"


def _cut(text: str, width: int) -> str:
    return text if len(text) <= width else text[: width - 1] + CUT


def lay_out(headers: list[str], lines: list[list[str]]) -> list[str]:
    """Return the lines of a table; wide columns are cut to fit.

    Args:
        headers: Headers of the columns.
        lines: Cells of each line.
    """
    columns = list(zip(headers, *lines, strict=True))
    widths = [max(len(cell) for cell in column) for column in columns]
    room = WIDTH_CHARS - len(GAP) * (len(widths) - 1)
    while sum(widths) > room and max(widths) > MIN_COLUMN_CHARS:
        widths[widths.index(max(widths))] -= 1
    return [
        GAP.join(
            _cut(cell, width).ljust(width)
            for cell, width in zip(cells, widths, strict=True)
        ).rstrip()
        for cells in [headers, *lines]
    ]
