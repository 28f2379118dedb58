"""Hooks of behave that end the processes and remove the files of a scenario or feature."""

from standins.deployment import Deployment


def before_all(context):
    context.deployments = {}


def after_scenario(context, scenario):
    for cleanup in reversed(getattr(context, "cleanups", [])):
        cleanup()
    context.cleanups = []


def after_feature(context, feature):
    for deployment in context.deployments.values():
        stop(deployment)
    context.deployments.clear()


def stop(deployment: Deployment) -> None:
    deployment.stop()
