"""Draws line charts as SVG."""

COLOURS = ["#157f5b", "#b4432c", "#35589c", "#8a6d1d"]
WIDTH, HEIGHT, LEFT, BOTTOM, TOP = 720, 320, 60, 50, 40


def write_line_chart(path, title, x_label, y_label, series):
    """Writes a chart; `series` maps names to lists of (x, y)."""
    points = [p for values in series.values() for p in values]
    max_x = max(p[0] for p in points) or 1
    max_y = max(p[1] for p in points) * 1.1 or 1

    def to_pixels(x, y):
        return (LEFT + x / max_x * (WIDTH - LEFT - 20),
                HEIGHT - BOTTOM - y / max_y * (HEIGHT - BOTTOM - TOP))

    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
           f'height="{HEIGHT}" font-family="sans-serif" font-size="12">',
           f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
           f'<text x="{LEFT}" y="20" font-size="14">{title}</text>']
    for i in range(6):
        y = max_y * i / 5
        _, pixel_y = to_pixels(0, y)
        out.append(f'<line x1="{LEFT}" y1="{pixel_y:.1f}" x2="{WIDTH - 20}" '
                   f'y2="{pixel_y:.1f}" stroke="#ddd"/>')
        out.append(f'<text x="{LEFT - 6}" y="{pixel_y + 4:.1f}" '
                   f'text-anchor="end">{y:.0f}</text>')
        x = max_x * i / 5
        pixel_x, _ = to_pixels(x, 0)
        out.append(f'<text x="{pixel_x:.1f}" y="{HEIGHT - BOTTOM + 18}" '
                   f'text-anchor="middle">{x:g}</text>')
    out.append(f'<text x="{WIDTH / 2}" y="{HEIGHT - 10}" '
               f'text-anchor="middle">{x_label}</text>')
    out.append(f'<text x="14" y="{HEIGHT / 2}" text-anchor="middle" '
               f'transform="rotate(-90 14 {HEIGHT / 2})">{y_label}</text>')
    for i, (name, values) in enumerate(series.items()):
        colour = COLOURS[i % len(COLOURS)]
        coordinates = " ".join("%.1f,%.1f" % to_pixels(*p) for p in values)
        out.append(f'<polyline points="{coordinates}" fill="none" '
                   f'stroke="{colour}" stroke-width="2"/>')
        out.append(f'<text x="{WIDTH - 150}" y="{TOP + 16 * i}" '
                   f'fill="{colour}">{name}</text>')
    out.append("</svg>")
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("\n".join(out) + "\n")
