"""Writes SVG bar charts without a plotting library."""
import pathlib

COLOURS = ["#4c72b0", "#dd8452", "#55a868", "#c44e52"]


def bars(path, title, groups, rows):
    """rows: (name, value per group). Draws a cluster per group with a bar per row."""
    width, height, left, bottom, top = 760, 360, 50, 60, 50
    largest = max(1.2, max(max(row[1:]) for row in rows))
    largest = min(largest, 4.0)
    plot = height - top - bottom
    step = (width - left - 20) / len(groups)
    bar = step * 0.8 / len(rows)
    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
           f'font-family="sans-serif" font-size="12">',
           f'<rect width="{width}" height="{height}" fill="white"/>',
           f'<text x="{left}" y="20" font-size="14">{title}</text>']
    for tick in range(0, int(largest * 2) + 1):
        value = tick / 2
        y = top + plot * (1 - value / largest)
        colour = "#888" if value == 1 else "#ddd"
        out.append(f'<line x1="{left}" x2="{width - 20}" y1="{y:.1f}" y2="{y:.1f}" '
                   f'stroke="{colour}"/><text x="{left - 30}" y="{y + 4:.1f}">{value:g}</text>')
    for g, group in enumerate(groups):
        for r, row in enumerate(rows):
            value = row[1 + g]
            bar_height = plot * min(value, largest) / largest
            x = left + g * step + step * 0.1 + r * bar
            out.append(f'<rect x="{x:.1f}" y="{top + plot - bar_height:.1f}" width="{bar * 0.9:.1f}" '
                       f'height="{bar_height:.1f}" fill="{COLOURS[r % 4]}"/>'
                       f'<text x="{x:.1f}" y="{top + plot - bar_height - 4:.1f}" '
                       f'font-size="11">{value:.2f}</text>')
        out.append(f'<text x="{left + g * step + step * 0.3:.1f}" y="{top + plot + 18}">{group}'
                   f'</text>')
    for r, row in enumerate(rows):
        x = left + r * 140
        out.append(f'<rect x="{x}" y="{height - 25}" width="12" height="12" '
                   f'fill="{COLOURS[r % 4]}"/><text x="{x + 18}" y="{height - 15}">{row[0]}</text>')
    out.append("</svg>")
    path = pathlib.Path(path)
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("\n".join(out) + "\n")
