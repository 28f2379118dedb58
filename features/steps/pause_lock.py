"""Steps for the lock between pauses of streams and suspensions of their process."""

import tempfile
from contextlib import ExitStack, contextmanager
from pathlib import Path

from behave import then, when

from standins.pause_lock import PauseLock


@contextmanager
def hold(folder, holder, replica):
    """Hold a replica's lock for a pause or a suspension; yield whether it is held."""
    lock = PauseLock(Path(folder) / "replicas.log", replica)
    held = lock.hold_for_pause() if holder == "a pause" else lock.hold_for_suspension()
    with held as is_held:
        yield is_held


@when('the lock of replica "{replica}" is held for {holder}')
def lock_is_held(context, replica, holder):
    stack = ExitStack()
    context.cleanups = [*getattr(context, "cleanups", []), stack.close]
    context.folder = stack.enter_context(tempfile.TemporaryDirectory())
    if holder != "nothing":
        assert stack.enter_context(hold(context.folder, holder, replica))


@then('the lock of replica "{replica}" is free for {holder}')
def lock_is_free(context, replica, holder):
    with hold(context.folder, holder, replica) as is_held:
        assert is_held


@then('the lock of replica "{replica}" is not free for {holder}')
def lock_is_not_free(context, replica, holder):
    with hold(context.folder, holder, replica) as is_held:
        assert not is_held
