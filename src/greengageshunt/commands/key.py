"""Subcommands ``key issue|withdraw``."""

import argparse
import dataclasses
import secrets

from returns import result

from greengageshunt import application, errors, model
from greengageshunt.commands import changes, command
from greengageshunt.configuration import keys

_KEY_ID_BYTES = 5  # random bytes of a generated key id


def _add_issue_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("account", help="client account")
    parser.add_argument("--id", default="", help="key id (default: a random one)")
    command.add_wait_argument(parser)


def _add_withdraw_arguments(parser: argparse.ArgumentParser) -> None:
    parser.add_argument("key_id", help="part of the key before the dot")
    command.add_wait_argument(parser)


def _with_key(
    configuration: model.Configuration, key: model.Key
) -> result.Result[model.Configuration, str]:
    if key.account not in configuration.accounts_by_name:
        return result.Failure(
            f"version {configuration.version} has no client account {key.account!r}"
        )
    existing = configuration.keys_by_id.get(key.key_id)
    if existing is not None:
        return result.Failure(f"the key id {key.key_id!r} exists; key ids are not used again")
    return result.Success(dataclasses.replace(configuration, keys=(*configuration.keys, key)))


def _with_key_withdrawn(
    configuration: model.Configuration, key_id: str
) -> result.Result[model.Configuration, str]:
    if key_id not in configuration.keys_by_id:
        return result.Failure(f"version {configuration.version} has no key {key_id!r}")
    updated_keys = tuple(
        dataclasses.replace(key, withdrawn=True) if key.key_id == key_id else key
        for key in configuration.keys
    )
    return result.Success(dataclasses.replace(configuration, keys=updated_keys))


async def issue(context: command.Context) -> command.Outcome:
    """Create a key of a client account and show its secret, which is not stored."""
    account = context.arguments.account
    key_id = context.arguments.id or secrets.token_hex(_KEY_ID_BYTES)
    if not keys.is_key_id(key_id):
        raise errors.SettingsError(f"--id: expected {keys.KEY_ID_RULE}")
    key, text = keys.create_key(key_id, account)
    try:
        outcome = await changes.edit(context, lambda current: _with_key(current, key))
    except errors.PlatformError as error:
        # The secret is not shown, because it is unknown whether the key was stored.
        return command.refused(
            f"{error}; if `sheet export` lists key {key_id!r}, withdraw it and issue another",
            key_id=key_id,
        )
    if outcome.exit is command.Exit.REFUSED:
        return outcome
    lines = (f"key of {account}, shown only now: {text}", *outcome.lines)
    document = {"key_id": key_id, "key": text, "digest": key.digest, **outcome.document}
    return dataclasses.replace(outcome, lines=lines, document=document)


async def withdraw(context: command.Context) -> command.Outcome:
    """Withdraw a key permanently."""
    key_id = context.arguments.key_id.partition(".")[0]
    outcome = await changes.edit(context, lambda current: _with_key_withdrawn(current, key_id))
    if outcome.exit is command.Exit.REFUSED:
        return outcome
    lines = (f"key {key_id} is withdrawn", *outcome.lines)
    return dataclasses.replace(
        outcome, lines=lines, document={"key_id": key_id, **outcome.document}
    )


def setup(app: application.Application) -> None:
    """Register the subcommands."""
    command.add(
        app,
        command.Command(
            group="key",
            name="issue",
            help="Create a key of a client account; its secret is shown once.",
            examples=("key issue bintang-glue", "key issue bintang-glue --id bintang-2"),
            run=issue,
            add_arguments=_add_issue_arguments,
        ),
    )
    command.add(
        app,
        command.Command(
            group="key",
            name="withdraw",
            help="Withdraw a key for good; connected callers lose it too.",
            examples=("key withdraw bintang-2",),
            run=withdraw,
            add_arguments=_add_withdraw_arguments,
        ),
    )
