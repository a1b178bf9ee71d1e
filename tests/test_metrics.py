import pathlib
import re
import subprocess
import sys

import pytest

from tests import fleet as fleets

ROOT = pathlib.Path(__file__).parent.parent
ROW = re.compile(r"^\| `(\w+)` \| (\w+) \| ([^|]*)\| (.*) \|$", re.MULTILINE)
LIST = """
import sys, aioprometheus, {module}
for metric in aioprometheus.REGISTRY.collectors.values():
    print(metric.name, metric.kind.name, metric.doc, sep="|")
"""


def list_exported(module: str) -> dict[str, tuple[str, str]]:
    """Returns kind and help text of the metrics that a module registers."""
    code = LIST.format(module=module)
    output = subprocess.check_output([sys.executable, "-c", code], text=True)
    rows = [line.split("|") for line in output.splitlines()]
    return {name: (kind, doc) for name, kind, doc in rows}


def list_documented(prefix: str) -> dict[str, tuple[str, str]]:
    """Returns kind and help text of the metrics on the page of metrics."""
    text = (ROOT / "docs" / "METRICS.md").read_text(encoding="utf-8")
    return {
        name: (kind, doc)
        for name, kind, _, doc in ROW.findall(text)
        if name.startswith(prefix)
    }


async def scrape(fleet: fleets.Fleet, address: str) -> dict[str, float]:
    """Returns the values on a metrics page, by name and labels."""
    async with fleet.session.get(f"http://{address}/metrics") as response:
        assert response.status == 200
        text = await response.text()
    lines = [
        line for line in text.splitlines() if line and not line.startswith("#")
    ]
    return {
        line.rpartition(" ")[0]: float(line.rpartition(" ")[2])
        for line in lines
    }


class TestDocumentation:
    @pytest.mark.parametrize("component", ["agent", "gateway", "vm"])
    def test_page_lists_the_exported_metrics(self, component: str) -> None:
        # The process of a VM loads its metrics only at the first scrape.
        module = "metrics" if component == "vm" else "main"
        exported = list_exported(f"wigeonspool.{component}.{module}")
        assert exported
        assert list_documented(f"wigeonspool_{component}_") == exported

    @pytest.mark.parametrize("component", ["agent", "gateway", "vm"])
    def test_names_follow_the_conventions(self, component: str) -> None:
        for name, (kind, doc) in list_exported(
            f"wigeonspool.{component}.main"
        ).items():
            assert name.startswith(f"wigeonspool_{component}_")
            assert name.endswith("_total") == (kind == "counter")
            assert "millis" not in name
            assert doc.endswith(".")


class TestScrape:
    async def test_counters_only_rise_and_labels_are_documented(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleet.start_target()
        await fleet.apply(fleet.build_document())
        agent = fleet.settings["vm-0"].agent.metrics
        gateway = fleet.settings["vm-0"].gateway.metrics[0]
        url = f"http://{fleet.addresses['vm-0']}/queue/1"
        before: dict[str, float] = {}
        for _ in range(3):
            async with fleet.session.get(url) as response:
                await response.read()
            now = await scrape(fleet, agent) | await scrape(fleet, gateway)
            for name, value in before.items():
                assert "_total" not in name or now[name] >= value
            before = now
        answered = [
            value
            for name, value in before.items()
            if name.startswith("wigeonspool_gateway_requests_total")
            and 'outcome="answered"' in name
        ]
        assert answered == [3.0]
        duration = "wigeonspool_gateway_request_duration_seconds"
        assert before[duration + '_count{pool="queue"}'] == 3
        assert before[duration + '_bucket{le="+Inf",pool="queue"}'] == 3
        assert 0 < before[duration + '_sum{pool="queue"}'] < 30
        text = (ROOT / "docs" / "METRICS.md").read_text(encoding="utf-8")
        rows = {name: labels for name, _, labels, _ in ROW.findall(text)}
        for name in before:
            metric, _, rest = name.partition("{")
            # A histogram has several series, one of them by upper bound.
            metric = re.sub("_(bucket|sum|count)$", "", metric)
            labels = re.findall(r'(?!le)\b(\w+)="', rest)
            assert sorted(labels) == sorted(
                re.findall(r"`(\w+)`", rows[metric])
            )

    async def test_gauges_of_a_removed_pool_are_zero(
        self, fleet: fleets.Fleet
    ) -> None:
        await fleet.start_target()
        await fleet.apply(fleet.build_document())
        gateway = fleet.settings["vm-0"].gateway.metrics[0]
        name = 'wigeonspool_gateway_targets{pool="queue",state="serving"}'
        assert (await scrape(fleet, gateway))[name] == 1
        await fleet.apply({"pools": [], "routes": []})
        assert (await scrape(fleet, gateway))[name] == 0
