"""Draws line charts as SVG."""

COLOURS = ["#157f5b", "#b4432c", "#35589c", "#8a6d1d"]
WIDTH, HEIGHT, LEFT, BOTTOM, TOP = 720, 320, 60, 50, 40


def lines(path, title, x_name, y_name, series):
    """Writes one chart; `series` maps names to lists of (x, y)."""
    points = [p for values in series.values() for p in values]
    x_most = max(p[0] for p in points) or 1
    y_most = max(p[1] for p in points) * 1.1 or 1

    def place(x, y):
        return (LEFT + x / x_most * (WIDTH - LEFT - 20),
                HEIGHT - BOTTOM - y / y_most * (HEIGHT - BOTTOM - TOP))

    out = [f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}" '
           f'height="{HEIGHT}" font-family="sans-serif" font-size="12">',
           f'<rect width="{WIDTH}" height="{HEIGHT}" fill="white"/>',
           f'<text x="{LEFT}" y="20" font-size="14">{title}</text>']
    for i in range(6):
        y = y_most * i / 5
        _, py = place(0, y)
        out.append(f'<line x1="{LEFT}" y1="{py:.1f}" x2="{WIDTH - 20}" '
                   f'y2="{py:.1f}" stroke="#ddd"/>')
        out.append(f'<text x="{LEFT - 6}" y="{py + 4:.1f}" '
                   f'text-anchor="end">{y:.0f}</text>')
        x = x_most * i / 5
        px, _ = place(x, 0)
        out.append(f'<text x="{px:.1f}" y="{HEIGHT - BOTTOM + 18}" '
                   f'text-anchor="middle">{x:g}</text>')
    out.append(f'<text x="{WIDTH / 2}" y="{HEIGHT - 10}" '
               f'text-anchor="middle">{x_name}</text>')
    out.append(f'<text x="14" y="{HEIGHT / 2}" text-anchor="middle" '
               f'transform="rotate(-90 14 {HEIGHT / 2})">{y_name}</text>')
    for i, (name, values) in enumerate(series.items()):
        colour = COLOURS[i % len(COLOURS)]
        text = " ".join("%.1f,%.1f" % place(*p) for p in values)
        out.append(f'<polyline points="{text}" fill="none" '
                   f'stroke="{colour}" stroke-width="2"/>')
        out.append(f'<text x="{WIDTH - 150}" y="{TOP + 16 * i}" '
                   f'fill="{colour}">{name}</text>')
    out.append("</svg>")
    path.parent.mkdir(parents=True, exist_ok=True)
    path.write_text("\n".join(out) + "\n")
