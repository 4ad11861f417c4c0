"""Tests of the load tool's arrivals, traces, fault schedules, audits and reports."""

import asyncio
import json
import pathlib

import pytest

from greengageshunt import errors, model
from greengageshunt.load import arrivals, audit, faults, plots, report, runner, traces, workload
from greengageshunt.programs import load as load_program

RECORDED = pathlib.Path(__file__).parent / "recorded.jsonl"


def _fixed_trace(variant: str, refuse_every: int) -> traces.Trace:
    plan = arrivals.Plan(seed=11, duration=4.0)
    samples = []
    for arrival in arrivals.generate(workload.WORKLOADS["ppgm"], plan):
        refused = arrival.number % refuse_every == 0
        is_write = arrival.kind is model.RouteKind.WRITE
        samples.append(
            traces.Sample(
                arrival=arrival,
                latency=0.004 if refused else 0.010 + arrival.number % 7 / 1000,
                code="rate_exceeded" if refused else "ok",
                outcome="not_run" if refused else "committed",
                target=f"{arrival.group}-{'a' if is_write or arrival.staleness == 0 else 'b'}",
            )
        )
    header = traces.Header(
        variant=variant,
        workload="ppgm",
        plan=plan,
        settings="",
        primaries={f"order-desk-{number}": f"order-desk-{number}-a" for number in (1, 2, 3)},
        faults=(faults.Fault(at=1.0, action="kill", process="order-desk-1-a"),),
        audit=traces.Audit(
            writes=5, lost=0, duplicated=0, false_refusals=0, unknown_stored=1, complete=True
        ),
        invariants=(traces.InvariantCount(name="share", checks=9, violations=2),),
    )
    return traces.Trace(header=header, samples=tuple(samples))


def test_arrivals_depend_on_the_seed_alone():
    """Guards against a comparison of variants whose loads differ by chance."""
    plan = arrivals.Plan(seed=3, duration=5.0)
    first = arrivals.generate(workload.WORKLOADS["ppgm"], plan)
    second = arrivals.generate(workload.WORKLOADS["ppgm"], plan)
    other = arrivals.generate(workload.WORKLOADS["ppgm"], arrivals.Plan(seed=4, duration=5.0))
    assert first == second
    assert first != other


def test_greedy_account_does_not_change_arrivals_of_other_accounts():
    """Guards against random numbers that all client accounts share.

    A greedy account would then also change the arrivals of the other accounts.
    """
    without_greedy = arrivals.generate(
        workload.WORKLOADS["himal"], arrivals.Plan(seed=3, duration=5.0)
    )
    greedy = arrivals.generate(
        workload.WORKLOADS["himal"], arrivals.Plan(seed=3, duration=5.0, greedy="account-2")
    )
    assert [a.at for a in without_greedy if a.account == "account-1"] == [
        a.at for a in greedy if a.account == "account-1"
    ]
    assert sum(a.account == "account-2" for a in greedy) > 4 * sum(
        a.account == "account-2" for a in without_greedy
    )


def test_trace_is_read_as_written(tmp_path):
    """Guards against fields that are lost or changed between writing and reading a trace."""
    trace = _fixed_trace("recorded", 5)
    traces.write(tmp_path / "trace.jsonl", trace)
    assert traces.read(tmp_path / "trace.jsonl") == trace


def test_error_for_invalid_trace_names_the_file(tmp_path):
    """Guards against a report on a file of another format, and an error without its name."""
    path = tmp_path / "trace.jsonl"
    path.write_text('{"format": "other"}\n')
    with pytest.raises(ValueError, match=r"trace\.jsonl"):
        traces.read(path)


def test_report_table(snapshot):
    """Guards against unintended changes of the text report."""
    assert report.table((_fixed_trace("even", 10), _fixed_trace("strict", 3))) == snapshot


def test_report_as_json_and_plots(tmp_path):
    """Guards against failures to write the JSON and PNG reports of two runs."""
    recorded = (_fixed_trace("even", 10), _fixed_trace("strict", 3))
    document = json.loads(report.document(recorded))
    assert [run["header"]["variant"] for run in document["runs"]] == ["even", "strict"]
    plots.save(recorded, tmp_path / "report.png")
    assert (tmp_path / "report.png").read_bytes().startswith(b"\x89PNG")


def test_audit_counts_lost_duplicate_and_falsely_refused_writes():
    """Guards against an audit that misses faults of the proxy.

    One acknowledged write is missing, one is stored twice, and one refused write
    is stored.
    """
    trace = _fixed_trace("recorded", 2)
    writes = [s for s in trace.samples if s.arrival.kind is model.RouteKind.WRITE]
    acknowledged = [str(s.arrival.number) for s in writes if s.code == "ok"]
    refused = [str(s.arrival.number) for s in writes if s.code != "ok"]
    stored = dict.fromkeys(acknowledged[1:], 1) | {acknowledged[1]: 2, refused[0]: 1}
    result = audit.compare(trace.samples, stored, str, True)
    assert (result.lost, result.duplicated, result.false_refusals) == (1, 1, 1)
    assert result.writes == len(acknowledged)


def test_schedule_is_sorted_and_checked():
    """Guards against faults applied in the wrong order, and unknown actions that are ignored."""
    text = (
        '[[fault]]\nat = 2.0\naction = "platform"\nvalues = {down = true}\n'
        '[[fault]]\nat = 1.0\naction = "kill"\nprocess = "primary of order-desk-1"\n'
    )
    assert [fault.action for fault in faults.parse(text, "f.toml")] == ["kill", "platform"]
    with pytest.raises(errors.SettingsError, match=r"f\.toml: fault 1: action: expected one of"):
        faults.parse('[[fault]]\nat = 1.0\naction = "burn"\n', "f.toml")


def test_variant_settings_become_toml():
    """Guards against variants whose settings do not reach the proxies.

    All variants of a comparison would then run with the same settings.
    """
    variant = runner.parse_variant("central:parts.admission=central_bucket,parts.scheduling=fair")
    assert variant.name == "central"
    expected = '[parts]\nadmission = "central_bucket"\nscheduling = "fair"\n'
    assert variant.settings == expected
    with pytest.raises(ValueError, match="expected table"):
        runner.parse_variant("central:admission")


async def test_replay_reproduces_the_recorded_codes():
    """Guards against a recorded run that has other codes when its trace is replayed.

    The replay runs on a fleet of real processes; its audit must find each write
    exactly once, and no invariant may be violated.
    """
    recorded = traces.read(RECORDED)
    planned = tuple(sample.arrival for sample in recorded.samples)
    options = runner.Options(workload=recorded.header.workload, plan=recorded.header.plan)
    async with asyncio.timeout(60):
        replayed = await runner.run(options, runner.Variant(name="replay"), planned)
    assert load_program.differences(recorded, replayed) == ()
    assert replayed.header.audit.complete
    assert replayed.header.audit.writes == 2
    assert replayed.header.audit.lost == replayed.header.audit.duplicated == 0
    assert not any(count.violations for count in replayed.header.invariants)
