"""Headers of prompts that requests declare."""

PART_TOKENS = 400


def prompt_of(*parts, model='m'):
    """Return the headers of a prompt of these parts, the last its own."""
    entries = ','.join(f'{part}:{PART_TOKENS}' for part in parts)
    return (
        (b'X-Model', model.encode()),
        (b'X-Token-Usage', b'%d,40' % (PART_TOKENS * len(parts))),
        (b'X-Prompt-Prefix', entries.encode()),
    )
