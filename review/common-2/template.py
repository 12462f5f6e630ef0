"""Fills in a settings template as the platform's deployment page describes."""

import json
import re

TAG = re.compile(r"\{\{(#|\^|/)?\s*([^{}|]+?)\s*(\|json)?\s*\}\}")


def look_up(path, scopes):
    if path == ".":
        return scopes[-1]["."]
    for scope in reversed(scopes):
        value, found = scope, True
        for part in path.split("."):
            if isinstance(value, dict) and part in value:
                value = value[part]
            elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
                value = value[int(part)]
            else:
                found = False
                break
        if found:
            return value
    return None


def to_text(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(to_text(item) for item in value)
    if isinstance(value, dict):
        return json.dumps(value)
    return {True: "true", False: "false"}.get(value, str(value)) if isinstance(value, bool) else str(value)


def render(text, scopes):
    out, position = "", 0
    while match := TAG.search(text, position):
        out += text[position:match.start()]
        kind, name, as_json = match.groups()
        position = match.end()
        if kind in ("#", "^"):
            end = re.compile(r"\{\{/\s*%s\s*\}\}" % re.escape(name)).search(text, position)
            inner = text[position:end.start()]
            position = end.end()
            value = look_up(name, scopes)
            present = value is not None and value is not False
            if kind == "^":
                out += "" if present else render(inner, scopes)
                continue
            entries = value if isinstance(value, list) else ([value] if present else [])
            for index, entry in enumerate(entries):
                scope = {".": entry, "@": index, ",": "" if index == len(entries) - 1 else ","}
                out += render(inner, scopes + [scope])
        else:
            value = scopes[-1].get(name) if name in (",", "@") else look_up(name, scopes)
            out += json.dumps(value) if as_json else to_text(value)
    return out + text[position:]


def fill_in(text, fields):
    return render(text, [fields])
