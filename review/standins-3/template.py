"""Renders the project's settings template with the platform's fields, as DEPLOY.md describes."""

import json
import re

TOKEN = re.compile(r"\{\{([#^/]?)([^{}]*?)(\|json)?\}\}")


def render(template, fields):
    """Returns the template with its placeholders and sections filled in."""
    tokens = _tokens(template)
    nodes, rest = _parse(tokens, 0, None)
    assert rest == len(tokens)
    return _render(nodes, [fields], None)


def _tokens(template):
    tokens, at = [], 0
    for match in TOKEN.finditer(template):
        tokens.append(("text", template[at:match.start()], False))
        tokens.append((match[1] or "value", match[2].strip(), bool(match[3])))
        at = match.end()
    tokens.append(("text", template[at:], False))
    return tokens


def _parse(tokens, at, section):
    nodes = []
    while at < len(tokens):
        kind, name, as_json = tokens[at]
        at += 1
        if kind == "/":
            assert name == section, f"section {section} is closed as {name}"
            return nodes, at
        if kind in "#^":
            inner, at = _parse(tokens, at, name)
            nodes.append((kind, name, inner))
        else:
            nodes.append((kind, name, as_json))
    return nodes, at


def _lookup(name, scopes):
    if name == ".":
        return scopes[-1]
    for scope in reversed(scopes):
        found = _path(scope, name.split("."))
        if found is not None:
            return found
    return None


def _path(value, parts):
    for part in parts:
        if isinstance(value, dict):
            value = value.get(part)
        elif isinstance(value, list) and part.isdigit() and int(part) < len(value):
            value = value[int(part)]
        else:
            return None
    return value


def _plain(value):
    if value is None:
        return ""
    if isinstance(value, list):
        return ",".join(_plain(item) for item in value)
    if isinstance(value, (dict, bool)):
        return json.dumps(value)
    return str(value)


def _render(nodes, scopes, key):
    out = []
    for kind, name, rest in nodes:
        if kind == "text":
            out.append(name)
        elif kind == "value":
            value = key if name == "@" else _lookup(name, scopes)
            out.append(json.dumps(value) if rest else _plain(value))
        else:
            value = _lookup(name, scopes)
            is_present = value is not None and value is not False
            if kind == "^":
                out.append(_render(rest, scopes, key) if not is_present else "")
            elif is_present:
                entries = {"": value}.items()
                if isinstance(value, list):
                    entries = enumerate(value)
                elif isinstance(value, dict):
                    entries = value.items()
                for entry_key, entry in entries:
                    out.append(_render(rest, scopes + [entry], entry_key))
    return "".join(out)
