"""Derives the settings that schedulers read from the settings document."""

import glob
from collections.abc import Iterator
from urllib.parse import quote

from attrs import evolve
from returns.result import Result, Success

from papayacourse.catalog import Catalog
from papayacourse.meshmessages import SettingsValue
from papayacourse.routed.document import Document, Service
from papayacourse.settings import ROOT, DeploymentSettings, Setting, SettingsPath
from papayacourse.settingsparser import parse_path, parse_setting
from papayacourse.types import Fault

TEAM = "routed"  # the schedulers see all services of the document under this team
SPILL_SAME_REGION = 0.05  # seconds of waiting that placement in another domain must save
SPILL_OTHER_REGION = 0.3  # seconds, for another region: longer round trips and slower moves
MEMORY_MARGIN = 0.05  # fraction of an engine's memory kept free
PROMPT_WAIT = 0.9  # seconds for an engine to process a prompt; most latency targets are 1.5 or more
WAIT_LIMIT = 1.5  # seconds, for queue estimates; each request has its own limit
DERIVED_KINDS = ("services", "deployments")


def service_text(service: Service) -> str:
    """Return a model service's settings."""
    return (
        f"[service]\nkind = model\nwait_limit = {WAIT_LIMIT}\n"
        f"max_output_tokens = {service.engine.memory_tokens}\n"
        f"spill_same_region = {SPILL_SAME_REGION}\nspill_other_region = {SPILL_OTHER_REGION}\n"
    )


def deployment_text(service: Service) -> str:
    """Return the settings of the one deployment that a model service has.

    The service's name is quoted, since the text is of lines and lists; see `read_setting`.
    """
    name = quote(service.name, safe="")
    return (
        f"[deployment]\nservice = {name}\nbackends = {name}/*\n"
        f"memory_tokens = {service.engine.memory_tokens}\nmax_batch = {service.engine.slots}\n"
        f"memory_margin = {MEMORY_MARGIN}\nprompt_wait = {PROMPT_WAIT}\n"
    )


def derived_values(document: Document, team: str) -> Iterator[SettingsValue]:
    """Yield the settings of every model service, with the document's version."""
    for service in document.services.values():
        if service.engine is not None:
            name, version = service.name, document.version
            services, deployments = f"{ROOT}{team}/services/", f"{ROOT}{team}/deployments/"
            yield SettingsValue(f"{services}{name}", version, service_text(service))
            yield SettingsValue(f"{deployments}{name}", version, deployment_text(service))


def derived_catalog() -> Catalog:
    """Return a catalog that reads derived settings, whether from here or from other daemons."""
    return Catalog(read_path=read_path, read_setting=read_setting)


def read_path(text: str) -> Result[SettingsPath, list[Fault]]:
    """Parse a path of derived settings, whose last part is a service's name as it is."""
    team, _, rest = text.removeprefix(ROOT).partition("/")
    kind, _, name = rest.partition("/")
    if text == f"{ROOT}{TEAM}/{kind}/{name}" and team == TEAM and kind in DERIVED_KINDS and name:
        return Success(SettingsPath(team, kind, name))
    return parse_path(text)


def read_setting(path: SettingsPath, text: str) -> Result[Setting, list[Fault]]:
    """Parse derived settings; a deployment has its service's name, which the path holds exactly."""
    return parse_setting(path, text).map(lambda setting: with_exact_name(path.name, setting))


def with_exact_name(name: str, setting: Setting) -> Setting:
    """Return settings with a service's name and its servers' pattern unquoted."""
    if not isinstance(setting, DeploymentSettings):
        return setting
    return evolve(setting, service=name, backends=(f"{glob.escape(name)}/*",))


def update_catalog(catalog: Catalog, document: Document, team: str) -> None:
    """Update a catalog to the settings derived from a document."""
    wanted = {value.path: value for value in derived_values(document, team)}
    for value in wanted.values():
        known = catalog.values.get(value.path)
        if known is None or known.text != value.text:
            catalog.apply(value, from_platform=True)
    for path, known in list(catalog.values.items()):
        if path not in wanted and known.text is not None:
            catalog.apply(SettingsValue(path, document.version, None), from_platform=True)
    catalog.informed = True
