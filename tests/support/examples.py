"""Settings and keys that many tests share."""

import pathlib

EMBEDDED_SETTINGS = (
    (pathlib.Path(__file__).parents[2] / 'examples' / 'embedded.yaml')
    .read_text()
    .replace('port: 8080', 'port: 0')
)
KEY_HEADERS = {
    'Authorization': 'Bearer demo-key',
    'X-Mimosamux-Class': 'draft',
}
