"""Steps for the events of a stream and the caller's place in it."""

from behave import then, when

from skylarklift.upstreams.events import EventSplitter


def split(parts):
    """Return the events of bytes that arrive in parts."""
    splitter = EventSplitter()
    events = [event for part in parts for event in splitter.feed(part)]
    events += splitter.finish()
    assert splitter.partial_bytes == 0, parts
    return events


@when('the bytes "{text}" arrive in two parts, split at each place, and byte by byte')
def bytes_arrive(context, text):
    text = text.replace("\\r", "\r").replace("\\n", "\n")
    context.data = data = text.encode("latin-1")
    arrivals = [[data[:place], data[place:]] for place in range(len(data) + 1)]
    arrivals.append([data[place : place + 1] for place in range(len(data))])
    context.splits = [split(parts) for parts in arrivals]


@then('the events have the ids "{ids}", and all bytes are in them')
def events_have_ids(context, ids):
    expected = [None if name == "none" else int(name) for name in ids.split()]
    for events in context.splits:
        assert [event.event_id for event in events] == expected, events
        assert b"".join(event.raw for event in events) == context.data, events
